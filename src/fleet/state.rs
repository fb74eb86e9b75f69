//! Replicated state machine of the fleet, to which every entry applies the records of the fleet's
//! stream.
//!
//! [`State::apply`] is deterministic: the same records in the same order give the same state and
//! the same verdicts on every entry. It takes the time from the records, never from a clock. A
//! record is accepted as a whole, or changes nothing but `clock`, the stored verdicts and the
//! history. Records are applied in offset order without gaps; a record that was applied before, or
//! whose operation was, has no further effect.
//!
//! The handlers of the records are in the modules whose data they change: `moves`, `lease`, `wave`,
//! `step` and `budget`.

use {
    crate::{
        budget::{Cause, Ledger},
        change::{self, Change, Edit, Versions},
        check,
        fleet::{Declaration, Service, Vm},
        history::Trail,
        id::{EntryId, LeaseId, Offset, OperationId, ServiceId, VmId, WaveId},
        lease::{Claim, Lease},
        record::{Body, Member, Record},
        step::{Lost, Target},
        wave::Run,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

pub use crate::{
    moves::{Drain, Joined, Move},
    verdict::{Reason, Result, Verdict},
};

/// Number of newest verdicts always kept; up to twice as many are, so that old ones are dropped in
/// batches.
pub const MIN_VERDICTS: usize = 4096;

/// Records with a time from here on are rejected, since only a broken clock gives it; the year 2242
/// as time since the Unix epoch.
pub const MAX_TIME: Duration = Duration::from_secs(1 << 33);

/// State of the fleet after all records before one offset of its stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Offset of the next record to apply.
    pub next: Offset,
    /// Offset of the record that last changed the declaration; `None` before the first.
    pub version: Option<Offset>,
    /// Declaration in force. VMs with a pending move are still in their old pool.
    pub declaration: Declaration,
    /// Version of each declared object.
    pub versions: Versions,
    /// Entries that currently serve, by name.
    pub members: IndexMap<EntryId, Member>,
    /// When each member joined.
    pub joined: IndexMap<EntryId, Joined>,
    /// Draining and drained VMs, which take no new work.
    pub drains: IndexMap<VmId, Drain>,
    /// Declared changes of VMs that take effect once the VM is empty.
    pub moves: IndexMap<VmId, Move>,
    /// VMs that the platform reports as not running.
    pub lost: IndexMap<VmId, Lost>,
    /// Time of the newest list of the platform that was applied, since the Unix epoch.
    pub listed: Duration,
    /// Leases by name.
    pub leases: IndexMap<LeaseId, Lease>,
    /// Latest run of each wave.
    pub waves: IndexMap<WaveId, Run>,
    /// Unavailability of each service, past and present.
    pub ledger: Ledger,
    /// Audit trail: operators' calls and their verdicts.
    pub history: Trail,
    /// Verdicts of past operations, oldest first; they make repeated operations idempotent.
    pub verdicts: IndexMap<OperationId, (Offset, Verdict)>,
    /// Latest time of any record, since the Unix epoch: the clock of the state machine.
    pub clock: Duration,
}

/// Position, time and fencing of the record being applied.
#[derive(Clone, Copy)]
pub(crate) struct Context {
    /// Offset of the record.
    pub offset: Offset,
    /// When it was written, since the Unix epoch.
    pub at: Duration,
    /// Whether it was written under a lease whose epoch is current.
    pub fenced: bool,
}

impl State {
    /// Applies the record at `offset` and returns its verdict. A record whose operation is already
    /// known gets the first verdict of that operation and changes nothing.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        let known = self.verdicts.get(&record.operation).map(|(_, verdict)| verdict.clone());
        if offset != self.next {
            let gap = Reason::Gap { offset, next: self.next };
            return known.filter(|_| offset < self.next).unwrap_or(Verdict::Rejected(gap));
        }
        self.next = offset + 1;
        if let Some(verdict) = known {
            return verdict;
        }
        let context = Context { offset, at: record.at.min(MAX_TIME), fenced: false };
        let verdict = match self.apply_body(context, &record.body) {
            Ok(()) => Verdict::Accepted,
            Err(reason) => Verdict::Rejected(reason),
        };
        self.history.record(offset, record, &verdict);
        self.store_verdict(offset, record, &verdict);
        verdict
    }

    /// Skips the record at `offset`, which could not be decoded.
    pub fn skip(&mut self, offset: Offset) {
        if offset == self.next {
            self.next += 1;
        }
    }

    /// Stores a verdict, and drops the oldest ones in batches.
    fn store_verdict(&mut self, offset: Offset, record: &Record, verdict: &Verdict) {
        if self.verdicts.len() == 2 * MIN_VERDICTS {
            self.verdicts.drain(..MIN_VERDICTS);
        }
        self.verdicts.insert(record.operation.clone(), (offset, verdict.clone()));
    }

    /// Advances the clock and applies the body of a record, unless its time is out of range.
    fn apply_body(&mut self, context: Context, body: &Body) -> Result {
        if context.at == MAX_TIME {
            return Err(Reason::Invalid("the record's time lies centuries ahead".into()));
        }
        self.clock = self.clock.max(context.at);
        self.dispatch(context, body)
    }

    /// Passes the body of a record to its handler.
    fn dispatch(&mut self, context: Context, body: &Body) -> Result {
        let Context { offset, at, fenced } = context;
        match body {
            Body::Declare { declaration, expected } => {
                self.declare(context, declaration, *expected)
            }
            Body::Change { changes } => self.apply_edits(context, changes),
            Body::Join { entry } => self.join(offset, entry, at),
            Body::Gone { entry, incarnation } => self.gone(entry, *incarnation),
            Body::Drain { vm } => {
                self.drain(offset, vm, self.drain_cause(vm, fenced)?)?;
                self.update_ledger(context, vm)
            }
            Body::Emptied { vm, entry, incarnation, drain } => {
                self.emptied(vm, entry, *incarnation, *drain)
            }
            Body::Return { vm } => self.return_vm(context, vm),
            Body::Moved { vm, drain } => {
                self.moved(vm, *drain)?;
                self.update_ledger(context, vm)
            }
            Body::Acquire { lease, entry, incarnation, epoch, term } => {
                let (incarnation, epoch, until) = (*incarnation, *epoch, at.saturating_add(*term));
                self.acquire(Claim { lease, entry, incarnation, epoch, until }, at)
            }
            Body::Renew { lease, epoch, term } => {
                self.renew(lease, *epoch, at.saturating_add(*term))
            }
            Body::Release { lease, epoch } => self.release(lease, *epoch),
            Body::Fenced { lease, epoch, body } => {
                self.fence(lease, *epoch)?;
                self.dispatch(Context { fenced: true, ..context }, body)
            }
            Body::Begin { wave } => self.begin(wave, offset, at),
            Body::Pause { wave, why } => self.pause(wave, why),
            Body::Resume { wave } => self.resume(wave, offset),
            Body::Cancel { wave } => self.cancel(wave, at),
            Body::Health { .. } | Body::Step { .. } if !fenced => Err(Reason::Unfenced),
            Body::Health { as_of, lost, found } => {
                self.health(context, *as_of, lost, found)?;
                lost.iter().chain(found).try_for_each(|vm| self.update_ledger(context, vm))
            }
            Body::Step { wave, run, vm, step } => {
                self.step(context, &Target { wave, run: *run, vm }, step)?;
                self.update_ledger(context, vm)
            }
        }
    }

    /// Opens and closes the unavailability spans of a VM that a record changed.
    fn update_ledger(&mut self, context: Context, vm: &str) -> Result {
        self.update_spans(vm, context.offset, context.at);
        Ok(())
    }

    /// Releases the holds of operators and failures on a VM.
    fn return_vm(&mut self, context: Context, vm: &VmId) -> Result {
        if !self.declaration.vms.contains_key(vm) {
            return Err(Reason::UnknownVm(vm.clone()));
        }
        self.release_hold(vm, &Cause::Operator);
        self.release_hold(vm, &Cause::Failure);
        self.update_ledger(context, vm)
    }

    /// Replaces the declaration by applying the edits that lead to the new one.
    fn declare(
        &mut self,
        context: Context,
        declaration: &Declaration,
        expected: Option<Offset>,
    ) -> Result {
        if expected != self.version {
            return Err(Reason::Stale { expected, found: self.version });
        }
        let changes = change::between(self, declaration);
        self.apply_edits(context, &changes)
    }

    /// Validates edits and applies all of them, or none.
    fn apply_edits(&mut self, context: Context, changes: &[Change]) -> Result {
        let conflicts = check::conflicts(self, changes);
        if !conflicts.0.is_empty() {
            return Err(Reason::Conflict(conflicts));
        }
        let faults = check::faults(self, changes);
        if !faults.0.is_empty() {
            return Err(Reason::Faults(faults));
        }
        self.version = Some(context.offset);
        for change in changes {
            self.apply_edit(context, change);
        }
        Ok(())
    }

    fn apply_edit(&mut self, context: Context, change: &Change) {
        let declaration = &mut self.declaration;
        let is_declared = match change {
            Change::Pool(e) => apply_to_map(&mut declaration.pools, e),
            Change::Service(e) => apply_to_map(&mut declaration.services, e),
            Change::Team(e) => apply_to_map(&mut declaration.teams, e),
            Change::Wave(e) => {
                if e.value.is_none() {
                    self.waves.shift_remove(&e.id);
                }
                apply_to_map(&mut declaration.waves, e)
            }
            Change::Vm(e) => self.apply_vm_edit(context, e),
        };
        match is_declared {
            true => self.versions.set(change.object(), context.offset),
            false => self.versions.remove(&change.object()),
        }
    }

    /// Applies the edit of a VM; returns whether the VM is declared afterwards. A VM that is
    /// already in use changes only when it is empty, so the edit becomes a pending move.
    fn apply_vm_edit(&mut self, context: Context, edit: &Edit<Vm>) -> bool {
        match (self.declaration.vms.get(&edit.id), &edit.value) {
            (None, Some(vm)) => _ = self.declaration.vms.insert(edit.id.clone(), vm.clone()),
            (None, None) => {}
            (Some(found), Some(vm)) if found == vm => {
                self.moves.shift_remove(&edit.id);
                self.release_hold(&edit.id, &Cause::Move);
                self.update_spans(&edit.id, context.offset, context.at);
            }
            (Some(_), to) => {
                let pending = Move { since: context.offset, to: to.clone() };
                self.moves.insert(edit.id.clone(), pending);
            }
        }
        edit.value.is_some()
    }

    /// Endpoints of a service that take new work.
    pub fn endpoints(&self, service: &ServiceId) -> impl Iterator<Item = (&VmId, &Vm)> {
        let pool = self.declaration.services.get(service).map(|s| &s.pool);
        self.declaration
            .vms
            .iter()
            .filter(move |(id, vm)| Some(&vm.pool) == pool && !self.drains.contains_key(*id))
    }

    /// Endpoints that take new work, by service. Needs only one pass over the VMs.
    pub fn routes(&self) -> IndexMap<&ServiceId, Vec<(&VmId, &Vm)>> {
        let mut pools: IndexMap<&str, Vec<(&VmId, &Vm)>> = IndexMap::new();
        for (id, vm) in self.declaration.vms.iter().filter(|(id, _)| !self.drains.contains_key(*id))
        {
            pools.entry(&vm.pool).or_default().push((id, vm));
        }
        let vms_of = |s: &Service| pools.get(s.pool.as_str()).cloned().unwrap_or_default();
        self.declaration.services.iter().map(|(id, service)| (id, vms_of(service))).collect()
    }

    /// The declaration as operators wrote it, with pending moves already applied.
    pub fn declared(&self) -> Declaration {
        let mut declaration = self.declaration.clone();
        for (id, pending) in &self.moves {
            match &pending.to {
                Some(to) => _ = declaration.vms.insert(id.clone(), to.clone()),
                None => _ = declaration.vms.shift_remove(id),
            }
        }
        declaration
    }
}

/// Applies an edit to a map; returns whether the object is declared afterwards.
fn apply_to_map<T: Clone>(map: &mut IndexMap<String, T>, edit: &Edit<T>) -> bool {
    match &edit.value {
        Some(value) => _ = map.insert(edit.id.clone(), value.clone()),
        None => _ = map.shift_remove(&edit.id),
    }
    edit.value.is_some()
}
