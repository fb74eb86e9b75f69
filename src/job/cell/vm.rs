//! The owner's record of one VM: what the platform lists, the planned action and the last one that
//! was carried out.
//!
//! A call to the platform may be carried out without an answer, and its answer may come after the
//! VM's next runner has registered. A record therefore keeps the runner that an action is meant to
//! end: only that incarnation counts as ended when the platform confirms the action. Lists and
//! registrations from before maintenance may arrive after it has begun: as long as it takes, only a
//! runner of another name than the former one shows that the VM is up again.

use {
    super::RunnerId,
    crate::{
        id::VmId,
        job::{
            runner::{Incarnation, Registration},
            upkeep::{Action, State, Vm},
        },
    },
    indexmap::{IndexMap, IndexSet},
    log::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time after an action for which the platform's list may still show the state before it.
pub(super) const LIST_LAG: Duration = Duration::from_millis(1_500);
/// Time after an action for which a VM counts as down if no new runner registers.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after an action for which a VM without a runner counts as down.
const SWITCH_TIME: Duration = Duration::from_millis(2_400);
/// Time for which a VM that the platform found busy comes after all others.
const BUSY_TIME: Duration = Duration::from_secs(8);
/// Time for which a VM is not moved to a pool that the platform has refused.
const REFUSED_POOL_TIME: Duration = Duration::from_secs(30);

/// The owner's record of one VM.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// State that the platform listed last, updated by actions that were carried out since.
    pub(super) listed: Vm,
    /// Whether no list has shown the VM; it is known only from a wave.
    pub(super) unlisted: bool,
    /// Planned action.
    pub(super) plan: Option<Plan>,
    /// Last action that was carried out, until the VM's new runner is known.
    pub(super) last_action: Option<Completion>,
    /// Pools that the platform does not let the VM join, and until when that counts.
    refused_pools: IndexMap<String, Instant>,
    /// When an action was last given up as the platform found the VM busy.
    busy_at: Option<Instant>,
}

/// An action that was carried out.
#[derive(Clone, Debug)]
pub(super) struct Completion {
    at: Instant,
    /// Runner that the VM had before the action.
    former: Option<Target>,
    /// Whether the action took the VM down for its maintenance.
    is_upkeep: bool,
    /// When the VM can be up again at the earliest, if that is known.
    down_until: Option<Instant>,
}

/// Planned action on a VM.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) action: Action,
    pub(super) since: Instant,
    pub(super) stage: Stage,
    /// Runner that the VM had when the action was last sent; it ends if the action is carried out.
    pub(super) target: Option<Target>,
    /// When the action was first sent, unless it may have been carried out before.
    pub(super) first_sent: Option<Instant>,
    /// Whether a call for the action, by this owner or a former one, got no answer.
    pub(super) unanswered: bool,
    /// Whether the action may have been carried out before the target registered, so that its
    /// confirmation does not show that the target has ended.
    pub(super) may_be_done: bool,
}

/// One incarnation of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) runner: RunnerId,
    pub(super) incarnation: Option<Incarnation>,
}

/// Progress of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The VM is being drained.
    Draining,
    /// The action waits for the ledger, or has been sent and its answer is outstanding.
    Sent,
    /// The action was not carried out, and is retried at this time.
    RetryAt(Instant),
}

impl Plan {
    /// Plan whose VM is to be drained from `now` on.
    pub(super) fn new(action: Action, now: Instant) -> Self {
        let stage = Stage::Draining;
        Self {
            action,
            since: now,
            stage,
            target: None,
            first_sent: None,
            unanswered: false,
            may_be_done: false,
        }
    }

    /// Whether the action was sent, so that it may have been carried out.
    fn was_sent(&self) -> bool {
        self.stage != Stage::Draining || self.may_be_done
    }

    /// Whether the registration of a new runner shows that the action, a move, was carried out.
    fn is_shown_done_by(&self, runner: &Target, service: &str) -> bool {
        let joins = matches!(&self.action, Action::Move { pool, .. } if pool == service);
        joins && self.was_sent() && self.target.as_ref() != Some(runner)
    }
}

impl Completion {
    fn former_id(&self) -> Option<&str> {
        self.former.as_ref().map(|former| &*former.runner)
    }

    /// Whether a list or a registration that shows the VM with this runner may be from before the
    /// action, since the VM can't be up again yet.
    fn may_precede(&self, now: Instant, runner: Option<&str>) -> bool {
        let lasts = self.down_until.is_some_and(|until| now < until);
        lasts && self.former_id().is_none_or(|former| runner == Some(former))
    }

    /// Whether the platform lists the VM as up again, with `listed` as its state.
    fn is_over(&self, now: Instant, listed: &Vm) -> bool {
        let elapsed = now.saturating_duration_since(self.at);
        if elapsed > ARRIVAL_TIMEOUT {
            return true;
        }
        if listed.state != State::Up || self.may_precede(now, listed.runner.as_deref()) {
            return false;
        }
        match (&listed.runner, self.former_id()) {
            // A VM of the spare pool has no runner before and after.
            (None, None) => elapsed > SWITCH_TIME,
            // The list shows the former runner for a while; after that it is still there, or a new
            // one of the same name is.
            (Some(runner), Some(former)) if runner == former => elapsed > LIST_LAG,
            _ => true,
        }
    }
}

impl Record {
    /// Record of a VM that the platform lists.
    pub(super) fn new(listed: Vm) -> Self {
        Self {
            listed,
            unlisted: false,
            plan: None,
            last_action: None,
            refused_pools: IndexMap::new(),
            busy_at: None,
        }
    }

    /// Record of a VM that no list shows. It counts as down, except for its maintenance.
    pub(super) fn unlisted(id: VmId, runner: Option<String>) -> Self {
        let (pool, zone) = (String::new(), String::new());
        let state = State::Down;
        let listed = Vm { id, pool, state, zone, labels: Vec::new(), runner };
        Self { unlisted: true, ..Self::new(listed) }
    }

    /// Takes note that the platform has refused a move to a pool, so that other VMs are tried.
    pub(super) fn refuse_pool(&mut self, now: Instant, pool: &str) {
        self.refused_pools.insert(String::from(pool), now + REFUSED_POOL_TIME);
    }

    /// Takes note that the platform found the VM busy for so long that the action was given up.
    pub(super) fn mark_busy(&mut self, now: Instant) {
        self.busy_at = Some(now);
    }

    /// Whether an action was given up lately as the platform found the VM busy.
    pub(super) fn was_busy_lately(&self, now: Instant) -> bool {
        self.busy_at.is_some_and(|at| now.saturating_duration_since(at) < BUSY_TIME)
    }

    /// Whether the VM may join a pool, as far as is known.
    pub(super) fn may_join(&self, now: Instant, pool: &str) -> bool {
        self.listed.pool != pool && self.refused_pools.get(pool).is_none_or(|until| *until <= now)
    }

    /// Sets the state that the platform lists, unless it is from before the last action.
    pub(super) fn update(&mut self, now: Instant, vm: Vm) {
        self.unlisted = false;
        let is_older = |action: &Completion| {
            let recent = now.saturating_duration_since(action.at) < LIST_LAG;
            let runner = vm.runner.as_deref();
            let same = recent && runner == action.former_id();
            vm.state == State::Up && (same || action.may_precede(now, runner))
        };
        if !self.last_action.as_ref().is_some_and(is_older) {
            self.listed = vm;
        }
    }

    /// Updates the state after an action was carried out that was to end `former`. Maintenance takes
    /// `upkeep_time`.
    pub(super) fn complete_action(
        &mut self,
        now: Instant,
        action: &Action,
        former: Option<Target>,
        upkeep_time: Duration,
    ) {
        let is_upkeep = matches!(action, Action::Upkeep { .. });
        let sent = self.plan.take().and_then(|plan| plan.first_sent).filter(|_| is_upkeep);
        let down_until = sent.map(|at| at + upkeep_time);
        self.listed.runner = None;
        self.last_action = Some(Completion { at: now, former, is_upkeep, down_until });
        match action {
            Action::Move { pool, .. } => {
                self.listed.pool.clone_from(pool);
                self.listed.state = State::Moving;
            }
            Action::Upkeep { .. } => self.listed.state = State::Upkeep,
        }
    }

    /// Forgets the last action once the VM is up again; returns whether it did. No list will tell so of a
    /// VM that none shows.
    pub(super) fn finish_last_action(&mut self, now: Instant) -> bool {
        let is_over = self.last_action.as_ref().is_some_and(|last| last.is_over(now, &self.listed));
        if is_over {
            self.last_action = None;
            if self.unlisted {
                self.listed.state = State::Down;
            }
        }
        is_over
    }

    /// Handles the registration of a new incarnation of the VM's runner, which completes the last
    /// action, or shows that a move whose answer is outstanding was carried out.
    pub(super) fn runner_registered(
        &mut self,
        now: Instant,
        runner: &Target,
        registration: &Registration,
    ) {
        let service = registration.service.as_str();
        if let Some(action) = &self.last_action {
            if !action.may_precede(now, Some(&*runner.runner))
                && service == self.listed.pool
                && action.former.as_ref() != Some(runner)
            {
                self.set_up(runner);
                self.last_action = None;
            }
            return;
        }
        let Some(plan) = &self.plan else { return };
        if plan.is_shown_done_by(runner, service) {
            info!("vm: id={} done={:?} by={}", self.listed.id, plan.action, runner.runner);
            self.listed.pool = String::from(service);
            self.plan = None;
        }
        self.set_up(runner);
    }

    fn set_up(&mut self, runner: &Target) {
        self.listed.state = State::Up;
        self.listed.runner = Some(String::from(&*runner.runner));
    }

    /// Whether the VM is in one of these failure domains.
    pub(super) fn is_in(&self, domains: &IndexSet<Rc<str>>) -> bool {
        let own = || std::iter::once(&self.listed.zone).chain(&self.listed.labels);
        !domains.is_empty() && own().any(|domain| domains.contains(domain.as_str()))
    }

    /// Whether there is a plan for the VM, or an action was carried out less than `period` ago, so that the
    /// record must be kept although a list leaves the VM out.
    pub(super) fn is_changing(&self, now: Instant, period: Duration) -> bool {
        let recent = |action: &Completion| now.saturating_duration_since(action.at) < period;
        self.plan.is_some() || self.last_action.as_ref().is_some_and(recent)
    }

    /// Whether the VM may be taken down for maintenance now, as far as its own state tells.
    pub(super) fn may_begin_upkeep(&self) -> bool {
        self.last_action.is_none() && (self.unlisted || self.listed.state == State::Up)
    }

    /// Whether the VM is down, or an action on it is not complete yet.
    pub(super) fn is_down(&self) -> bool {
        self.listed.state != State::Up || self.last_action.is_some()
    }

    /// Whether the VM may be in maintenance.
    pub(super) fn may_be_in_upkeep(&self) -> bool {
        self.listed.state == State::Upkeep
            || self.last_action.as_ref().is_some_and(|action| action.is_upkeep)
    }
}
