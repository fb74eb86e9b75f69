//! Moves free slots to where requests wait.
//!
//! An entry without free slots tells its peers how many requests wait. A peer without waiting
//! requests of its own hands over free slots; one with waiting requests hands over a slot when the
//! other's wait for a slot is longer by a margin, so that waits even out and slots do not swing.

use {
    super::{
        Table, elapsed,
        group::send,
        message::{Body, Peer},
        runner::Grant,
    },
    crate::id::{ServiceId, VmId},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time between two messages about the same service's unchanged need.
const WANT_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a need that was not repeated is forgotten.
const WANT_LIFETIME: Duration = Duration::from_millis(250);
/// Growth of the need that is told at once.
const WANT_GROWTH: u32 = 2;
/// A peer's wait must exceed this entry's by this ratio to get a slot that could be used here.
const EVEN_OUT: (u64, u64) = (3, 2);

/// Slots that could be used here and are handed over for one message about a need, so that several
/// peers that do so do not overshoot together.
const EVEN_OUT_SLOTS: u32 = 2;

/// A peer's need for slots of a service.
#[derive(Clone, Debug)]
pub(super) struct Want {
    waiting: u32,
    held: u32,
    quota: u32,
    at: Instant,
}

/// A service as far as slots go.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    pub(super) runners: Vec<VmId>,
    waiting: u32,
    told: u32,
    told_at: Option<Instant>,
    wants: IndexMap<Peer, Want>,
}

impl Service {
    /// This entry's part of some slots, by its need and the peers'.
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
    /// Tells how many requests of a service wait on this entry.
    pub fn demand(&mut self, now: Instant, service: &ServiceId, waiting: usize) {
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
            let sends: Vec<_> = self.group.alive().map(|peer| send(peer, body.clone())).collect();
            self.outbox.extend(sends);
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

    /// Hands free slots of a service to the peers that need them more.
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
            if let Some(runner) = self.runners.get_mut(&pair.1) {
                runner.free -= 1;
            }
            if let Some(want) = self.services[service].wants.get_mut(&pair.0) {
                want.waiting -= 1;
                want.held += 1;
                want.quota = want.quota.saturating_sub(1);
            }
            *granted.entry(pair).or_default() += 1;
        }
        for ((peer, runner), slots) in granted {
            self.grant(now, peer, runner, slots);
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
            .runners
            .iter()
            .filter_map(|vm| Some((vm, self.runners.get(vm)?)))
            .filter(|(_, runner)| runner.usable() && runner.free > 0)
            .filter(|(vm, runner)| {
                !runner.grants.contains_key(peer)
                    || granted.contains_key(&(peer.clone(), (*vm).clone()))
            })
            .max_by_key(|(_, runner)| runner.free)?;
        Some((peer.clone(), vm.clone()))
    }

    fn grant(&mut self, now: Instant, peer: Peer, vm: VmId, slots: u32) {
        self.serial += 1;
        let serial = self.serial;
        let Some(runner) = self.runners.get_mut(&vm) else { return };
        runner.grants.insert(peer.clone(), Grant { serial, slots, sent: now });
        let round = runner.round.clone();
        self.outbox.push(send(&peer, Body::Grant { runner: vm, round, serial, slots }));
    }
}
