//! The platform's VMs, whose list lags behind their state, and their reboots.

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

/// A VM as it is registered with the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Registration {
    /// What the platform's list shows.
    #[serde(flatten)]
    pub listed: Vm,
    /// Control address of the VM's stand-in, to which reboots are sent.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// VMs at start, read from a file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Inventory {
    /// The VMs.
    #[serde(default)]
    pub vms: Vec<Registration>,
}

/// A reboot that was started.
#[derive(Debug)]
struct Reboot {
    vm: VmId,
    until: Duration,
}

/// VMs and reboots; times are since the Unix epoch.
#[derive(Debug, Default)]
pub struct Registry {
    registrations: IndexMap<VmId, Registration>,
    published: IndexMap<VmId, (Duration, Vm)>,
    unpublished: VecDeque<(Duration, Vm)>,
    reboots: IndexMap<OperationId, Reboot>,
}

impl Registry {
    /// Adds or replaces a VM.
    pub fn put(&mut self, now: Duration, registration: Registration) {
        self.unpublished.push_back((now, registration.listed.clone()));
        self.registrations.insert(registration.listed.id.clone(), registration);
    }

    /// Changes the health of a VM; returns false if there is no such VM.
    pub fn set_health(&mut self, now: Duration, vm: &VmId, health: Health) -> bool {
        let Some(registration) = self.registrations.get_mut(vm) else { return false };
        registration.listed.health = health;
        self.unpublished.push_back((now, registration.listed.clone()));
        true
    }

    /// Availability zone of a VM.
    pub fn zone(&self, vm: &VmId) -> Option<&ZoneId> {
        self.registrations.get(vm).map(|m| &m.listed.zone)
    }

    /// The list as it was `lag` ago; with `since_ms`, only the VMs that had changed after that time.
    pub fn list(&mut self, now: Duration, lag: Duration, since_ms: Option<u64>) -> List {
        self.end_reboots(now);
        let as_of = now.saturating_sub(lag);
        while self.unpublished.front().is_some_and(|(at, _)| *at <= as_of) {
            if let Some((at, listed)) = self.unpublished.pop_front() {
                self.published.insert(listed.id.clone(), (at, listed));
            }
        }
        let since = since_ms.map(Duration::from_millis);
        let changed =
            self.published.values().filter(|(at, _)| since.is_none_or(|since| *at > since));
        let vms = changed.map(|(_, listed)| listed.clone()).collect();
        List { as_of_ms: as_of.as_millis() as u64, since_ms, vms }
    }

    /// Starts a reboot, once for each operation. Returns the control address of the VM's stand-in if
    /// the reboot is new and the VM has one.
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
        Ok(self.registrations.get(vm).and_then(|m| m.control))
    }

    /// Progress of a reboot, if it was started.
    pub fn operation(&mut self, now: Duration, operation: &OperationId) -> Option<Operation> {
        self.end_reboots(now);
        let reboot = self.reboots.get(operation)?;
        let progress = if now < reboot.until { Progress::Running } else { Progress::Done };
        Some(Operation { operation: operation.clone(), progress })
    }

    /// Ends the reboots whose duration has passed.
    fn end_reboots(&mut self, now: Duration) {
        let reboot_ends: IndexMap<&VmId, Duration> =
            self.reboots.values().map(|r| (&r.vm, r.until)).collect();
        let ended = reboot_ends.into_iter().filter(|(_, until)| *until <= now);
        let ended: Vec<(VmId, Duration)> = ended.map(|(vm, until)| (vm.clone(), until)).collect();
        for (vm, until) in ended {
            let Some(registration) = self.registrations.get_mut(&vm) else { continue };
            if registration.listed.health == Health::Rebooting {
                registration.listed.health = Health::Live;
                registration.listed.boots += 1;
                self.unpublished.push_back((until, registration.listed.clone()));
            }
        }
    }
}
