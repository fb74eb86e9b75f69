//! State machine: membership of entries, drains, and moves of VMs between pools.
//!
//! The declaration in force is the only place that assigns a VM to a pool, so at every offset a VM
//! belongs to exactly one pool. A change of a declared VM does not take effect at once but becomes
//! a pending [`Move`], which is carried out in these steps, each a record:
//!
//! 1. `drain`: the VM takes no new work. Every entry that is a member at this offset may still hold
//!    work there and must confirm.
//! 2. `emptied`: a member confirms that it holds no work, naming the offset of the drain. An
//!    incarnation that is recorded as gone need not confirm, and neither need an entry that joins
//!    later, since it has applied the drain before it routes.
//! 3. `moved`: accepted once no confirmation is missing. From here on the VM belongs to the new
//!    pool.
//!
//! An entry that is paused or partitioned delays step 2. A confirmation of an earlier drain names
//! another offset and is rejected. A drain may have several causes at once and lasts until the last
//! one is released.

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

/// The drain of a VM, which takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Offset of the record that began it.
    pub since: Offset,
    /// Entries that may still hold work on the VM: members that have not confirmed the drain.
    pub waiting: Vec<EntryId>,
    /// Causes that keep the VM drained; never empty.
    pub holds: Vec<Cause>,
}

/// A declared change of a VM, pending until the VM is empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Offset of the record that declared it.
    pub since: Offset,
    /// The VM after the change; `None` if it leaves the fleet.
    pub to: Option<Vm>,
}

/// When an entry joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Joined {
    /// Offset of its join record.
    pub offset: Offset,
    /// Time of that record, since the Unix epoch.
    pub at: Duration,
}

impl State {
    /// A VM as operators declared it, with its pending move already applied; `None` if it is to
    /// leave.
    pub fn declared_vm(&self, vm: &str) -> Option<&Vm> {
        match self.moves.get(vm) {
            Some(pending) => pending.to.as_ref(),
            None => self.declaration.vms.get(vm),
        }
    }

    /// Rejects an incarnation of an entry that is not a member.
    pub fn check_member(&self, entry: &str, incarnation: Incarnation) -> Result {
        match self.members.get(entry).filter(|m| m.incarnation == incarnation) {
            Some(_) => Ok(()),
            None => Err(Reason::NotMember { entry: entry.into(), incarnation }),
        }
    }

    /// Adds an entry to the members. If an earlier incarnation had the same link address, it must
    /// have ended, since two processes cannot listen there, and the new one replaces it; otherwise
    /// its end must be recorded first. A join that is not newer than the earlier one is rejected,
    /// too.
    pub(crate) fn join(&mut self, offset: Offset, entry: &Member, at: Duration) -> Result {
        if let Some(found) = self.members.get(&entry.id) {
            let not_newer = self.joined.get(&entry.id).is_some_and(|j| j.at >= at);
            let is_other = found.incarnation != entry.incarnation;
            if is_other && (found.link != entry.link || not_newer) {
                let found = found.incarnation;
                return Err(Reason::Occupied { entry: entry.id.clone(), found });
            }
            if is_other {
                self.remove_member(&entry.id);
            }
        }
        self.members.insert(entry.id.clone(), entry.clone());
        self.joined.entry(entry.id.clone()).or_insert(Joined { offset, at });
        Ok(())
    }

    /// Removes an incarnation that has ended from the members.
    pub(crate) fn gone(&mut self, entry: &str, incarnation: Incarnation) -> Result {
        self.check_member(entry, incarnation)?;
        self.remove_member(entry);
        Ok(())
    }

    /// Removes an entry from the members; no drain waits for its confirmation any more.
    fn remove_member(&mut self, entry: &str) {
        self.members.shift_remove(entry);
        self.joined.shift_remove(entry);
        self.drains.values_mut().for_each(|d| d.waiting.retain(|e| e != entry));
    }

    /// Drains a VM for a cause, unless that would exceed the budget of a service on it.
    pub(crate) fn drain(&mut self, offset: Offset, vm: &VmId, cause: Cause) -> Result {
        let Some(found) = self.declaration.vms.get(vm) else {
            return Err(Reason::UnknownVm(vm.clone()));
        };
        self.check_budget(vm, found)?;
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

    /// Cause of a drain that was not requested by a wave: an operator if the record is unfenced,
    /// and otherwise a pending move, since the controller drains for nothing else.
    pub(crate) fn drain_cause(&self, vm: &VmId, fenced: bool) -> Result<Cause> {
        match (fenced, self.moves.contains_key(vm)) {
            (false, _) => Ok(Cause::Operator),
            (true, true) => Ok(Cause::Move),
            (true, false) => Err(Reason::NoMove(vm.clone())),
        }
    }

    /// Records that an entry holds no work on a draining VM.
    pub(crate) fn emptied(
        &mut self,
        vm: &VmId,
        entry: &EntryId,
        incarnation: Incarnation,
        drain: Offset,
    ) -> Result {
        self.check_member(entry, incarnation)?;
        self.find_drain(vm, drain)?;
        if let Some(found) = self.drains.get_mut(vm) {
            found.waiting.retain(|e| e != entry);
        }
        Ok(())
    }

    /// The drain of a VM, if it began at offset `drain`.
    fn find_drain(&self, vm: &VmId, drain: Offset) -> Result<&Drain> {
        let found = self.drains.get(vm).filter(|d| d.since == drain);
        found.ok_or_else(|| Reason::NoDrain { vm: vm.clone(), drain })
    }

    /// Removes one cause of a drain; the drain ends with its last cause.
    pub(crate) fn release_hold(&mut self, vm: &str, cause: &Cause) {
        let Some(drain) = self.drains.get_mut(vm) else { return };
        drain.holds.retain(|c| c != cause);
        if drain.holds.is_empty() {
            self.drains.shift_remove(vm);
        }
    }

    /// Rejects a step on a VM on which entries may still hold work.
    pub(crate) fn check_empty(&self, vm: &VmId, drain: Offset) -> Result {
        match self.find_drain(vm, drain)?.waiting.len() {
            0 => Ok(()),
            waiting => Err(Reason::Holding { vm: vm.clone(), waiting }),
        }
    }

    /// Completes the pending move of an empty VM that no wave holds.
    pub(crate) fn moved(&mut self, vm: &VmId, drain: Offset) -> Result {
        if !self.moves.contains_key(vm) {
            return Err(Reason::NoMove(vm.clone()));
        }
        self.check_empty(vm, drain)?;
        if let Some(Cause::Wave(wave)) = self.wave_hold(vm) {
            return Err(Reason::InWave { vm: vm.clone(), wave: wave.clone() });
        }
        self.finish_move(vm);
        Ok(())
    }

    /// Applies the pending move of an empty VM and releases its drain.
    pub(crate) fn finish_move(&mut self, vm: &VmId) {
        let Some(pending) = self.moves.shift_remove(vm) else { return };
        match pending.to {
            Some(to) => {
                self.declaration.vms.insert(vm.clone(), to);
                self.release_hold(vm, &Cause::Move);
            }
            None => {
                self.declaration.vms.shift_remove(vm);
                self.drains.shift_remove(vm);
                self.lost.shift_remove(vm);
            }
        }
    }

    /// The wave that holds a VM drained, if there is one.
    pub(crate) fn wave_hold(&self, vm: &str) -> Option<&Cause> {
        self.drains.get(vm)?.holds.iter().find(|c| matches!(c, Cause::Wave(_)))
    }
}
