//! Drains, and moves of VMs between pools.
//!
//! A VM's pool is the one in the declaration in force; there is no second place that says it, so at
//! every offset a VM belongs to exactly one pool. A declaration that changes a declared VM does not
//! change the pool at once but notes a pending [`Move`]. The move then takes these steps, each a
//! record:
//!
//! 1. `drain` begins: the VM takes no new work. Every entry that serves at that offset may still
//!    hold work there and is waited for.
//! 2. Each of them says `emptied`, naming the offset of the drain, or its incarnation is recorded as
//!    gone. An entry that serves later has applied the drain before it routes.
//! 3. `moved` is accepted once nobody is waited for. The VM belongs to the new pool from there.
//!
//! An entry that is paused or cut off delays step 2. A confirmation of an earlier drain names another
//! offset and has no effect. A drain may be held by several causes at once and lasts until the last
//! one lets go.

use {
    crate::{
        budget::Cause,
        fleet::Vm,
        id::{EntryId, Incarnation, Offset, VmId},
        record::Member,
        state::State,
        verdict::{Reason, Result},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A VM that takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Offset of the record that began it.
    pub since: Offset,
    /// Entries that may still hold work on the VM.
    pub waiting: Vec<EntryId>,
    /// What keeps the VM drained; never empty.
    pub holds: Vec<Cause>,
}

/// A change of a VM that waits until the VM is empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Offset of the record that declared it.
    pub since: Offset,
    /// The VM as it will be; none if it leaves the fleet.
    pub to: Option<Vm>,
}

/// When an entry began to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Joined {
    /// Offset of the record.
    pub offset: Offset,
    /// When the record was written, since the Unix epoch.
    pub at: Duration,
}

impl State {
    /// A VM as it is declared: where its pending move leads, or as in force.
    pub fn target(&self, vm: &str) -> Option<&Vm> {
        match self.moves.get(vm) {
            Some(pending) => pending.to.as_ref(),
            None => self.declaration.vms.get(vm),
        }
    }

    /// Whether that incarnation of an entry serves.
    pub fn serving(&self, entry: &str, incarnation: Incarnation) -> Result {
        match self.members.get(entry).filter(|m| m.incarnation == incarnation) {
            Some(_) => Ok(()),
            None => Err(Reason::NotMember { entry: entry.into(), incarnation }),
        }
    }

    /// An entry serves. The same link address shows that an earlier incarnation has ended, since two
    /// processes cannot listen there; otherwise its end must be recorded first.
    pub(crate) fn join(&mut self, offset: Offset, entry: &Member, at: Duration) -> Result {
        if let Some(found) = self.members.get(&entry.id) {
            let late = self.joined.get(&entry.id).is_some_and(|j| j.at >= at);
            let other = found.incarnation != entry.incarnation;
            if other && (found.link != entry.link || late) {
                let found = found.incarnation;
                return Err(Reason::Occupied { entry: entry.id.clone(), found });
            }
            if other {
                self.end(&entry.id);
            }
        }
        self.members.insert(entry.id.clone(), entry.clone());
        self.joined.entry(entry.id.clone()).or_insert(Joined { offset, at });
        Ok(())
    }

    pub(crate) fn gone(&mut self, entry: &str, incarnation: Incarnation) -> Result {
        self.serving(entry, incarnation)?;
        self.end(entry);
        Ok(())
    }

    fn end(&mut self, entry: &str) {
        self.members.shift_remove(entry);
        self.joined.shift_remove(entry);
        self.drains.values_mut().for_each(|d| d.waiting.retain(|e| e != entry));
    }

    /// Drains a VM for a cause, within the budgets of its services.
    pub(crate) fn drain(&mut self, offset: Offset, vm: &VmId, cause: Cause) -> Result {
        let Some(found) = self.declaration.vms.get(vm) else {
            return Err(Reason::UnknownVm(vm.clone()));
        };
        self.afford(vm, found)?;
        let waiting = self.members.keys();
        let drain = self.drains.entry(vm.clone()).or_insert_with(|| Drain {
            since: offset,
            waiting: waiting.cloned().collect(),
            holds: Vec::new(),
        });
        if !drain.holds.contains(&cause) {
            drain.holds.push(cause);
        }
        Ok(())
    }

    /// Cause of a drain that no wave asked for: a holder of a lease drains for pending moves only.
    pub(crate) fn drain_cause(&self, vm: &VmId, fenced: bool) -> Result<Cause> {
        match (fenced, self.moves.contains_key(vm)) {
            (false, _) => Ok(Cause::Operator),
            (true, true) => Ok(Cause::Move),
            (true, false) => Err(Reason::NoMove(vm.clone())),
        }
    }

    pub(crate) fn emptied(
        &mut self,
        vm: &VmId,
        entry: &EntryId,
        incarnation: Incarnation,
        drain: Offset,
    ) -> Result {
        self.serving(entry, incarnation)?;
        self.drained(vm, drain)?;
        if let Some(found) = self.drains.get_mut(vm) {
            found.waiting.retain(|e| e != entry);
        }
        Ok(())
    }

    fn drained(&self, vm: &VmId, drain: Offset) -> Result<&Drain> {
        let found = self.drains.get(vm).filter(|d| d.since == drain);
        found.ok_or_else(|| Reason::NoDrain { vm: vm.clone(), drain })
    }

    /// Ends one cause of a drain, and the drain with its last cause.
    pub(crate) fn let_go(&mut self, vm: &str, cause: &Cause) {
        let Some(drain) = self.drains.get_mut(vm) else { return };
        drain.holds.retain(|c| c != cause);
        if drain.holds.is_empty() {
            self.drains.shift_remove(vm);
        }
    }

    /// Rejects a step on a VM that may still hold work.
    pub(crate) fn empty(&self, vm: &VmId, drain: Offset) -> Result {
        match self.drained(vm, drain)?.waiting.len() {
            0 => Ok(()),
            waiting => Err(Reason::Holding { vm: vm.clone(), waiting }),
        }
    }

    pub(crate) fn moved(&mut self, vm: &VmId, drain: Offset) -> Result {
        if !self.moves.contains_key(vm) {
            return Err(Reason::NoMove(vm.clone()));
        }
        self.empty(vm, drain)?;
        if let Some(Cause::Wave(wave)) = self.held_by_wave(vm) {
            return Err(Reason::InWave { vm: vm.clone(), wave: wave.clone() });
        }
        self.finish_move(vm);
        Ok(())
    }

    /// Puts the pending move of an empty VM in force and ends its drain.
    pub(crate) fn finish_move(&mut self, vm: &VmId) {
        let Some(pending) = self.moves.shift_remove(vm) else { return };
        match pending.to {
            Some(to) => {
                self.declaration.vms.insert(vm.clone(), to);
                self.let_go(vm, &Cause::Move);
            }
            None => {
                self.declaration.vms.shift_remove(vm);
                self.drains.shift_remove(vm);
                self.lost.shift_remove(vm);
            }
        }
    }

    /// Hold of a wave on a VM.
    pub(crate) fn held_by_wave(&self, vm: &str) -> Option<&Cause> {
        self.drains.get(vm)?.holds.iter().find(|c| matches!(c, Cause::Wave(_)))
    }
}
