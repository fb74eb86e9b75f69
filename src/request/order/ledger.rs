//! State of each order as recorded in the orders stream.
//!
//! Applying the same records in the same order gives the same ledger on every entry. Memory is
//! bounded: claims expire after a retention period, measured in record time. [`Ledger::covers`]
//! returns whether the ledger would hold an earlier claim of a key; an order whose earlier claim
//! could have been dropped is never run. For a key that contains its creation time this holds
//! forever, for other keys within the retention period.

use {
    super::Key,
    crate::{
        id::{EntryId, Incarnation, Offset, OrderId},
        record::{Answer, Batch, Transition},
    },
    indexmap::IndexMap,
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Tolerance for callers' clocks that are ahead of the platform's.
const MAX_AHEAD: Duration = Duration::from_secs(10);

/// The incarnation of an entry that wrote a claim.
pub type Owner = (EntryId, Incarnation);

/// Limits of the time for which claims are kept and of their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Record time for which claims are kept.
    pub claims: Duration,
    /// Maximum number of claims kept.
    pub max_claims: usize,
    /// Record time for which bodies of answers are kept.
    pub bodies: Duration,
    /// Maximum total size of the bodies kept.
    pub max_body_bytes: usize,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            claims: Duration::from_secs(3600),
            max_claims: 100_000,
            bodies: Duration::from_secs(120),
            max_body_bytes: 4 << 20,
        }
    }
}

/// State of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has no claim.
    Free,
    /// It is claimed; only the owner may run it.
    Owned(Owner),
    /// It ran and was answered.
    Done(Answer),
    /// It may have run.
    Unknown,
    /// Its key was used for a different request.
    Mismatch,
}

/// The winning claim to an order.
#[derive(Clone, Debug)]
struct Claim {
    owner: Arc<Owner>,
    offset: Offset,
    /// Fingerprint of the request.
    request: u64,
    phase: Phase,
}

/// Outcome of a claimed order.
#[derive(Clone, Debug)]
enum Phase {
    Open,
    Done(Box<Answer>),
    Unknown,
}

/// An incarnation that has written to the stream.
#[derive(Clone, Debug)]
struct Writer {
    owner: Arc<Owner>,
    /// Highest number of its applied batches.
    sequence: u64,
    /// Record time of its last batch.
    at: Duration,
}

/// A kept body of an answer; bodies are listed in the order of their records.
#[derive(Clone, Copy, Debug)]
struct Body {
    at: Duration,
    order: OrderId,
    bytes: usize,
}

/// State of the orders stream at one offset.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    retention: Retention,
    claims: IndexMap<OrderId, Claim>,
    /// Claims in the order of their records, which is the order in which they expire.
    by_age: VecDeque<(Duration, Offset, OrderId)>,
    bodies: VecDeque<Body>,
    body_bytes: usize,
    writers: IndexMap<Owner, Writer>,
    /// Latest record time so far.
    clock: Duration,
    /// Record time of the latest claim that has expired.
    expired_until: Duration,
    /// Record time before which records were missed.
    gap_end: Duration,
    /// Whether records were missed and none has been read since.
    in_gap: bool,
    next: Offset,
}

impl Ledger {
    /// Creates an empty ledger at offset 0.
    pub fn new(retention: Retention) -> Self {
        Self { retention, ..Self::default() }
    }

    /// Offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies the record that the platform appended at `at`; returns whether it took effect.
    ///
    /// A record has no effect if a later one of the same writer precedes it in the log.
    pub fn apply(&mut self, offset: Offset, at: Duration, batch: &Batch) -> bool {
        if offset < self.next {
            return false;
        }
        self.note_gap(offset);
        self.clock = self.clock.max(at);
        if std::mem::take(&mut self.in_gap) {
            self.gap_end = self.clock;
        }
        self.next = offset + 1;
        let Some(owner) = self.writer(batch) else { return false };
        for transition in &batch.lines {
            self.apply_transition(offset, &owner, transition);
        }
        self.expire();
        true
    }

    /// Skips to `first`, before which the log no longer holds records.
    pub fn note_gap(&mut self, first: Offset) {
        self.in_gap |= first > self.next;
        self.next = self.next.max(first);
    }

    /// Whether records were missed and none has been read since.
    pub fn in_gap(&self) -> bool {
        self.in_gap
    }

    /// Skips a record that can't be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.note_gap(offset);
        self.next = self.next.max(offset + 1);
    }

    /// Writer of a batch; `None` if a later batch of the same writer has been applied.
    fn writer(&mut self, batch: &Batch) -> Option<Arc<Owner>> {
        let owner = (batch.entry.clone(), batch.incarnation);
        if let Some(writer) = self.writers.get_mut(&owner) {
            let is_later = batch.sequence > writer.sequence;
            writer.sequence = batch.sequence.max(writer.sequence);
            writer.at = self.clock;
            return is_later.then(|| writer.owner.clone());
        }
        let oldest = self.clock.saturating_sub(self.retention.claims);
        self.writers.retain(|_, writer| writer.at >= oldest);
        let shared = Arc::new(owner.clone());
        let (sequence, at) = (batch.sequence, self.clock);
        self.writers.insert(owner, Writer { owner: shared.clone(), sequence, at });
        Some(shared)
    }

    /// Applies a transition: the first claim wins, and others have an effect only if
    /// written by the owner of the winning claim.
    fn apply_transition(&mut self, offset: Offset, owner: &Arc<Owner>, transition: &Transition) {
        let order = transition.order();
        if let Transition::Claim { request, .. } = transition {
            if !self.claims.contains_key(&order) {
                let (owner, request) = (owner.clone(), *request);
                self.claims.insert(order, Claim { owner, offset, request, phase: Phase::Open });
                self.by_age.push_back((self.clock, offset, order));
            }
            return;
        }
        let Some(claim) = self.claims.get_mut(&order).filter(|c| c.owner == *owner) else {
            return;
        };
        match transition {
            Transition::Done { answer, .. } => {
                claim.phase = Phase::Done(Box::new(answer.clone()));
                let bytes = answer.body.as_ref().map_or(0, String::len);
                self.body_bytes += bytes;
                self.bodies.push_back(Body { at: self.clock, order, bytes });
            }
            Transition::Unknown { .. } => claim.phase = Phase::Unknown,
            Transition::Release { .. } if matches!(claim.phase, Phase::Open) => {
                self.claims.swap_remove(&order);
            }
            Transition::Claim { .. } | Transition::Release { .. } => (),
        }
    }

    /// Removes expired claims and bodies.
    fn expire(&mut self) {
        while let Some((at, offset, order)) = self.by_age.front().copied() {
            let is_old = at + self.retention.claims < self.clock;
            let is_over = self.claims.len() > self.retention.max_claims;
            if !is_old && !is_over {
                break;
            }
            self.by_age.pop_front();
            if self.claims.get(&order).is_some_and(|c| c.offset == offset) {
                self.claims.swap_remove(&order);
                self.expired_until = at.max(self.expired_until);
            }
        }
        while let Some(body) = self.bodies.front().copied() {
            let is_old = body.at + self.retention.bodies < self.clock;
            if !is_old && self.body_bytes <= self.retention.max_body_bytes {
                break;
            }
            self.bodies.pop_front();
            self.body_bytes -= body.bytes;
            if let Some(Claim { phase: Phase::Done(answer), .. }) = self.claims.get_mut(&body.order)
            {
                answer.body = None;
            }
        }
    }

    /// State of an order for a request with the fingerprint `request`; `is_gone` returns whether an
    /// owner has ended.
    pub fn verdict(
        &self,
        order: OrderId,
        request: u64,
        is_gone: impl Fn(&Owner) -> bool,
    ) -> Verdict {
        let Some(claim) = self.claims.get(&order) else { return Verdict::Free };
        if claim.request != request {
            return Verdict::Mismatch;
        }
        match &claim.phase {
            Phase::Done(answer) => Verdict::Done((**answer).clone()),
            Phase::Unknown => Verdict::Unknown,
            Phase::Open if is_gone(&claim.owner) => Verdict::Unknown,
            Phase::Open => Verdict::Owned((*claim.owner).clone()),
        }
    }

    /// Whether `owner` holds the winning claim and the order has no outcome yet.
    pub fn is_owned_by(&self, order: OrderId, owner: &Owner) -> bool {
        let claim = self.claims.get(&order);
        claim.is_some_and(|c| *c.owner == *owner && matches!(c.phase, Phase::Open))
    }

    /// Whether the ledger would hold an earlier claim of the key.
    pub fn covers(&self, key: &Key) -> bool {
        if self.in_gap {
            return false;
        }
        match key.created {
            Some(created) => {
                let horizon = self.expired_until.max(self.gap_end);
                horizon.is_zero() || created > horizon + MAX_AHEAD
            }
            None => self.gap_end.is_zero() || self.gap_end + self.retention.claims < self.clock,
        }
    }

    /// Whether the key's creation time is later than the platform's clock allows.
    pub fn is_ahead(&self, key: &Key) -> bool {
        key.created.is_some_and(|created| created > self.clock + MAX_AHEAD)
    }
}
