//! Agreed facts: records read from the log, records to append, operators' calls.

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

/// Time after which an unanswered append is repeated.
const REPEAT: Duration = Duration::from_secs(1);

/// A record that is not yet known to be in the log.
pub(super) struct Pending {
    append: Append,
    sent: Option<Instant>,
}

impl Engine {
    pub(super) fn read(&mut self, now: Instant, page: Page) {
        self.unread = false;
        self.snapshots.first_kept = page.first;
        let mut changed = false;
        for entry in page.records {
            match entry.decode::<Record>() {
                Ok(record) => changed |= self.apply(entry.offset, &record),
                Err(error) => {
                    warn!("engine: Record {} is unreadable: {error}.", entry.offset);
                    self.skip(entry.offset);
                }
            }
        }
        if changed {
            self.learn_members(now);
            self.learn_routes(now);
        }
        let next = self.shared.state().next;
        self.member |= self.joined();
        if self.member && !self.joined() && !self.stopping {
            warn!("engine: The log says that this incarnation has ended.");
            return self.actions.push(Action::Expelled);
        }
        if next >= page.end && !self.joined_once() {
            info!("engine: Caught up with the log at offset {next}.");
            self.sourced = true;
            self.join(now);
            self.repeat(now);
        }
    }

    /// Applies a record unless it is in the state already; true if it was applied.
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

    /// Passes over an unreadable record, as every entry does.
    fn skip(&mut self, offset: Offset) {
        let mut state = self.shared.state.write().unwrap_or_else(PoisonError::into_inner);
        Arc::make_mut(&mut state).skip(offset);
    }

    /// Puts a newer state from a peer in force.
    pub(super) fn replace(&mut self, now: Instant, state: State) {
        let next = state.next;
        {
            let mut own = self.shared.state.write().unwrap_or_else(PoisonError::into_inner);
            if next <= own.next {
                return;
            }
            *own = Arc::new(state);
        }
        info!("engine: Took the state at offset {next} from a peer.");
        self.sourced = true;
        self.learn_members(now);
        self.learn_routes(now);
    }

    pub(super) fn unread(&mut self, first: Option<Offset>) {
        self.unread = true;
        if let Some(first) = first {
            warn!("engine: The log holds records from {first} on only.");
        }
    }

    fn joined_once(&self) -> bool {
        self.joined() || self.pending.contains_key(&self.join_operation()) || self.stopping
    }

    fn join_operation(&self) -> String {
        format!("join-{}-{:016x}", self.me.id, self.me.incarnation)
    }

    fn join(&mut self, now: Instant) {
        let body = Body::Join { entry: self.me.clone() };
        self.propose(now, self.join_operation(), body);
    }

    /// Records that an incarnation has ended.
    pub(super) fn record_gone(&mut self, now: Instant, entry: EntryId, incarnation: Incarnation) {
        let operation = format!("gone-{entry}-{incarnation:016x}");
        self.propose(now, operation, Body::Gone { entry, incarnation });
    }

    /// Confirms the drains of VMs on which this entry holds no work.
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

    pub(super) fn called(&mut self, call: CallId, record: Record) {
        let known = self.shared.state().verdicts.get(&record.operation).cloned();
        if known.is_some() {
            return self.actions.push(Action::Reply { call, verdict: known });
        }
        self.calls.insert(record.operation.clone(), call);
        self.append(record);
    }

    fn propose(&mut self, now: Instant, operation: OperationId, body: Body) {
        if self.pending.contains_key(&operation) {
            return;
        }
        let at = self.wall(now);
        self.append(Record { operation, author: self.me.id.clone(), at, body });
    }

    pub(super) fn append(&mut self, record: Record) {
        let id = record.operation.clone();
        match Append::new(id.clone(), &record) {
            Ok(append) => _ = self.pending.insert(id, Pending { append, sent: None }),
            Err(error) => warn!("engine: Record {id} can't be encoded: {error}."),
        }
    }

    /// Sends each pending record that was not sent, or not answered in time.
    pub(super) fn repeat(&mut self, now: Instant) {
        for pending in self.pending.values_mut() {
            if pending.sent.is_none_or(|at| now.duration_since(at) >= REPEAT) {
                pending.sent = Some(now);
                let record = pending.append.clone();
                self.actions.push(Action::Append { stream: Stream::Fleet, record });
            }
        }
    }

    pub(super) fn appended(&mut self, id: &str, offset: Option<Offset>) {
        if offset.is_some() {
            return;
        }
        if let Some(pending) = self.pending.get_mut(id) {
            pending.sent = None;
        }
    }
}
