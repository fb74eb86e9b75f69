//! Policies to choose an endpoint for an exchange.

use {
    carobhitch::slot::{Permit, Table},
    rand::{Rng, rngs::SmallRng},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::Instant,
    },
};

/// Number of endpoints.
pub const ENDPOINTS: usize = 10;
/// Slots of an endpoint.
pub const SLOTS: u32 = 8;

/// Which entries may use an endpoint's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each entry has a fixed share of each endpoint's slots.
    Shares,
    /// Slots are transferred between entries by demand, as in the product.
    Tokens,
    /// Each endpoint is owned by one entry; the others relay their requests to it.
    Owner,
    /// Each entry sends to the less used of two random endpoints, and the endpoint refuses what
    /// exceeds its slots.
    LeastOfTwo,
}

/// An entry's view of the endpoints.
pub struct Balancer {
    pub policy: Policy,
    pub table: Table,
    /// Exchanges in flight from this entry, by endpoint.
    pub used: Vec<u32>,
    /// Maximum of `used`, by endpoint.
    pub limit: Vec<u32>,
    /// Maximum number of exchanges in flight from this entry under [`Policy::LeastOfTwo`].
    pub max_in_flight: u32,
}

pub fn service() -> String {
    String::from("quote")
}

pub fn vm(endpoint: usize) -> String {
    format!("vm-{endpoint}")
}

/// Fixed share of an entry in an endpoint's slots; the remainder rotates over the entries.
pub fn share(entry: usize, entries: usize, endpoint: usize) -> u32 {
    let remainder = SLOTS as usize % entries;
    let extra = (entry + entries - endpoint % entries) % entries < remainder;
    SLOTS / entries as u32 + u32::from(extra)
}

/// Owner of an endpoint among the entries that are considered alive, by rendezvous hashing.
pub fn owner(endpoint: usize, alive: &[bool]) -> usize {
    let score = |entry: &usize| {
        let mut hasher = DefaultHasher::new();
        (*entry, endpoint, "owner").hash(&mut hasher);
        hasher.finish()
    };
    (0..alive.len()).filter(|entry| alive[*entry]).max_by_key(score).unwrap_or(0)
}

impl Balancer {
    /// Chooses an endpoint for an exchange, and counts the exchange.
    pub fn acquire(&mut self, now: Instant, rng: &mut SmallRng) -> Option<usize> {
        let endpoint = match self.policy {
            Policy::Tokens => {
                let permit = self.table.acquire(now, &service(), |_| true)?;
                permit.endpoint.trim_start_matches("vm-").parse().ok()?
            }
            Policy::Shares | Policy::Owner => (0..ENDPOINTS)
                .filter(|e| self.used[*e] < self.limit[*e])
                .max_by_key(|e| self.limit[*e] - self.used[*e])?,
            Policy::LeastOfTwo => {
                if self.used.iter().sum::<u32>() >= self.max_in_flight {
                    return None;
                }
                self.least_of_two(rng)?
            }
        };
        self.used[endpoint] += 1;
        Some(endpoint)
    }

    /// The less used of two random endpoints, if it has a free slot.
    pub fn least_of_two(&self, rng: &mut SmallRng) -> Option<usize> {
        let (a, b) = (rng.random_range(0..ENDPOINTS), rng.random_range(0..ENDPOINTS));
        let endpoint = if self.used[a] <= self.used[b] { a } else { b };
        (self.used[endpoint] < SLOTS).then_some(endpoint)
    }

    /// Removes an exchange that has ended.
    pub fn release(&mut self, now: Instant, endpoint: usize) {
        self.used[endpoint] -= 1;
        if self.policy == Policy::Tokens {
            let (endpoint, service) = (vm(endpoint), service());
            self.table.release(now, Permit { endpoint, service, lease: None });
        }
    }

    /// Number of slots that the entry can expect to use.
    pub fn supply(&self, entries: usize) -> u32 {
        match self.policy {
            Policy::Tokens => self.table.supply(&service()),
            Policy::Shares | Policy::Owner => self.limit.iter().sum(),
            Policy::LeastOfTwo => ENDPOINTS as u32 * SLOTS / entries as u32,
        }
    }
}
