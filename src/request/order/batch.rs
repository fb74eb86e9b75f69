//! When lines go to the log: one append in flight, everything that waits in the next.
//!
//! An append whose answer was lost may have happened. It is repeated under the same name until its
//! record is known to be in the log, and nothing later is sent before, so an entry's lines are in
//! the log in the order in which it wrote them.

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

/// Time between two appends of one entry, at least.
const MIN_GAP: Duration = Duration::from_millis(5);
/// Appends of all entries in a second, at most.
const APPENDS_PER_SECOND: u32 = 250;
/// Lines in one append, at most.
const MAX_LINES: usize = 512;
/// Time after which an unanswered append is repeated.
const REPEAT: Duration = Duration::from_millis(500);
/// Time without an answer after which the log counts as out.
const OUTAGE: Duration = Duration::from_secs(2);

/// An append that is not yet known to be in the log.
#[derive(Debug)]
struct Flight {
    append: Append,
    sequence: u64,
    begun: Instant,
    sent: Option<Instant>,
}

/// Lines of one incarnation on their way to the log.
#[derive(Debug)]
pub struct Batcher {
    owner: Owner,
    gap: Duration,
    waiting: VecDeque<Transition>,
    /// A record is wanted though no line waits.
    wants_mark: bool,
    flight: Option<Flight>,
    last: Option<Instant>,
    sequence: u64,
}

impl Batcher {
    /// Nothing written yet.
    pub fn new(owner: Owner) -> Self {
        Self {
            owner,
            gap: MIN_GAP,
            waiting: VecDeque::new(),
            wants_mark: false,
            flight: None,
            last: None,
            sequence: 0,
        }
    }

    /// Shares the log's appends between so many entries.
    pub fn set_entries(&mut self, entries: u32) {
        self.gap = MIN_GAP.max(Duration::from_secs(1) * entries / APPENDS_PER_SECOND);
    }

    /// Adds a line to the next append.
    pub fn push(&mut self, line: Transition) {
        self.waiting.push_back(line);
    }

    /// Asks for a record even without lines, which tells the platform's clock.
    pub fn mark(&mut self) {
        self.wants_mark = true;
    }

    /// Whether a claim was not sent yet.
    pub fn is_unsent(&self, order: OrderId) -> bool {
        self.place(order).is_some()
    }

    /// Takes a claim back that was not sent; false if it was.
    pub fn retract(&mut self, order: OrderId) -> bool {
        let place = self.place(order);
        place.and_then(|place| self.waiting.remove(place)).is_some()
    }

    fn place(&self, order: OrderId) -> Option<usize> {
        let is_claim =
            |l: &Transition| matches!(l, Transition::Claim { order: o, .. } if *o == order);
        self.waiting.iter().rposition(is_claim)
    }

    /// The append to send now, if it is time.
    pub fn poll(&mut self, now: Instant) -> Option<Append> {
        if let Some(flight) = &mut self.flight {
            let is_due = flight.sent.is_none_or(|sent| now.duration_since(sent) >= REPEAT);
            return is_due.then(|| {
                flight.sent = Some(now);
                flight.append.clone()
            });
        }
        let is_early = self.last.is_some_and(|last| now.duration_since(last) < self.gap);
        if is_early || self.waiting.is_empty() && !self.wants_mark {
            return None;
        }
        self.send(now)
    }

    fn send(&mut self, now: Instant) -> Option<Append> {
        let count = self.waiting.len().min(MAX_LINES);
        let lines: Vec<Transition> = self.waiting.drain(..count).collect();
        self.wants_mark = false;
        self.sequence += 1;
        let (entry, incarnation) = self.owner.clone();
        let id = format!("orders-{entry}-{incarnation:016x}-{}", self.sequence);
        let batch = Batch { entry, incarnation, sequence: self.sequence, lines };
        // Lines are plain data, which always has a JSON form.
        let append = Append::new(id, &batch).ok()?;
        let sequence = self.sequence;
        self.flight =
            Some(Flight { append: append.clone(), sequence, begun: now, sent: Some(now) });
        self.last = Some(now);
        Some(append)
    }

    /// Learns that an append ended; `is_stored` if it is known to be in the log.
    pub fn appended(&mut self, id: &str, is_stored: bool) {
        self.flight.take_if(|flight| is_stored && flight.append.id == id);
    }

    /// Learns that this incarnation's batch was read back.
    pub fn read(&mut self, sequence: u64) {
        self.flight.take_if(|flight| flight.sequence <= sequence);
    }

    /// Whether the log has not taken an append for long.
    pub fn is_out(&self, now: Instant) -> bool {
        self.flight.as_ref().is_some_and(|f| now.duration_since(f.begun) >= OUTAGE)
    }

    /// Whether everything written is in the log.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && !self.wants_mark && self.flight.is_none()
    }
}
