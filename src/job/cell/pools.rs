//! VMs between pools and their upkeep.

use {
    super::Cell,
    crate::job::upkeep::{Action, Machine, Order, Refusal},
    std::time::Instant,
};

/// VMs and waves of a cell.
#[derive(Clone, Debug)]
pub struct Pools {
    at: Instant,
}

impl Pools {
    /// No VM yet.
    pub fn new(now: Instant) -> Self {
        Self { at: now }
    }
}

impl Cell {
    /// The operators ask for a wave.
    pub fn order_wave(&mut self, _now: Instant, _order: Order) {}

    /// The platform lists its VMs.
    pub fn list_machines(&mut self, _now: Instant, _machines: Vec<Machine>) {}

    /// The platform answers an action on a VM.
    pub fn acted(&mut self, _now: Instant, _action: &Action, _outcome: Result<(), Refusal>) {}

    /// Moves VMs and sends them to upkeep.
    pub(super) fn steer_pools(&mut self, now: Instant) {
        self.pools.at = now;
    }
}
