//! The ways to choose a runner for an exchange.

use {
    carobhitch::slot::{Permit, Table},
    rand::{Rng, rngs::SmallRng},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::Instant,
    },
};

pub const RUNNERS: usize = 10;
pub const SLOTS: u32 = 8;

/// Who may spend a runner's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each entry has a fixed share of each runner's slots.
    Shares,
    /// Slots move between entries by demand.
    Tokens,
    /// One entry owns a runner; the others forward to it.
    Owner,
    /// Each entry sends to the less used of two, and the runner refuses.
    LeastOfTwo,
}

/// What an entry knows about the runners.
pub struct Choice {
    pub policy: Policy,
    pub table: Table,
    pub used: Vec<u32>,
    pub limit: Vec<u32>,
    pub most: u32,
}

pub fn service() -> String {
    String::from("quote")
}

pub fn vm(runner: usize) -> String {
    format!("vm-{runner}")
}

/// The fixed share of an entry; the remainder goes round.
pub fn share(entry: usize, entries: usize, runner: usize) -> u32 {
    let rest = SLOTS as usize % entries;
    let extra = (entry + entries - runner % entries) % entries < rest;
    SLOTS / entries as u32 + u32::from(extra)
}

/// Owner of a runner among the entries that one of them believes to be alive.
pub fn owner(runner: usize, alive: &[bool]) -> usize {
    let score = |entry: &usize| {
        let mut hasher = DefaultHasher::new();
        (*entry, runner, "owner").hash(&mut hasher);
        hasher.finish()
    };
    (0..alive.len()).filter(|entry| alive[*entry]).max_by_key(score).unwrap_or(0)
}

impl Choice {
    /// Chooses a runner to send an exchange to, and counts it as used.
    pub fn acquire(&mut self, now: Instant, rng: &mut SmallRng) -> Option<usize> {
        let runner = match self.policy {
            Policy::Tokens => {
                let permit = self.table.acquire(now, &service(), |_| true)?;
                permit.endpoint.trim_start_matches("vm-").parse().ok()?
            }
            Policy::Shares | Policy::Owner => (0..RUNNERS)
                .filter(|r| self.used[*r] < self.limit[*r])
                .max_by_key(|r| self.limit[*r] - self.used[*r])?,
            Policy::LeastOfTwo => {
                if self.used.iter().sum::<u32>() >= self.most {
                    return None;
                }
                self.least_of_two(rng)?
            }
        };
        self.used[runner] += 1;
        Some(runner)
    }

    /// The less used of two runners.
    pub fn least_of_two(&self, rng: &mut SmallRng) -> Option<usize> {
        let (a, b) = (rng.random_range(0..RUNNERS), rng.random_range(0..RUNNERS));
        let runner = if self.used[a] <= self.used[b] { a } else { b };
        (self.used[runner] < SLOTS).then_some(runner)
    }

    /// Counts an exchange as ended.
    pub fn release(&mut self, now: Instant, runner: usize) {
        self.used[runner] -= 1;
        if self.policy == Policy::Tokens {
            let (runner, service) = (vm(runner), service());
            self.table.release(now, Permit { endpoint: runner, service, lease: None });
        }
    }

    /// Slots that the entry can count on.
    pub fn supply(&self, entries: usize) -> u32 {
        match self.policy {
            Policy::Tokens => self.table.supply(&service()),
            Policy::Shares | Policy::Owner => self.limit.iter().sum(),
            Policy::LeastOfTwo => RUNNERS as u32 * SLOTS / entries as u32,
        }
    }
}
