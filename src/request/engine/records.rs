//! Fleet records: those read from the log, those to append, and operators' calls.

use {
    super::Engine,
    crate::{
        event::{Action, CallId, Stream},
        id::{EntryId, Incarnation, Offset, OperationId},
        platform::{Append, Page},
        record::{Body, Record},
        state::State,
    },
    log::{info, warn},
    std::{
        sync::{Arc, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time after which an unanswered append is resent.
const RESEND_AFTER: Duration = Duration::from_secs(1);

/// A fleet record that is not yet known to be in the log.
pub(super) struct Pending {
    append: Append,
    sent: Option<Instant>,
}

impl Engine {
    /// Applies records that were read from the fleet stream.
    pub(super) fn read_records(&mut self, now: Instant, page: Page) {
        self.log_unreadable = false;
        self.snapshots.first_kept = page.first;
        let mut changed = false;
        for entry in page.records {
            match entry.decode::<Record>() {
                Ok(record) => changed |= self.apply(entry.offset, &record),
                Err(error) => {
                    warn!("engine: Record {} can't be decoded: {error}.", entry.offset);
                    self.skip(entry.offset);
                }
            }
        }
        if changed {
            self.update_members(now);
            self.update_endpoints(now);
        }
        let next = self.shared.state().next;
        self.was_member |= self.joined();
        if self.was_member && !self.joined() && !self.stopping {
            warn!("engine: The log says that this incarnation has ended.");
            return self.actions.push(Action::Expelled);
        }
        if next >= page.end && !self.needs_no_join() {
            info!("engine: Caught up with the log at offset {next}.");
            self.has_state = true;
            self.join(now);
            self.resend_pending(now);
        }
    }

    /// Applies a record unless the state includes it already; returns whether it was applied.
    fn apply(&mut self, offset: Offset, record: &Record) -> bool {
        let verdict = {
            let mut state = self.shared.state.write().unwrap_or_else(PoisonError::into_inner);
            if offset < state.next {
                return false;
            }
            Arc::make_mut(&mut state).apply(offset, record)
        };
        self.pending.shift_remove(&record.operation);
        if let Some(call) = self.calls.remove(&record.operation) {
            self.actions.push(Action::Reply { call, verdict: Some((offset, verdict)) });
        }
        true
    }

    /// Skips a record that can't be decoded, as every entry does.
    fn skip(&mut self, offset: Offset) {
        let mut state = self.shared.state.write().unwrap_or_else(PoisonError::into_inner);
        Arc::make_mut(&mut state).skip(offset);
    }

    /// Replaces the state by a newer one from a peer or a snapshot.
    pub(super) fn adopt_state(&mut self, now: Instant, state: State) {
        let next = state.next;
        {
            let mut own = self.shared.state.write().unwrap_or_else(PoisonError::into_inner);
            if next <= own.next {
                return;
            }
            *own = Arc::new(state);
        }
        info!("engine: Adopted the state at offset {next} from a peer or a snapshot.");
        self.has_state = true;
        self.update_members(now);
        self.update_endpoints(now);
    }

    /// Handles a failed read of the fleet stream; `first` is the first offset that the log still
    /// holds if the requested records were dropped.
    pub(super) fn read_failed(&mut self, first: Option<Offset>) {
        self.log_unreadable = true;
        if let Some(first) = first {
            warn!("engine: The log holds only records from offset {first} on.");
        }
    }

    /// Whether no join record is needed: this incarnation has joined, is joining or is stopping.
    fn needs_no_join(&self) -> bool {
        self.joined() || self.pending.contains_key(&self.join_operation()) || self.stopping
    }

    fn join_operation(&self) -> String {
        format!("join-{}-{:016x}", self.me.id, self.me.incarnation)
    }

    fn join(&mut self, now: Instant) {
        let body = Body::Join { entry: self.me.clone() };
        self.propose(now, self.join_operation(), body);
    }

    /// Proposes the record that an incarnation has ended.
    pub(super) fn record_gone(&mut self, now: Instant, entry: EntryId, incarnation: Incarnation) {
        let operation = format!("gone-{entry}-{incarnation:016x}");
        self.propose(now, operation, Body::Gone { entry, incarnation });
    }

    /// Confirms the drains of VMs on which no exchange of this entry may still run.
    pub(super) fn confirm_drains(&mut self, now: Instant) {
        let state = self.shared.state();
        for (vm, drain) in &state.drains {
            let asked = drain.waiting.contains(&self.me.id);
            if !asked || self.slots.busy(vm) {
                continue;
            }
            let incarnation = self.me.incarnation;
            let since = drain.since;
            let operation = format!("emptied-{vm}-{since}-{}-{incarnation:016x}", self.me.id);
            let (vm, entry) = (vm.clone(), self.me.id.clone());
            self.propose(now, operation, Body::Emptied { vm, entry, incarnation, drain: since });
        }
    }

    /// Handles an operator's call: answers it if its record is in the state already, else appends
    /// the record.
    pub(super) fn operator_called(&mut self, call: CallId, record: Record) {
        let known = self.shared.state().verdicts.get(&record.operation).cloned();
        if known.is_some() {
            return self.actions.push(Action::Reply { call, verdict: known });
        }
        self.calls.insert(record.operation.clone(), call);
        self.append(record);
    }

    /// Appends a record of this entry unless it is pending already.
    fn propose(&mut self, now: Instant, operation: OperationId, body: Body) {
        if self.pending.contains_key(&operation) {
            return;
        }
        let at = self.wall_time(now);
        self.append(Record { operation, author: self.me.id.clone(), at, body });
    }

    /// Adds a record to those pending.
    pub(super) fn append(&mut self, record: Record) {
        let id = record.operation.clone();
        match Append::new(id.clone(), &record) {
            Ok(append) => _ = self.pending.insert(id, Pending { append, sent: None }),
            Err(error) => warn!("engine: Record {id} can't be encoded: {error}."),
        }
    }

    /// Sends each pending record that has not been sent or whose append was not answered in time.
    pub(super) fn resend_pending(&mut self, now: Instant) {
        for pending in self.pending.values_mut() {
            if pending.sent.is_none_or(|at| now.duration_since(at) >= RESEND_AFTER) {
                pending.sent = Some(now);
                let record = pending.append.clone();
                self.actions.push(Action::Append { stream: Stream::Fleet, record });
            }
        }
    }

    /// Handles the answer to an append; without an offset, the record is sent again.
    pub(super) fn appended(&mut self, id: &str, offset: Option<Offset>) {
        if offset.is_some() {
            return;
        }
        if let Some(pending) = self.pending.get_mut(id) {
            pending.sent = None;
        }
    }
}
