//! The platform's VMs, listed with a lag, and their reboots.

use {
    carobhitch::{
        id::{OperationId, VmId, ZoneId},
        platform::{Health, List, Operation, Progress, Vm},
    },
    displaydoc::Display,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// Why an action was refused.
#[derive(Debug, Display)]
pub enum Error {
    /// reboot of vm {0}: there is no such vm
    UnknownVm(VmId),
}

impl std::error::Error for Error {}

/// Result of an action.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A VM as it makes itself known to the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Machine {
    /// What the platform lists.
    #[serde(flatten)]
    pub listed: Vm,
    /// Where the platform tells its stand-in to reboot.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// VMs of a file given at start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Inventory {
    /// VMs.
    #[serde(default)]
    pub vms: Vec<Machine>,
}

/// A reboot that was begun.
#[derive(Debug)]
struct Reboot {
    vm: VmId,
    until: Duration,
}

/// VMs and reboots; times count from the Unix epoch.
#[derive(Debug, Default)]
pub struct Machines {
    machines: IndexMap<VmId, Machine>,
    seen: IndexMap<VmId, (Duration, Vm)>,
    unseen: VecDeque<(Duration, Vm)>,
    reboots: IndexMap<OperationId, Reboot>,
}

impl Machines {
    /// Adds or replaces a VM.
    pub fn put(&mut self, now: Duration, machine: Machine) {
        self.unseen.push_back((now, machine.listed.clone()));
        self.machines.insert(machine.listed.id.clone(), machine);
    }

    /// Changes the health of a VM; false if there is no such VM.
    pub fn set_health(&mut self, now: Duration, vm: &VmId, health: Health) -> bool {
        let Some(machine) = self.machines.get_mut(vm) else { return false };
        machine.listed.health = health;
        self.unseen.push_back((now, machine.listed.clone()));
        true
    }

    /// Availability zone of a VM.
    pub fn zone(&self, vm: &VmId) -> Option<&ZoneId> {
        self.machines.get(vm).map(|m| &m.listed.zone)
    }

    /// List as it was a `lag` ago, or what had changed in it since a time in milliseconds.
    pub fn list(&mut self, now: Duration, lag: Duration, since_ms: Option<u64>) -> List {
        self.tick(now);
        let as_of = now.saturating_sub(lag);
        while self.unseen.front().is_some_and(|(at, _)| *at <= as_of) {
            if let Some((at, listed)) = self.unseen.pop_front() {
                self.seen.insert(listed.id.clone(), (at, listed));
            }
        }
        let since = since_ms.map(Duration::from_millis);
        let changed = self.seen.values().filter(|(at, _)| since.is_none_or(|since| *at > since));
        let vms = changed.map(|(_, listed)| listed.clone()).collect();
        List { as_of_ms: as_of.as_millis() as u64, since_ms, vms }
    }

    /// Begins a reboot, once for each operation, and tells where the VM's stand-in must hear of it,
    /// if it must.
    pub fn reboot(
        &mut self,
        now: Duration,
        vm: &VmId,
        operation: &OperationId,
        down: Duration,
    ) -> Result<Option<SocketAddr>> {
        if self.reboots.contains_key(operation) {
            return Ok(None);
        }
        if !self.set_health(now, vm, Health::Rebooting) {
            return Err(Error::UnknownVm(vm.clone()));
        }
        let reboot = Reboot { vm: vm.clone(), until: now + down };
        self.reboots.insert(operation.clone(), reboot);
        Ok(self.machines.get(vm).and_then(|m| m.control))
    }

    /// A reboot, if it was begun.
    pub fn operation(&mut self, now: Duration, operation: &OperationId) -> Option<Operation> {
        self.tick(now);
        let reboot = self.reboots.get(operation)?;
        let progress = if now < reboot.until { Progress::Running } else { Progress::Done };
        Some(Operation { operation: operation.clone(), progress })
    }

    /// Ends the reboots whose time is over.
    fn tick(&mut self, now: Duration) {
        let last: IndexMap<&VmId, Duration> =
            self.reboots.values().map(|r| (&r.vm, r.until)).collect();
        let ended = last.into_iter().filter(|(_, until)| *until <= now);
        let ended: Vec<(VmId, Duration)> = ended.map(|(vm, until)| (vm.clone(), until)).collect();
        for (vm, until) in ended {
            let Some(machine) = self.machines.get_mut(&vm) else { continue };
            if machine.listed.health == Health::Rebooting {
                machine.listed.health = Health::Live;
                machine.listed.boots += 1;
                self.unseen.push_back((until, machine.listed.clone()));
            }
        }
    }
}
