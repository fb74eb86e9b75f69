//! VMs of a cell, as the platform lists them: the pool that each belongs to, and its runner.

use {
    super::{
        Cell, RunnerId, Worker,
        progress::Waves,
        vm::{Record, Target},
    },
    crate::{
        id::VmId,
        job::{ledger, runner::Registration, upkeep::Listing},
    },
    indexmap::{IndexMap, IndexSet},
    std::{rc::Rc, time::Instant},
};

/// VMs of a cell with their pools, and maintenance waves.
#[derive(Clone, Debug)]
pub struct Pools {
    pub(super) vms: IndexMap<VmId, Record>,
    pub(super) waves: Waves,
    /// When the newest list of VMs was asked for.
    pub(super) listed_at: Option<Instant>,
    /// Number of VMs in each pool when the cell was first owned.
    pub(super) initial_sizes: IndexMap<String, usize>,
    /// Number of VMs that each service should have, by the last balance.
    pub(super) targets: IndexMap<String, usize>,
    /// When the pools were last balanced.
    pub(super) balanced_at: Instant,
    /// When this owner began.
    pub(super) owned_since: Instant,
    /// Whether the ledger's record of the initial sizes is out of date.
    sizes_changed: bool,
}

impl Pools {
    /// Without any VM or wave.
    pub fn new(now: Instant) -> Self {
        Self {
            vms: IndexMap::new(),
            waves: Waves::default(),
            listed_at: None,
            initial_sizes: IndexMap::new(),
            targets: IndexMap::new(),
            balanced_at: now,
            owned_since: now,
            sizes_changed: false,
        }
    }

    /// Restores what a previous owner has stored.
    pub(super) fn restore(&mut self, stored: ledger::Upkeep) {
        self.initial_sizes.clone_from(&stored.sizes);
        self.waves.restore(stored);
    }

    /// Record for the ledger.
    pub(super) fn to_ledger(&self) -> ledger::Upkeep {
        ledger::Upkeep { sizes: self.initial_sizes.clone(), ..self.waves.to_ledger() }
    }

    /// Whether the ledger's record is out of date.
    pub(super) fn changed(&self) -> bool {
        self.sizes_changed || self.waves.changed
    }

    /// Whether the ledger's record is out of date; from now on it counts as up to date.
    pub(super) fn take_changed(&mut self) -> bool {
        let waves_changed = std::mem::take(&mut self.waves.changed);
        std::mem::take(&mut self.sizes_changed) || waves_changed
    }

    /// Records the initial sizes of the pools, once the VMs are first known.
    fn record_initial_sizes(&mut self) {
        if !self.initial_sizes.is_empty() || self.vms.is_empty() {
            return;
        }
        for record in self.vms.values().filter(|record| !record.unlisted) {
            *self.initial_sizes.entry(record.listed.pool.clone()).or_default() += 1;
        }
        self.sizes_changed = true;
    }
}

impl Cell {
    /// Updates the VMs from the platform's list.
    pub fn update_vms(&mut self, now: Instant, listing: Listing) {
        let Listing { vms, sent } = listing;
        let listed: IndexSet<VmId> = vms.iter().map(|vm| vm.id.clone()).collect();
        for vm in vms {
            self.reopen_waves_of(sent, &vm.id);
            match self.pools.vms.get_mut(&vm.id) {
                Some(record) => record.update(now, vm),
                None => {
                    self.pools.vms.insert(vm.id.clone(), Record::new(vm));
                }
            }
        }
        self.note_missing_vms(sent, &listed);
        self.pools.listed_at = self.pools.listed_at.max(Some(sent));
        let longest_upkeep = self.longest_upkeep();
        let missing = &self.pools.waves.missing;
        self.pools.vms.retain(|id, record| {
            let is_needed = record.unlisted && missing.contains_key(id);
            listed.contains(id) || record.is_changing(now, longest_upkeep) || is_needed
        });
        self.mark_replaced_runners();
        self.pools.record_initial_sizes();
        self.finish_actions(now);
    }

    /// Forgets actions whose VMs are up again, and lets their runners take tasks.
    fn finish_actions(&mut self, now: Instant) {
        let mut finished = Vec::new();
        for (id, record) in &mut self.pools.vms {
            if record.finish_last_action(now) {
                finished.push(id.clone());
            }
        }
        for vm in finished {
            self.set_draining(&vm, false);
        }
    }

    /// Sets whether the runners of a VM are kept free of new tasks.
    pub(super) fn set_draining(&mut self, vm: &str, draining: bool) {
        for runner in self.runners_on(vm) {
            if let Some(worker) = self.workers.get_mut(&runner) {
                worker.vm_draining = draining;
            }
        }
        self.place_due |= !draining;
    }

    /// Handles the first registration of an incarnation of a runner; returns whether its VM is being
    /// drained.
    pub(super) fn runner_registered(
        &mut self,
        now: Instant,
        runner: &str,
        registration: &Registration,
    ) -> bool {
        let Some(record) = self.pools.vms.get_mut(registration.vm.as_str()) else { return false };
        let target = Target { runner: Rc::from(runner), incarnation: registration.incarnation };
        record.runner_registered(now, &target, registration);
        record.plan.is_some()
    }

    /// Marks runners whose VMs have another runner by now, or none.
    fn mark_replaced_runners(&mut self) {
        for (id, worker) in &mut self.workers {
            let vm = worker
                .registration
                .as_ref()
                .map(|registration| registration.vm.as_str())
                .unwrap_or_default();
            let record = self.pools.vms.get(vm);
            worker.replaced =
                record.is_some_and(|record| record.listed.runner.as_deref() != Some(&**id));
        }
    }

    /// Runner of a VM: the listed one, or the newest that has registered from it if the listed one is not
    /// known. None if the list names none, or none is known.
    pub(super) fn runner_of(&self, vm: &str) -> Option<RunnerId> {
        let record = self.pools.vms.get(vm)?;
        let id = record.listed.runner.as_deref()?;
        let listed = self.workers.get_key_value(id).map(|(id, _)| Rc::clone(id));
        listed.or_else(|| self.registered_runner(vm))
    }

    /// Runners that may be on a VM: the listed one, and all that have registered from it, as the list may
    /// be older than their registrations.
    pub(super) fn runners_on(&self, vm: &str) -> Vec<RunnerId> {
        let listed = self.pools.vms.get(vm).and_then(|record| record.listed.runner.as_deref());
        let is_on =
            |(id, worker): &(&RunnerId, &Worker)| Some(&***id) == listed || worker.vm() == vm;
        self.workers.iter().filter(is_on).map(|(id, _)| Rc::clone(id)).collect()
    }
}
