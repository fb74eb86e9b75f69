//! Recounts the slots of an endpoint to recover those lost with an incarnation that has ended.
//!
//! The leader starts a later round and asks every incarnation that may still run. Each answer
//! states how many slots its sender held when it joined the round. The leader creates the missing
//! slots only after all have answered. If an incarnation ends meanwhile, the recount is restarted,
//! since it may have joined the round and granted slots that were not counted. Two concurrent
//! leaders are safe: an incarnation that joins a later round abandons its recount of an earlier
//! one. A count lists the incarnations that have ended, since one of them may have started a later
//! round and granted slots in it: once all have answered, none accepts such a grant any more.

use {
    super::{
        Table, elapsed,
        endpoint::{RESEND_AFTER, Recount},
        group::envelope,
        message::{Body, Peer, Round},
    },
    crate::id::VmId,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time from an incarnation's end until its recovered slots are used, since its exchanges may still
/// run.
const SETTLE: Duration = Duration::from_millis(300);
/// Time between two precautionary recounts, each of the next endpoint, that find slots lost without
/// notice.
const AUDIT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before an abandoned recount is restarted.
const RECOUNT_AGAIN: Duration = Duration::from_secs(1);

impl Table {
    /// Starts the recounts that are due if this incarnation leads.
    pub(super) fn recount_due(&mut self, now: Instant) {
        let leads = self.group.leads();
        if leads && elapsed(Some(self.audited), now, AUDIT_INTERVAL) && !self.endpoints.is_empty() {
            self.audited = now;
            self.audit = (self.audit + 1) % self.endpoints.len();
            self.endpoints[self.audit].due.get_or_insert(now);
        }
        let due = self
            .endpoints
            .iter()
            .filter(|(_, r)| r.declared && r.due.is_some_and(|due| due <= now));
        let due: Vec<VmId> = due.map(|(vm, _)| vm.clone()).collect();
        for vm in due.iter().filter(|_| leads) {
            self.recount(now, vm);
        }
    }

    fn recount(&mut self, now: Instant, vm: &VmId) {
        let me = self.group.me.clone();
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        let number = endpoint.round.number + 1;
        endpoint.join(&Round { number, leader: me.0.clone(), incarnation: me.1 });
        endpoint.due = None;
        let answers = IndexMap::from([(me, endpoint.counted())]);
        endpoint.recount = Some(Recount { answers, asked: now });
        self.ask(now, vm);
        self.complete(now, vm);
    }

    /// Sends the count to the incarnations that have not answered it.
    pub(super) fn ask(&mut self, now: Instant, vm: &VmId) {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        let Some(recount) = &mut endpoint.recount else { return };
        recount.asked = now;
        let (round, ended) = (endpoint.round.clone(), endpoint.ended.clone());
        let body = Body::Count { endpoint: vm.clone(), round, ended };
        let missing = self.group.running().filter(|peer| !recount.answers.contains_key(*peer));
        self.outbox.extend(missing.map(|peer| envelope(peer, body.clone())));
    }

    /// Resends unacknowledged grants and unanswered counts.
    pub(super) fn resend(&mut self, now: Instant) {
        let mut asks = Vec::new();
        for (vm, endpoint) in &mut self.endpoints {
            let round = &endpoint.round;
            for (peer, grant) in &mut endpoint.grants {
                if elapsed(Some(grant.sent), now, RESEND_AFTER) {
                    grant.sent = now;
                    let (serial, slots) = (grant.serial, grant.slots);
                    let (endpoint, round) = (vm.clone(), round.clone());
                    let body = Body::Grant { endpoint, round, serial, slots };
                    self.outbox.push(envelope(peer, body));
                }
            }
            let asked = endpoint.recount.as_ref().map(|recount| recount.asked);
            if asked.is_some_and(|asked| elapsed(Some(asked), now, RESEND_AFTER)) {
                asks.push(vm.clone());
            }
        }
        for vm in asks {
            self.ask(now, &vm);
        }
    }

    pub(super) fn answer_count(&mut self, now: Instant, from: &Peer, vm: VmId, round: Round) {
        self.join(now, &vm, &round);
        let endpoint = self.endpoint(now, &vm);
        let body = if endpoint.round == round {
            Body::Held { endpoint: vm, round, slots: endpoint.counted() }
        } else {
            Body::Outdated { endpoint: vm, round: endpoint.round.clone() }
        };
        self.outbox.push(envelope(from, body));
    }

    pub(super) fn note_held(
        &mut self,
        now: Instant,
        from: Peer,
        vm: &VmId,
        round: &Round,
        slots: u32,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(vm).filter(|r| r.round == *round) else {
            return;
        };
        let Some(recount) = &mut endpoint.recount else { return };
        recount.answers.entry(from).or_insert(slots);
        self.complete(now, vm);
    }

    /// Finishes a recount once every running incarnation has answered: creates missing slots, or
    /// asks holders to give up surplus ones.
    pub(super) fn complete(&mut self, now: Instant, vm: &VmId) {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        let Some(recount) = &endpoint.recount else { return };
        if !self.group.running().all(|peer| recount.answers.contains_key(peer)) {
            return;
        }
        let answers = recount.answers.clone();
        let rest = endpoint.settled_at.filter(|until| *until > now);
        let mut surplus = endpoint.settle(answers.values().sum(), rest);
        endpoint.recount = None;
        endpoint.ended.clear();
        let round = endpoint.round.clone();
        for (peer, held) in answers.into_iter().filter(|(_, held)| *held > 0) {
            let slots = surplus.min(held);
            surplus -= slots;
            match slots {
                0 => break,
                _ if peer == self.group.me => endpoint.shed(slots),
                _ => {
                    let (endpoint, round) = (vm.clone(), round.clone());
                    self.outbox.push(envelope(&peer, Body::Shed { endpoint, round, slots }));
                }
            }
        }
        self.share_endpoint(now, vm);
    }

    /// Restarts the recount of each endpoint after an incarnation has ended, which may have granted
    /// slots that a running recount has not counted.
    pub(super) fn note_gone(&mut self, now: Instant, gone: &Peer) {
        self.services.values_mut().for_each(|service| service.forget(gone));
        for endpoint in self.endpoints.values_mut() {
            endpoint.grants.swap_remove(gone);
            endpoint.recount = None;
            endpoint.ended.push(gone.clone());
            endpoint.settled_at = Some(now + SETTLE);
            endpoint.due = Some(now);
        }
    }

    /// Joins a later round; a recount led by this entry is restarted afterwards.
    pub(super) fn join(&mut self, now: Instant, vm: &VmId, round: &Round) {
        let led = self.endpoint(now, vm).recount.is_some();
        let endpoint = self.endpoint(now, vm);
        if endpoint.join(round) {
            endpoint.due = led.then_some(now + RECOUNT_AGAIN);
        }
    }
}
