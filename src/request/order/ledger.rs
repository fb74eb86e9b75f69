//! What the orders' stream says of each order.
//!
//! Applying the same records in the same order gives the same ledger on every entry. Memory is
//! bounded: claims are forgotten after a retention of record time. [`Ledger::knows`] tells whether a
//! key could have been claimed before what the ledger remembers; an order whose key could is never
//! run. For a key that tells when it was drawn this holds for ever, for another key within the
//! retention.

use {
    super::Key,
    crate::{
        id::{EntryId, Incarnation, Offset, OrderId},
        record::{Answer, Batch, Line},
    },
    indexmap::IndexMap,
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// How far a caller's clock may be ahead of the platform's.
const MAX_AHEAD: Duration = Duration::from_secs(10);

/// The incarnation of an entry that wrote a claim.
pub type Owner = (EntryId, Incarnation);

/// What a ledger remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Record time for which claims are kept.
    pub claims: Duration,
    /// Claims kept, at most.
    pub max_claims: usize,
    /// Record time for which bodies of answers are kept.
    pub bodies: Duration,
    /// Bytes of bodies kept, at most.
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

/// What is known of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nobody holds a claim to it.
    Free,
    /// Claimed; only its owner may run it.
    Owned(Owner),
    /// It ran, and this is the answer.
    Done(Answer),
    /// It may have run.
    Unknown,
    /// The key names another request.
    Mismatch,
}

#[derive(Clone, Debug)]
struct Claim {
    owner: Arc<Owner>,
    offset: Offset,
    request: u64,
    phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
    Open,
    Done(Box<Answer>),
    Unknown,
}

/// An incarnation that wrote to the stream.
#[derive(Clone, Debug)]
struct Writer {
    owner: Arc<Owner>,
    sequence: u64,
    at: Duration,
}

/// One body kept, in the order of its record.
#[derive(Clone, Copy, Debug)]
struct Kept {
    at: Duration,
    order: OrderId,
    bytes: usize,
}

/// State of the orders' stream at one offset.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    retention: Retention,
    claims: IndexMap<OrderId, Claim>,
    ages: VecDeque<(Duration, Offset, OrderId)>,
    bodies: VecDeque<Kept>,
    body_bytes: usize,
    writers: IndexMap<Owner, Writer>,
    /// Greatest record time so far.
    clock: Duration,
    /// Record time of the youngest claim that was forgotten.
    forgotten: Duration,
    /// Record time before which records were missed.
    missed: Duration,
    /// Records were missed, and none was read since.
    is_blind: bool,
    next: Offset,
}

impl Ledger {
    /// Empty ledger at offset 0.
    pub fn new(retention: Retention) -> Self {
        Self { retention, ..Self::default() }
    }

    /// Offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies the record that the platform appended at `at`, and tells whether it took effect: one
    /// that its writer's later record has overtaken has none.
    pub fn apply(&mut self, offset: Offset, at: Duration, batch: &Batch) -> bool {
        if offset < self.next {
            return false;
        }
        self.miss(offset);
        self.clock = self.clock.max(at);
        if std::mem::take(&mut self.is_blind) {
            self.missed = self.clock;
        }
        self.next = offset + 1;
        let Some(owner) = self.writer(batch) else { return false };
        for line in &batch.lines {
            self.write(offset, &owner, line);
        }
        self.forget();
        true
    }

    /// Learns that the log holds records from `first` on only.
    pub fn miss(&mut self, first: Offset) {
        self.is_blind |= first > self.next;
        self.next = self.next.max(first);
    }

    /// Records were missed, and none was read since.
    pub fn is_blind(&self) -> bool {
        self.is_blind
    }

    /// Passes over a record that can't be read.
    pub fn skip(&mut self, offset: Offset) {
        self.miss(offset);
        self.next = self.next.max(offset + 1);
    }

    /// Writer of a batch, unless a later batch of it was applied.
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

    fn write(&mut self, offset: Offset, owner: &Arc<Owner>, line: &Line) {
        let order = line.order();
        if let Line::Claim { request, .. } = line {
            if !self.claims.contains_key(&order) {
                let (owner, request) = (owner.clone(), *request);
                self.claims.insert(order, Claim { owner, offset, request, phase: Phase::Open });
                self.ages.push_back((self.clock, offset, order));
            }
            return;
        }
        let Some(claim) = self.claims.get_mut(&order).filter(|c| c.owner == *owner) else {
            return;
        };
        match line {
            Line::Done { answer, .. } => {
                claim.phase = Phase::Done(Box::new(answer.clone()));
                let bytes = answer.body.as_ref().map_or(0, String::len);
                self.body_bytes += bytes;
                self.bodies.push_back(Kept { at: self.clock, order, bytes });
            }
            Line::Unknown { .. } => claim.phase = Phase::Unknown,
            Line::Release { .. } if matches!(claim.phase, Phase::Open) => {
                self.claims.swap_remove(&order);
            }
            Line::Claim { .. } | Line::Release { .. } => (),
        }
    }

    fn forget(&mut self) {
        while let Some((at, offset, order)) = self.ages.front().copied() {
            let is_old = at + self.retention.claims < self.clock;
            let is_over = self.claims.len() > self.retention.max_claims;
            if !is_old && !is_over {
                break;
            }
            self.ages.pop_front();
            if self.claims.get(&order).is_some_and(|c| c.offset == offset) {
                self.claims.swap_remove(&order);
                self.forgotten = at.max(self.forgotten);
            }
        }
        while let Some(kept) = self.bodies.front().copied() {
            let is_old = kept.at + self.retention.bodies < self.clock;
            if !is_old && self.body_bytes <= self.retention.max_body_bytes {
                break;
            }
            self.bodies.pop_front();
            self.body_bytes -= kept.bytes;
            if let Some(Claim { phase: Phase::Done(answer), .. }) = self.claims.get_mut(&kept.order)
            {
                answer.body = None;
            }
        }
    }

    /// What is known of an order that names `request`; `is_gone` tells whether an owner has ended.
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

    /// Whether an open claim of `owner` is the one that counts.
    pub fn is_owned_by(&self, order: OrderId, owner: &Owner) -> bool {
        let claim = self.claims.get(&order);
        claim.is_some_and(|c| *c.owner == *owner && matches!(c.phase, Phase::Open))
    }

    /// Whether a claim of the key, had there been one, would be remembered.
    pub fn knows(&self, key: &Key) -> bool {
        if self.is_blind {
            return false;
        }
        match key.drawn {
            Some(drawn) => {
                let horizon = self.forgotten.max(self.missed);
                horizon.is_zero() || drawn > horizon + MAX_AHEAD
            }
            None => self.missed.is_zero() || self.missed + self.retention.claims < self.clock,
        }
    }

    /// Whether the key was drawn later than the platform's clock allows.
    pub fn is_ahead(&self, key: &Key) -> bool {
        key.drawn.is_some_and(|drawn| drawn > self.clock + MAX_AHEAD)
    }
}
