//! Batches an entry's transitions into appends to the orders stream, one append in flight at a
//! time.
//!
//! An append whose answer was lost may have taken effect. It is resent under the same id until its
//! record is known to be in the log, and nothing later is sent before that, so an entry's
//! transitions are in the log in the order in which it wrote them.

use {
    super::Owner,
    crate::{
        id::OrderId,
        platform::Append,
        record::{Batch, Transition},
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Minimum time between two appends of one entry.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum appends per second of all entries together.
const APPENDS_PER_SECOND: u32 = 250;
/// Maximum number of transitions in one append.
const MAX_TRANSITIONS: usize = 512;
/// Total length of the stored answers from which on an append takes no further transition, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Time after which an unanswered append is resent.
const RESEND_AFTER: Duration = Duration::from_millis(500);
/// Time without an answer after which the log counts as unavailable.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(2);

/// The append in flight, which is not yet known to be in the log.
#[derive(Debug)]
struct Inflight {
    append: Append,
    sequence: u64,
    first_sent: Instant,
    last_sent: Option<Instant>,
}

/// Queue of one incarnation's transitions to append.
#[derive(Debug)]
pub struct Batcher {
    owner: Owner,
    /// Minimum time between two appends of this entry.
    interval: Duration,
    /// Transitions that have not been sent.
    queued: VecDeque<Transition>,
    /// Whether to append a record even if no transition is queued.
    record_requested: bool,
    inflight: Option<Inflight>,
    /// When the last append was first sent.
    last_append: Option<Instant>,
    /// Number of the last batch.
    sequence: u64,
}

impl Batcher {
    /// Creates a batcher for an incarnation that has written nothing.
    pub fn new(owner: Owner) -> Self {
        Self {
            owner,
            interval: MIN_INTERVAL,
            queued: VecDeque::new(),
            record_requested: false,
            inflight: None,
            last_append: None,
            sequence: 0,
        }
    }

    /// Sets the number of entries that share the maximum rate of appends.
    pub fn set_entries(&mut self, entries: u32) {
        self.interval = MIN_INTERVAL.max(Duration::from_secs(1) * entries / APPENDS_PER_SECOND);
    }

    /// Queues a transition for the next append.
    pub fn push(&mut self, transition: Transition) {
        self.queued.push_back(transition);
    }

    /// Requests a record even without transitions, since its timestamp gives the platform's clock.
    pub fn request_record(&mut self) {
        self.record_requested = true;
    }

    /// Whether a claim is queued and has not been sent.
    pub fn is_unsent(&self, order: OrderId) -> bool {
        self.position(order).is_some()
    }

    /// Removes a claim that has not been sent; returns whether there was one.
    pub fn remove_unsent(&mut self, order: OrderId) -> bool {
        let position = self.position(order);
        position.and_then(|position| self.queued.remove(position)).is_some()
    }

    /// Position of a queued claim.
    fn position(&self, order: OrderId) -> Option<usize> {
        let is_claim =
            |l: &Transition| matches!(l, Transition::Claim { order: o, .. } if *o == order);
        self.queued.iter().rposition(is_claim)
    }

    /// Returns the append to send now, if one is due.
    pub fn poll(&mut self, now: Instant) -> Option<Append> {
        if let Some(inflight) = &mut self.inflight {
            let is_due =
                inflight.last_sent.is_none_or(|sent| now.duration_since(sent) >= RESEND_AFTER);
            return is_due.then(|| {
                inflight.last_sent = Some(now);
                inflight.append.clone()
            });
        }
        let is_early =
            self.last_append.is_some_and(|last| now.duration_since(last) < self.interval);
        if is_early || self.queued.is_empty() && !self.record_requested {
            return None;
        }
        self.send(now)
    }

    /// Number of queued transitions that the next append takes.
    fn next_count(&self) -> usize {
        let mut bytes = 0;
        let next = self.queued.iter().take(MAX_TRANSITIONS).take_while(|transition| {
            let fits = bytes < MAX_ANSWER_BYTES;
            if let Transition::Done { answer, .. } = transition {
                bytes += answer.body.as_ref().map_or(0, String::len);
            }
            fits
        });
        next.count()
    }

    /// Puts the queued transitions into a new append.
    fn send(&mut self, now: Instant) -> Option<Append> {
        let count = self.next_count();
        let transitions: Vec<Transition> = self.queued.drain(..count).collect();
        self.record_requested = false;
        self.sequence += 1;
        let (entry, incarnation) = self.owner.clone();
        let id = format!("orders-{entry}-{incarnation:016x}-{}", self.sequence);
        let batch = Batch { entry, incarnation, sequence: self.sequence, lines: transitions };
        // Encoding can't fail: transitions are plain data with a JSON form.
        let append = Append::new(id, &batch).ok()?;
        let sequence = self.sequence;
        self.inflight = Some(Inflight {
            append: append.clone(),
            sequence,
            first_sent: now,
            last_sent: Some(now),
        });
        self.last_append = Some(now);
        Some(append)
    }

    /// Handles the answer to an append; `is_stored` is whether it is known to be in the log.
    pub fn appended(&mut self, id: &str, is_stored: bool) {
        self.inflight.take_if(|inflight| is_stored && inflight.append.id == id);
    }

    /// Records that this incarnation's batch has been read back from the log.
    pub fn read(&mut self, sequence: u64) {
        self.inflight.take_if(|inflight| inflight.sequence <= sequence);
    }

    /// Whether the append in flight has been unanswered for so long that the log counts as
    /// unavailable.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.inflight
            .as_ref()
            .is_some_and(|f| now.duration_since(f.first_sent) >= UNAVAILABLE_AFTER)
    }

    /// Whether everything written is in the log.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty() && !self.record_requested && self.inflight.is_none()
    }
}
