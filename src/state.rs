//! The state machine that every entry feeds with the records of the fleet's stream.
//!
//! `State::apply` is pure: the same records in the same order give the same state and the same
//! verdicts on every entry. It takes time from the records, never from a clock.

use {
    crate::{
        fleet::Declaration,
        id::{EntryId, Offset, OperationId, ServiceId, VmId},
        record::{Body, Member, Record},
    },
    displaydoc::Display,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// In force.
    Accepted,
    /// Without effect, and why.
    Rejected(Reason),
}

/// Why a record was rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// declaration was made from version {expected:?}, but {found:?} is in force
    Stale {
        /// Version that the author saw.
        expected: Option<Offset>,
        /// Version in force.
        found: Option<Offset>,
    },
    /// vm {0:?} is not declared
    UnknownVm(VmId),
    /// {0}
    Invalid(String),
}

/// A VM that takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Offset of the record that began it.
    pub since: Offset,
    /// Entries that may still hold work on the VM.
    pub waiting: Vec<EntryId>,
}

/// State at one offset of the fleet's stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to apply.
    pub next: Offset,
    /// Offset of the declaration in force.
    pub version: Option<Offset>,
    /// Declaration in force.
    pub declaration: Declaration,
    /// Entries that serve, by name.
    pub members: IndexMap<EntryId, Member>,
    /// VMs that take no new work.
    pub drains: IndexMap<VmId, Drain>,
    /// Verdicts of past operations.
    pub verdicts: IndexMap<OperationId, (Offset, Verdict)>,
}

impl State {
    /// Applies the record at `offset` and returns its verdict.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        self.next = offset + 1;
        if let Some((_, verdict)) = self.verdicts.get(&record.operation) {
            return verdict.clone();
        }
        let verdict = match self.change(offset, &record.body) {
            Ok(()) => Verdict::Accepted,
            Err(reason) => Verdict::Rejected(reason),
        };
        self.verdicts.insert(record.operation.clone(), (offset, verdict.clone()));
        verdict
    }

    fn change(&mut self, offset: Offset, body: &Body) -> Result<(), Reason> {
        match body {
            Body::Declare { declaration, expected } => self.declare(offset, declaration, *expected),
            Body::Join { entry } => {
                self.members.insert(entry.id.clone(), entry.clone());
                Ok(())
            }
            Body::Gone { entry, incarnation } => {
                if self.members.get(entry).is_some_and(|m| m.incarnation == *incarnation) {
                    self.members.shift_remove(entry);
                    self.drains.values_mut().for_each(|d| d.waiting.retain(|e| e != entry));
                }
                Ok(())
            }
            Body::Drain { vm } => self.drain(offset, vm),
            Body::Emptied { vm, entry, drain, .. } => {
                if let Some(found) = self.drains.get_mut(vm).filter(|d| d.since == *drain) {
                    found.waiting.retain(|e| e != entry);
                }
                Ok(())
            }
            Body::Return { vm } => {
                self.drains.shift_remove(vm);
                Ok(())
            }
        }
    }

    fn declare(
        &mut self,
        offset: Offset,
        declaration: &Declaration,
        expected: Option<Offset>,
    ) -> Result<(), Reason> {
        if expected != self.version {
            return Err(Reason::Stale { expected, found: self.version });
        }
        self.version = Some(offset);
        self.declaration = declaration.clone();
        Ok(())
    }

    fn drain(&mut self, offset: Offset, vm: &VmId) -> Result<(), Reason> {
        if !self.declaration.vms.contains_key(vm) {
            return Err(Reason::UnknownVm(vm.clone()));
        }
        let waiting = self.members.keys().cloned().collect();
        self.drains.insert(vm.clone(), Drain { since: offset, waiting });
        Ok(())
    }

    /// Endpoints of a service that take new work.
    pub fn endpoints(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = (&VmId, &crate::fleet::Vm)> {
        let pool = self.declaration.services.get(service).map(|s| &s.pool);
        self.declaration
            .vms
            .iter()
            .filter(move |(id, vm)| Some(&vm.pool) == pool && !self.drains.contains_key(*id))
    }
}
