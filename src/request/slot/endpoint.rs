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
    pub(super) last_sent: Instant,
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
    /// Latest round that this entry has joined.
    pub(super) round: Round,
    /// Held slots that can be used now.
    pub(super) free: u32,
    /// Held slots with a running exchange.
    pub(super) used: u32,
    /// Unacknowledged grants by receiver.
    pub(super) grants: IndexMap<Peer, Grant>,
    pub(super) recount: Option<Recount>,
    /// When to start a recount, if this entry leads.
    pub(super) recount_at: Option<Instant>,
    /// Incarnations that have ended since the last completed recount led by this entry.
    pub(super) ended: Vec<Peer>,
    /// Until when exchanges of an ended incarnation may still run.
    pub(super) cooldown_until: Option<Instant>,
    /// Number of slots held when the round was joined.
    held_at_join: u32,
    /// Slots still to be given up because the endpoint no longer has them.
    surplus: u32,
    /// Whether this entry has been asked to give up slots in this round.
    has_shed: bool,
    /// Held slots that are unused until a time, as an exchange may still run or was refused.
    cooling_down: Vec<(Instant, u32)>,
    /// Serial of the last grant taken from each peer in this round.
    last_taken: IndexMap<Peer, u64>,
}

impl Endpoint {
    pub(super) fn new(min_round: u64, ended: Vec<Peer>, now: Instant) -> Self {
        Self {
            slots: 0,
            connections: 0,
            declared: false,
            open: true,
            round: Round { number: min_round, ..Round::default() },
            free: 0,
            used: 0,
            grants: IndexMap::new(),
            recount: None,
            recount_at: Some(now),
            ended,
            cooldown_until: None,
            held_at_join: 0,
            surplus: 0,
            has_shed: false,
            cooling_down: Vec::new(),
            last_taken: IndexMap::new(),
        }
    }

    /// Whether the endpoint gets new exchanges.
    pub(super) fn usable(&self) -> bool {
        self.declared && self.open
    }

    /// Number of slots held: free, used and cooling down.
    pub(super) fn held(&self) -> u32 {
        self.free + self.used + self.cooling_down.iter().map(|(_, slots)| slots).sum::<u32>()
    }

    /// Whether an exchange of this entry, or of one that has ended, may still run.
    pub(super) fn busy(&self) -> bool {
        self.used > 0 || !self.cooling_down.is_empty()
    }

    /// Number of slots held when the round was joined.
    pub(super) fn held_at_join(&self) -> u32 {
        self.held_at_join
    }

    /// Joins a round if it is later than the current one; returns whether it is.
    pub(super) fn join(&mut self, round: &Round) -> bool {
        if *round <= self.round {
            return false;
        }
        self.round = round.clone();
        self.held_at_join = self.held();
        self.grants.clear();
        self.last_taken.clear();
        self.recount = None;
        self.surplus = 0;
        self.has_shed = false;
        true
    }

    /// Takes the slots of a grant of this round; a repeated or overtaken grant has no effect.
    pub(super) fn take(&mut self, from: &Peer, serial: u64, slots: u32) {
        let last = self.last_taken.entry(from.clone()).or_default();
        if serial > *last {
            *last = serial;
            self.free += slots;
            self.drop_surplus();
        }
    }

    /// Marks a free slot as used.
    pub(super) fn acquire(&mut self) {
        self.free -= 1;
        self.used += 1;
    }

    /// Frees a used slot at once, or at `cooldown_until` if given.
    pub(super) fn release(&mut self, cooldown_until: Option<Instant>) {
        self.used = self.used.saturating_sub(1);
        match cooldown_until {
            Some(until) => self.cooling_down.push((until, 1)),
            None => self.free += 1,
        }
        self.drop_surplus();
    }

    /// Adds the slots that a recount found missing, free at once or at `cooldown_until`; returns
    /// the number of surplus slots.
    pub(super) fn add_missing(&mut self, counted: u32, cooldown_until: Option<Instant>) -> u32 {
        let missing = self.slots.saturating_sub(counted);
        match cooldown_until {
            Some(until) if missing > 0 => self.cooling_down.push((until, missing)),
            _ => self.free += missing,
        }
        counted.saturating_sub(self.slots)
    }

    /// Gives up slots, at once or as exchanges end; has an effect only once in a round.
    pub(super) fn shed(&mut self, slots: u32) {
        if !self.has_shed {
            self.has_shed = true;
            self.surplus = slots;
            self.drop_surplus();
        }
    }

    /// Frees the slots whose cooldown has ended; returns whether there were any.
    pub(super) fn end_cooldowns(&mut self, now: Instant) -> bool {
        let before = self.free;
        let free = &mut self.free;
        self.cooling_down.retain(|(until, slots)| {
            let ended = *until <= now;
            if ended {
                *free += slots;
            }
            !ended
        });
        let freed = self.free > before;
        self.drop_surplus();
        freed
    }

    /// Gives up free slots that are still to be given up.
    fn drop_surplus(&mut self) {
        let dropped = self.surplus.min(self.free);
        self.free -= dropped;
        self.surplus -= dropped;
    }
}
