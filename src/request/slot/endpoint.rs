//! Slots of one endpoint that are held by this entry.
//!
//! Slots are counted in a [`Round`], and a grant is valid only in its round. Joining a later round
//! fixes the answer to its count and invalidates undelivered grants; the leader of the round
//! recovers their slots once every entry has answered.

use {
    super::message::{Peer, Round},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time after which an unanswered hello, grant or count is resent.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(200);

/// An unacknowledged grant.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) serial: u64,
    pub(super) slots: u32,
    pub(super) sent: Instant,
}

/// A recount led by this entry.
#[derive(Clone, Debug)]
pub(super) struct Recount {
    pub(super) answers: IndexMap<Peer, u32>,
    pub(super) asked: Instant,
}

/// Slots of one endpoint that are held by this entry.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// Declared number of slots.
    pub(super) slots: u32,
    /// Declared number of connections.
    pub(super) connections: u32,
    /// Whether the endpoint is in the current declaration.
    pub(super) declared: bool,
    /// Whether it gets new exchanges; false while it is leaving.
    pub(super) open: bool,
    pub(super) round: Round,
    pub(super) free: u32,
    pub(super) used: u32,
    /// Unacknowledged grants by receiver.
    pub(super) grants: IndexMap<Peer, Grant>,
    pub(super) recount: Option<Recount>,
    /// When to start a recount, if this entry leads.
    pub(super) due: Option<Instant>,
    /// Incarnations that have ended since the last completed recount led by this entry.
    pub(super) ended: Vec<Peer>,
    /// Until when exchanges of an ended incarnation may still run.
    pub(super) settled_at: Option<Instant>,
    counted: u32,
    debt: u32,
    shed: bool,
    resting: Vec<(Instant, u32)>,
    taken: IndexMap<Peer, u64>,
}

impl Endpoint {
    pub(super) fn new(floor: u64, ended: Vec<Peer>, now: Instant) -> Self {
        Self {
            slots: 0,
            connections: 0,
            declared: false,
            open: true,
            round: Round { number: floor, ..Round::default() },
            free: 0,
            used: 0,
            grants: IndexMap::new(),
            recount: None,
            due: Some(now),
            ended,
            settled_at: None,
            counted: 0,
            debt: 0,
            shed: false,
            resting: Vec::new(),
            taken: IndexMap::new(),
        }
    }

    /// Whether the endpoint gets new exchanges.
    pub(super) fn usable(&self) -> bool {
        self.declared && self.open
    }

    /// Number of slots held: free, used and resting.
    pub(super) fn held(&self) -> u32 {
        self.free + self.used + self.resting.iter().map(|(_, slots)| slots).sum::<u32>()
    }

    /// Whether an exchange of this entry, or of one that has ended, may still run.
    pub(super) fn busy(&self) -> bool {
        self.used > 0 || !self.resting.is_empty()
    }

    /// Number of slots held when the round was joined.
    pub(super) fn counted(&self) -> u32 {
        self.counted
    }

    /// Joins a round if it is later than the current one; returns whether it is.
    pub(super) fn join(&mut self, round: &Round) -> bool {
        if *round <= self.round {
            return false;
        }
        self.round = round.clone();
        self.counted = self.held();
        self.grants.clear();
        self.taken.clear();
        self.recount = None;
        self.debt = 0;
        self.shed = false;
        true
    }

    /// Takes the slots of a grant of this round; a repeated or overtaken grant has no effect.
    pub(super) fn take(&mut self, from: &Peer, serial: u64, slots: u32) {
        let last = self.taken.entry(from.clone()).or_default();
        if serial > *last {
            *last = serial;
            self.free += slots;
            self.pay();
        }
    }

    /// Marks a free slot as used.
    pub(super) fn acquire(&mut self) {
        self.free -= 1;
        self.used += 1;
    }

    /// Frees a used slot at once, or at `rest` if given.
    pub(super) fn release(&mut self, rest: Option<Instant>) {
        self.used = self.used.saturating_sub(1);
        match rest {
            Some(until) => self.resting.push((until, 1)),
            None => self.free += 1,
        }
        self.pay();
    }

    /// Adds the slots that a recount found missing, free at once or at `rest`; returns the number
    /// of surplus slots.
    pub(super) fn settle(&mut self, counted: u32, rest: Option<Instant>) -> u32 {
        let missing = self.slots.saturating_sub(counted);
        match rest {
            Some(until) if missing > 0 => self.resting.push((until, missing)),
            _ => self.free += missing,
        }
        counted.saturating_sub(self.slots)
    }

    /// Gives up slots, at once or as exchanges end; has an effect only once in a round.
    pub(super) fn shed(&mut self, slots: u32) {
        if !self.shed {
            self.shed = true;
            self.debt = slots;
            self.pay();
        }
    }

    /// Frees the slots whose rest has ended; returns whether there were any.
    pub(super) fn wake(&mut self, now: Instant) -> bool {
        let before = self.free;
        let free = &mut self.free;
        self.resting.retain(|(until, slots)| {
            let over = *until <= now;
            if over {
                *free += slots;
            }
            !over
        });
        let woken = self.free > before;
        self.pay();
        woken
    }

    fn pay(&mut self) {
        let paid = self.debt.min(self.free);
        self.free -= paid;
        self.debt -= paid;
    }
}
