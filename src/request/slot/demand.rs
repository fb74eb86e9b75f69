//! Transfers free slots to entries with waiting requests.
//!
//! An entry without free slots reports to its peers how many requests wait. A peer without waiting
//! requests of its own grants free slots. A peer with waiting requests grants a slot only if the
//! other entry has more waiting requests per slot by a margin, so that waiting times even out and
//! slots do not oscillate between entries.

use {
    super::{
        Table, elapsed,
        endpoint::Grant,
        group::envelope,
        message::{Body, Peer},
    },
    crate::id::{ServiceId, VmId},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time between two reports of a service's unchanged demand.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a peer's demand expires unless it is reported again.
const DEMAND_LIFETIME: Duration = Duration::from_millis(250);
/// Factor of growth at which demand is reported at once.
const REPORT_GROWTH: u32 = 2;
/// Ratio (numerator, denominator) by which a peer's waiting requests per slot must exceed this
/// entry's to get a slot that could be used here.
const REBALANCE_RATIO: (u64, u64) = (3, 2);

/// Maximum number of slots that are granted for one report although they could be used here;
/// limited so that several peers granting at once do not overshoot together.
const REBALANCE_SLOTS: u32 = 2;

/// A peer's demand for slots of a service.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    /// Requests still waiting at the peer, less the slots granted since its report.
    waiting: u32,
    /// Slots that the peer holds, including those granted since its report.
    held: u32,
    /// Slots that may still be granted for this report although they could be used here.
    quota: u32,
    reported_at: Instant,
}

/// A service's endpoints and the demand for its slots.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    pub(super) endpoints: Vec<VmId>,
    /// Requests waiting on this entry.
    waiting: u32,
    /// Demand that was last reported to the peers.
    reported: u32,
    reported_at: Option<Instant>,
    /// Demand of the peers.
    demands: IndexMap<Peer, Demand>,
}

impl Service {
    /// This entry's share of `slots` in proportion to its own and its peers' waiting requests.
    pub(super) fn own_share(&self, slots: u32) -> u32 {
        let others: u64 = self.demands.values().map(|demand| u64::from(demand.waiting)).sum();
        let own = u64::from(self.waiting);
        match others {
            0 => slots,
            _ => u32::try_from(u64::from(slots) * own / (own + others)).unwrap_or(slots),
        }
    }

    pub(super) fn remove_demand(&mut self, peer: &Peer) {
        self.demands.swap_remove(peer);
    }
}

impl Table {
    /// Sets how many requests of a service wait on this entry and reports the demand to the peers
    /// if a report is due.
    pub fn set_demand(&mut self, now: Instant, service: &ServiceId, waiting: usize) {
        let free = self.free(service);
        let joined = self.group.joined();
        let held = self.held(service);
        let Some(found) = self.services.get_mut(service) else { return };
        found.waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let demand = if free == 0 { found.waiting } else { 0 };
        let grown = demand >= found.reported.saturating_mul(REPORT_GROWTH).max(1);
        let withdrawn = demand == 0 && found.reported > 0;
        let repeated = demand > 0 && elapsed(found.reported_at, now, REPORT_INTERVAL);
        if joined && (grown || withdrawn || repeated) {
            found.reported = demand;
            found.reported_at = Some(now);
            let body = Body::Want { service: service.clone(), waiting: demand, held };
            let envelopes: Vec<_> =
                self.group.alive().map(|peer| envelope(peer, body.clone())).collect();
            self.outbox.extend(envelopes);
        }
        if waiting == 0 {
            self.grant_free_slots(now, service);
        }
    }

    pub(super) fn handle_want(
        &mut self,
        now: Instant,
        from: &Peer,
        service: &ServiceId,
        waiting: u32,
        held: u32,
    ) {
        let Some(found) = self.services.get_mut(service) else { return };
        match waiting {
            0 => found.remove_demand(from),
            _ => {
                found.demands.insert(
                    from.clone(),
                    Demand { waiting, held, quota: REBALANCE_SLOTS, reported_at: now },
                );
                self.grant_free_slots(now, service);
            }
        }
    }

    /// Grants free slots of a service to the peers with more demand for them.
    pub(super) fn grant_free_slots(&mut self, now: Instant, service: &ServiceId) {
        let Some(found) = self.services.get_mut(service) else { return };
        found
            .demands
            .retain(|_, demand| now < demand.reported_at + DEMAND_LIFETIME && demand.waiting > 0);
        if found.demands.is_empty() {
            return;
        }
        let mut held = self.held(service);
        let mut granted: IndexMap<(Peer, VmId), u32> = IndexMap::new();
        while let Some(pair) = self.next_grant(service, held, &granted) {
            held -= 1;
            if let Some(endpoint) = self.endpoints.get_mut(&pair.1) {
                endpoint.free -= 1;
            }
            if let Some(demand) = self.services[service].demands.get_mut(&pair.0) {
                demand.waiting -= 1;
                demand.held += 1;
                demand.quota = demand.quota.saturating_sub(1);
            }
            *granted.entry(pair).or_default() += 1;
        }
        for ((peer, endpoint), slots) in granted {
            self.send_grant(now, peer, endpoint, slots);
        }
    }

    /// Chooses the peer with the most waiting requests per slot and the endpoint with the most free
    /// slots; `None` if no slot is to be granted.
    ///
    /// An endpoint with an unacknowledged grant to the peer is left out, as it can have only one.
    fn next_grant(
        &self,
        service: &ServiceId,
        held: u32,
        granted: &IndexMap<(Peer, VmId), u32>,
    ) -> Option<(Peer, VmId)> {
        let found = self.services.get(service)?;
        // Waiting requests per slot in units of 1/1024; the peer's value includes the next grant.
        let load = |demand: &Demand| u64::from(demand.waiting) * 1024 / u64::from(demand.held + 1);
        let (peer, demand) = found
            .demands
            .iter()
            .filter(|(_, demand)| demand.waiting > 0 && (found.waiting == 0 || demand.quota > 0))
            .max_by_key(|(_, demand)| load(demand))?;
        let own_load = u64::from(found.waiting) * 1024 / u64::from(held.max(1));
        if found.waiting > 0 && load(demand) * REBALANCE_RATIO.1 <= own_load * REBALANCE_RATIO.0 {
            return None;
        }
        let (vm, _) = found
            .endpoints
            .iter()
            .filter_map(|vm| Some((vm, self.endpoints.get(vm)?)))
            .filter(|(_, endpoint)| endpoint.usable() && endpoint.free > 0)
            .filter(|(vm, endpoint)| {
                !endpoint.grants.contains_key(peer)
                    || granted.contains_key(&(peer.clone(), (*vm).clone()))
            })
            .max_by_key(|(_, endpoint)| endpoint.free)?;
        Some((peer.clone(), vm.clone()))
    }

    /// Sends a grant and keeps it until it is acknowledged.
    fn send_grant(&mut self, now: Instant, peer: Peer, vm: VmId, slots: u32) {
        self.serial += 1;
        let serial = self.serial;
        let Some(endpoint) = self.endpoints.get_mut(&vm) else { return };
        endpoint.grants.insert(peer.clone(), Grant { serial, slots, sent: now });
        let round = endpoint.round.clone();
        self.outbox.push(envelope(&peer, Body::Grant { endpoint: vm, round, serial, slots }));
    }
}
