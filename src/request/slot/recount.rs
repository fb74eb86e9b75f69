//! Recounts the slots of a runner to recover those lost with an incarnation that has ended.
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
        group::send,
        message::{Body, Peer, Round},
        runner::{RESEND_AFTER, Recount},
    },
    crate::id::VmId,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time from an incarnation's end until its recovered slots are used, since its exchanges may still
/// run.
const SETTLE: Duration = Duration::from_millis(300);
/// Time between two precautionary recounts, each of the next runner, that find slots lost without
/// notice.
const AUDIT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before an abandoned recount is restarted.
const RECOUNT_AGAIN: Duration = Duration::from_secs(1);

impl Table {
    /// Starts the recounts that are due if this incarnation leads.
    pub(super) fn recount_due(&mut self, now: Instant) {
        let leads = self.group.leads();
        if leads && elapsed(Some(self.audited), now, AUDIT_INTERVAL) && !self.runners.is_empty() {
            self.audited = now;
            self.audit = (self.audit + 1) % self.runners.len();
            self.runners[self.audit].due.get_or_insert(now);
        }
        let due =
            self.runners.iter().filter(|(_, r)| r.declared && r.due.is_some_and(|due| due <= now));
        let due: Vec<VmId> = due.map(|(vm, _)| vm.clone()).collect();
        for vm in due.iter().filter(|_| leads) {
            self.recount(now, vm);
        }
    }

    fn recount(&mut self, now: Instant, vm: &VmId) {
        let me = self.group.me.clone();
        let Some(runner) = self.runners.get_mut(vm) else { return };
        let number = runner.round.number + 1;
        runner.join(&Round { number, leader: me.0.clone(), incarnation: me.1 });
        runner.due = None;
        let answers = IndexMap::from([(me, runner.counted())]);
        runner.recount = Some(Recount { answers, asked: now });
        self.ask(now, vm);
        self.complete(now, vm);
    }

    /// Sends the count to the incarnations that have not answered it.
    pub(super) fn ask(&mut self, now: Instant, vm: &VmId) {
        let Some(runner) = self.runners.get_mut(vm) else { return };
        let Some(recount) = &mut runner.recount else { return };
        recount.asked = now;
        let (round, ended) = (runner.round.clone(), runner.ended.clone());
        let body = Body::Count { runner: vm.clone(), round, ended };
        let missing = self.group.running().filter(|peer| !recount.answers.contains_key(*peer));
        self.outbox.extend(missing.map(|peer| send(peer, body.clone())));
    }

    /// Resends unacknowledged grants and unanswered counts.
    pub(super) fn resend(&mut self, now: Instant) {
        let mut asks = Vec::new();
        for (vm, runner) in &mut self.runners {
            let round = &runner.round;
            for (peer, grant) in &mut runner.grants {
                if elapsed(Some(grant.sent), now, RESEND_AFTER) {
                    grant.sent = now;
                    let (serial, slots) = (grant.serial, grant.slots);
                    let (runner, round) = (vm.clone(), round.clone());
                    let body = Body::Grant { runner, round, serial, slots };
                    self.outbox.push(send(peer, body));
                }
            }
            let asked = runner.recount.as_ref().map(|recount| recount.asked);
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
        let runner = self.runner(now, &vm);
        let body = if runner.round == round {
            Body::Held { runner: vm, round, slots: runner.counted() }
        } else {
            Body::Outdated { runner: vm, round: runner.round.clone() }
        };
        self.outbox.push(send(from, body));
    }

    pub(super) fn note_held(
        &mut self,
        now: Instant,
        from: Peer,
        vm: &VmId,
        round: &Round,
        slots: u32,
    ) {
        let Some(runner) = self.runners.get_mut(vm).filter(|r| r.round == *round) else { return };
        let Some(recount) = &mut runner.recount else { return };
        recount.answers.entry(from).or_insert(slots);
        self.complete(now, vm);
    }

    /// Finishes a recount once every running incarnation has answered: creates missing slots, or
    /// asks holders to give up surplus ones.
    pub(super) fn complete(&mut self, now: Instant, vm: &VmId) {
        let Some(runner) = self.runners.get_mut(vm) else { return };
        let Some(recount) = &runner.recount else { return };
        if !self.group.running().all(|peer| recount.answers.contains_key(peer)) {
            return;
        }
        let answers = recount.answers.clone();
        let rest = runner.settled_at.filter(|until| *until > now);
        let mut surplus = runner.settle(answers.values().sum(), rest);
        runner.recount = None;
        runner.ended.clear();
        let round = runner.round.clone();
        for (peer, held) in answers.into_iter().filter(|(_, held)| *held > 0) {
            let slots = surplus.min(held);
            surplus -= slots;
            match slots {
                0 => break,
                _ if peer == self.group.me => runner.shed(slots),
                _ => {
                    let (runner, round) = (vm.clone(), round.clone());
                    self.outbox.push(send(&peer, Body::Shed { runner, round, slots }));
                }
            }
        }
        self.share_runner(now, vm);
    }

    /// Restarts the recount of each runner after an incarnation has ended, which may have granted
    /// slots that a running recount has not counted.
    pub(super) fn note_gone(&mut self, now: Instant, gone: &Peer) {
        self.services.values_mut().for_each(|service| service.forget(gone));
        for runner in self.runners.values_mut() {
            runner.grants.swap_remove(gone);
            runner.recount = None;
            runner.ended.push(gone.clone());
            runner.settled_at = Some(now + SETTLE);
            runner.due = Some(now);
        }
    }

    /// Joins a later round; a recount led by this entry is restarted afterwards.
    pub(super) fn join(&mut self, now: Instant, vm: &VmId, round: &Round) {
        let led = self.runner(now, vm).recount.is_some();
        let runner = self.runner(now, vm);
        if runner.join(round) {
            runner.due = led.then_some(now + RECOUNT_AGAIN);
        }
    }
}
