//! Recounts the slots of an endpoint to recover those lost with an incarnation that has ended.
//!
//! The leader starts a later round and asks every incarnation that may still run. Each answer states
//! how many slots its sender held when it joined the round. The leader creates the missing
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
const RECOVERY_COOLDOWN: Duration = Duration::from_millis(300);
/// Time between two precautionary recounts, each of the next endpoint, that find slots lost without
/// notice.
const AUDIT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before an abandoned recount is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(1);

impl Table {
    /// Starts the recounts that are due if this incarnation leads.
    pub(super) fn start_due_recounts(&mut self, now: Instant) {
        let is_leader = self.group.is_leader();
        if is_leader
            && elapsed(Some(self.last_audit), now, AUDIT_INTERVAL)
            && !self.endpoints.is_empty()
        {
            self.last_audit = now;
            self.audit_index = (self.audit_index + 1) % self.endpoints.len();
            self.endpoints[self.audit_index].recount_at.get_or_insert(now);
        }
        let due = self
            .endpoints
            .iter()
            .filter(|(_, e)| e.declared && e.recount_at.is_some_and(|due| due <= now));
        let due: Vec<VmId> = due.map(|(vm, _)| vm.clone()).collect();
        for vm in due.iter().filter(|_| is_leader) {
            self.start_recount(now, vm);
        }
    }

    /// Starts a recount in a new round.
    fn start_recount(&mut self, now: Instant, vm: &VmId) {
        let me = self.group.me.clone();
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        let number = endpoint.round.number + 1;
        endpoint.join(&Round { number, leader: me.0.clone(), incarnation: me.1 });
        endpoint.recount_at = None;
        let answers = IndexMap::from([(me, endpoint.held_at_join())]);
        endpoint.recount = Some(Recount { answers, last_sent: now });
        self.send_count(now, vm);
        self.finish_recount(now, vm);
    }

    /// Sends the count to the incarnations that have not answered it.
    pub(super) fn send_count(&mut self, now: Instant, vm: &VmId) {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        let Some(recount) = &mut endpoint.recount else { return };
        recount.last_sent = now;
        let (round, ended) = (endpoint.round.clone(), endpoint.ended.clone());
        let body = Body::Count { endpoint: vm.clone(), round, ended };
        let missing = self.group.running().filter(|peer| !recount.answers.contains_key(*peer));
        self.outbox.extend(missing.map(|peer| envelope(peer, body.clone())));
    }

    /// Resends unacknowledged grants and unanswered counts.
    pub(super) fn resend(&mut self, now: Instant) {
        let mut unanswered = Vec::new();
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
            let last_sent = endpoint.recount.as_ref().map(|recount| recount.last_sent);
            if last_sent.is_some_and(|last_sent| elapsed(Some(last_sent), now, RESEND_AFTER)) {
                unanswered.push(vm.clone());
            }
        }
        for vm in unanswered {
            self.send_count(now, &vm);
        }
    }

    /// Joins the round of a recount and answers with the slots held at that time.
    pub(super) fn handle_count(&mut self, now: Instant, from: &Peer, vm: VmId, round: Round) {
        self.join_round(now, &vm, &round);
        let endpoint = self.endpoint(now, &vm);
        let body = if endpoint.round == round {
            Body::Held { endpoint: vm, round, slots: endpoint.held_at_join() }
        } else {
            Body::Outdated { endpoint: vm, round: endpoint.round.clone() }
        };
        self.outbox.push(envelope(from, body));
    }

    pub(super) fn handle_held(
        &mut self,
        now: Instant,
        from: Peer,
        vm: &VmId,
        round: &Round,
        slots: u32,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(vm).filter(|e| e.round == *round) else {
            return;
        };
        let Some(recount) = &mut endpoint.recount else { return };
        recount.answers.entry(from).or_insert(slots);
        self.finish_recount(now, vm);
    }

    /// Finishes a recount once every running incarnation has answered: creates missing slots, or
    /// asks the holders to give up surplus ones.
    pub(super) fn finish_recount(&mut self, now: Instant, vm: &VmId) {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        let Some(recount) = &endpoint.recount else { return };
        if !self.group.running().all(|peer| recount.answers.contains_key(peer)) {
            return;
        }
        let answers = recount.answers.clone();
        let cooldown_until = endpoint.cooldown_until.filter(|until| *until > now);
        let mut surplus = endpoint.add_missing(answers.values().sum(), cooldown_until);
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
        self.grant_from_endpoint(now, vm);
    }

    /// Restarts the recount of each endpoint after an incarnation has ended, which may have granted
    /// slots that a running recount has not counted.
    pub(super) fn handle_gone(&mut self, now: Instant, gone: &Peer) {
        self.services.values_mut().for_each(|service| service.remove_demand(gone));
        for endpoint in self.endpoints.values_mut() {
            endpoint.grants.swap_remove(gone);
            endpoint.recount = None;
            endpoint.ended.push(gone.clone());
            endpoint.cooldown_until = Some(now + RECOVERY_COOLDOWN);
            endpoint.recount_at = Some(now);
        }
    }

    /// Joins a later round; a recount led by this entry is restarted afterwards.
    pub(super) fn join_round(&mut self, now: Instant, vm: &VmId, round: &Round) {
        let led = self.endpoint(now, vm).recount.is_some();
        let endpoint = self.endpoint(now, vm);
        if endpoint.join(round) {
            endpoint.recount_at = led.then_some(now + RESTART_DELAY);
        }
    }
}
