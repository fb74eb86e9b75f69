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
const WANT_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a peer's demand expires unless it is reported again.
const WANT_LIFETIME: Duration = Duration::from_millis(250);
/// Factor of growth at which demand is reported at once.
const WANT_GROWTH: u32 = 2;
/// Ratio (numerator, denominator) by which a peer's waiting requests per slot must exceed this
/// entry's to get a slot that could be used here.
const EVEN_OUT: (u64, u64) = (3, 2);

/// Maximum number of slots that are granted for one report although they could be used here;
/// limited so that several peers granting at once do not overshoot together.
const EVEN_OUT_SLOTS: u32 = 2;

/// A peer's demand for slots of a service.
#[derive(Clone, Debug)]
pub(super) struct Want {
    waiting: u32,
    held: u32,
    quota: u32,
    at: Instant,
}

/// A service's endpoints and the demand for its slots.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    pub(super) endpoints: Vec<VmId>,
    waiting: u32,
    told: u32,
    told_at: Option<Instant>,
    wants: IndexMap<Peer, Want>,
}

impl Service {
    /// This entry's share of `slots` in proportion to its own and its peers' waiting requests.
    pub(super) fn part_of(&self, slots: u32) -> u32 {
        let others: u64 = self.wants.values().map(|want| u64::from(want.waiting)).sum();
        let own = u64::from(self.waiting);
        match others {
            0 => slots,
            _ => u32::try_from(u64::from(slots) * own / (own + others)).unwrap_or(slots),
        }
    }

    pub(super) fn forget(&mut self, peer: &Peer) {
        self.wants.swap_remove(peer);
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
        let need = if free == 0 { found.waiting } else { 0 };
        let grown = need >= found.told.saturating_mul(WANT_GROWTH).max(1);
        let met = need == 0 && found.told > 0;
        let again = need > 0 && elapsed(found.told_at, now, WANT_INTERVAL);
        if joined && (grown || met || again) {
            found.told = need;
            found.told_at = Some(now);
            let body = Body::Want { service: service.clone(), waiting: need, held };
            let envelopes: Vec<_> =
                self.group.alive().map(|peer| envelope(peer, body.clone())).collect();
            self.outbox.extend(envelopes);
        }
        if waiting == 0 {
            self.share(now, service);
        }
    }

    pub(super) fn note_want(
        &mut self,
        now: Instant,
        from: &Peer,
        service: &ServiceId,
        waiting: u32,
        held: u32,
    ) {
        let Some(found) = self.services.get_mut(service) else { return };
        match waiting {
            0 => found.forget(from),
            _ => {
                found
                    .wants
                    .insert(from.clone(), Want { waiting, held, quota: EVEN_OUT_SLOTS, at: now });
                self.share(now, service);
            }
        }
    }

    /// Grants free slots of a service to the peers with more demand for them.
    pub(super) fn share(&mut self, now: Instant, service: &ServiceId) {
        let Some(found) = self.services.get_mut(service) else { return };
        found.wants.retain(|_, want| now < want.at + WANT_LIFETIME && want.waiting > 0);
        if found.wants.is_empty() {
            return;
        }
        let mut held = self.held(service);
        let mut granted: IndexMap<(Peer, VmId), u32> = IndexMap::new();
        while let Some(pair) = self.next_grant(service, held, &granted) {
            held -= 1;
            if let Some(endpoint) = self.endpoints.get_mut(&pair.1) {
                endpoint.free -= 1;
            }
            if let Some(want) = self.services[service].wants.get_mut(&pair.0) {
                want.waiting -= 1;
                want.held += 1;
                want.quota = want.quota.saturating_sub(1);
            }
            *granted.entry(pair).or_default() += 1;
        }
        for ((peer, endpoint), slots) in granted {
            self.grant(now, peer, endpoint, slots);
        }
    }

    fn next_grant(
        &self,
        service: &ServiceId,
        held: u32,
        granted: &IndexMap<(Peer, VmId), u32>,
    ) -> Option<(Peer, VmId)> {
        let found = self.services.get(service)?;
        let waits = |want: &Want| u64::from(want.waiting) * 1024 / u64::from(want.held + 1);
        let (peer, want) = found
            .wants
            .iter()
            .filter(|(_, want)| want.waiting > 0 && (found.waiting == 0 || want.quota > 0))
            .max_by_key(|(_, want)| waits(want))?;
        let own = u64::from(found.waiting) * 1024 / u64::from(held.max(1));
        if found.waiting > 0 && waits(want) * EVEN_OUT.1 <= own * EVEN_OUT.0 {
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

    fn grant(&mut self, now: Instant, peer: Peer, vm: VmId, slots: u32) {
        self.serial += 1;
        let serial = self.serial;
        let Some(endpoint) = self.endpoints.get_mut(&vm) else { return };
        endpoint.grants.insert(peer.clone(), Grant { serial, slots, sent: now });
        let round = endpoint.round.clone();
        self.outbox.push(envelope(&peer, Body::Grant { endpoint: vm, round, serial, slots }));
    }
}
