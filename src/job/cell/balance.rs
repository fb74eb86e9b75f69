//! Balancing: moves VMs between the pools of services according to their needs.
//!
//! VMs are distributed in three rounds: first for tasks that cannot move (the floor), then for work
//! that can complete by its due time, and the rest for late work. A pool with fewer VMs than its
//! share gets some from the spare pool, then from pools with more than theirs: empty VMs at once,
//! and busy ones after they are drained if their tasks end soon. Idle VMs beyond a pool's share and
//! reserve return to the spare pool, where they cost nothing.

use {
    super::{Cell, need::Need, vm::Record},
    crate::{
        id::VmId,
        job::upkeep::{Action, State},
    },
    indexmap::{IndexMap, IndexSet},
    log::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Interval at which pools are balanced.
const BALANCE_INTERVAL: Duration = Duration::from_millis(150);
/// Number of VMs beyond its share that a pool keeps.
const RESERVE: usize = 2;
/// Time for which a VM must have been empty before it returns to the spare pool.
const MIN_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// Longest expected remaining time of its tasks with which a busy VM may be drained for a move.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(1_200);
/// Time by which the averaged rate of submitted work lags behind the start of a burst.
const RATE_LAG: Duration = Duration::from_millis(250);

/// Number of VMs that a service's pool has, including those on their way to it, and should have.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// VMs that the pool has.
    has: usize,
    /// VMs that it should have for its floor and timely work.
    timely: usize,
    /// VMs that it should have in all, including those for late work.
    target: usize,
}

impl Cell {
    /// Cores needed for timely work in each pool as a fraction of the cores that the pool has;
    /// above 1 the pool is too small.
    pub(super) fn pressures(&self, now: Instant) -> IndexMap<String, f64> {
        let spare = self.spare_pool().unwrap_or_default();
        let has = self.pool_sizes();
        let pressure = |(service, need): (String, Need)| {
            let vms = has.get(&service).copied().unwrap_or_default();
            let pressure = need.timely / (vms as f64 * self.vm_cores()).max(1.0);
            (service, pressure)
        };
        self.needs(now, &spare).into_iter().map(pressure).collect()
    }

    /// Name of the spare pool, whose VMs are off and cost nothing.
    fn spare_pool(&self) -> Option<String> {
        let spare = self.manifest.services.iter().find(|service| service.spare)?;
        Some(spare.name.clone())
    }

    /// Plans moves of VMs between pools.
    pub(super) fn balance(&mut self, now: Instant) {
        if now.saturating_duration_since(self.pools.balanced_at) < BALANCE_INTERVAL {
            return;
        }
        self.pools.balanced_at = now;
        let Some(spare) = self.spare_pool() else { return };
        self.observe_bursts(now, &spare);
        let needs = self.needs(now, &spare);
        let shares = self.shares(&needs);
        self.pools.targets =
            shares.iter().map(|(service, share)| (service.clone(), share.target)).collect();
        let moves = self.plan_moves(now, &spare, &shares);
        if !moves.is_empty() {
            log_shares(&needs, &shares);
        }
        for action in moves {
            self.plan_action(now, action);
        }
    }

    /// Feeds the forecast with the current load of each service.
    fn observe_bursts(&mut self, now: Instant, spare: &str) {
        let services: Vec<String> =
            self.pools.initial_sizes.keys().filter(|name| *name != spare).cloned().collect();
        for service in services {
            let initial = self.initial_cores(&service).max(1.0);
            let load = self.load.cores(&service) / initial;
            let jobs = self.load.recent_jobs(&service);
            self.forecast.observe(now, &service, load, jobs, RATE_LAG);
        }
    }

    /// Number of reachable VMs of each pool, including those on their way to it.
    fn pool_sizes(&self) -> IndexMap<String, usize> {
        let mut vms: IndexMap<String, usize> = IndexMap::new();
        let suspected = self.suspected_domains();
        for record in self.pools.vms.values() {
            let planned = record.plan.as_ref().map(|plan| &plan.action);
            let pool = match planned {
                Some(Action::Move { pool, .. }) => pool,
                Some(Action::Upkeep { .. }) => continue,
                None => &record.listed.pool,
            };
            if record.listed.state == State::Down || self.is_unreachable(record, &suspected) {
                continue;
            }
            *vms.entry(pool.clone()).or_default() += 1;
        }
        vms
    }

    /// Shares out all VMs among the services that need some. A need beyond whole VMs gets another
    /// VM only if it exceeds a quarter of one.
    fn shares(&self, needs: &IndexMap<String, Need>) -> IndexMap<String, Share> {
        let vms = self.pool_sizes();
        let cores = self.vm_cores();
        let mut left = vms.values().sum::<usize>();
        let whole = |cores_needed: f64| (cores_needed / cores - 0.25).max(0.0).ceil() as usize;
        let mut shares: IndexMap<String, Share> = IndexMap::new();
        for (service, need) in needs {
            let has = vms.get(service).copied().unwrap_or_default();
            let floor = (need.floor / cores).ceil() as usize;
            let floor = floor.max(usize::from(need.timely + need.late > 0.0));
            left = left.saturating_sub(floor);
            shares.insert(service.clone(), Share { has, timely: floor, target: floor });
        }
        let wants = needs.iter().map(|(service, need)| {
            whole(need.timely).saturating_sub(shares.get(service).map_or(0, |share| share.timely))
        });
        let wants: Vec<usize> = wants.collect();
        for (share, given) in shares.values_mut().zip(divide(&wants, left)) {
            left -= given;
            share.timely += given;
            share.target = share.timely;
        }
        let wants: Vec<usize> = needs.values().map(|need| whole(need.late)).collect();
        for (share, given) in shares.values_mut().zip(divide(&wants, left)) {
            share.target += given;
        }
        shares
    }

    /// Moves that bring the pools closer to their shares; the pools that miss most VMs come first.
    fn plan_moves(
        &self,
        now: Instant,
        spare: &str,
        shares: &IndexMap<String, Share>,
    ) -> Vec<Action> {
        let mut short: Vec<(&String, usize)> = shares
            .iter()
            .map(|(service, share)| (service, share.target.saturating_sub(share.has)))
            .filter(|(_, missing)| *missing > 0)
            .collect();
        short.sort_by_key(|(_, missing)| std::cmp::Reverse(*missing));
        let mut movable = self.movable_vms(now, spare, shares, !short.is_empty());
        let mut moves = Vec::new();
        for (service, missing) in short {
            for _ in 0..missing {
                let joins = |vm: &Movable| self.may_join(now, &vm.id, service);
                let Some(position) = movable.iter().position(joins) else { break };
                let vm = movable.remove(position).id;
                moves.push(Action::Move { vm, pool: service.clone() });
            }
        }
        for vm in movable.into_iter().filter(|vm| self.may_join(now, &vm.id, spare)) {
            let share = shares.get(&vm.pool).copied().unwrap_or_default();
            let given = moves.iter().filter(|action| self.pool_of(action.vm()) == vm.pool).count();
            let over = share.has.saturating_sub(given) > share.target + RESERVE;
            if over && vm.empty && self.idle_time(now, &vm.id) > MIN_IDLE_TIME {
                moves.push(Action::Move { vm: vm.id, pool: String::from(spare) });
            }
        }
        moves
    }

    /// VMs that can move to another pool: those of the spare pool first, then empty ones, then, if
    /// `urgent`, those that will be empty soonest. No pool gives more VMs than it has beyond its
    /// share, nor, until a finite job has been submitted, falls below its initial size.
    fn movable_vms(
        &self,
        now: Instant,
        spare: &str,
        shares: &IndexMap<String, Share>,
        urgent: bool,
    ) -> Vec<Movable> {
        let may_shrink = self.load.has_started();
        let suspected = self.suspected_domains();
        let mut found: Vec<(bool, Duration, Movable)> = Vec::new();
        for (id, record) in &self.pools.vms {
            let unavailable = record.is_down() || record.plan.is_some() || self.is_overdue(now, id);
            if unavailable || self.is_unreachable(record, &suspected) {
                continue;
            }
            let pool = record.listed.pool.clone();
            let is_spare = pool == spare;
            let Some(busy) = (if is_spare { Some(Duration::ZERO) } else { self.busy_for(now, id) })
            else {
                continue;
            };
            let empty = busy.is_zero();
            if !empty && (!urgent || busy > MAX_DRAIN_TIME) {
                continue;
            }
            found.push((!is_spare, busy, Movable { id: id.clone(), pool, empty }));
        }
        found.sort_by_key(|(pooled, busy, _)| (*pooled, *busy));
        let mut given: IndexMap<String, usize> = IndexMap::new();
        let mut can_spare = |movable: &Movable| {
            if movable.pool == spare {
                return true;
            }
            let share = shares.get(&movable.pool).copied().unwrap_or_default();
            let initial =
                self.pools.initial_sizes.get(&movable.pool).copied().unwrap_or(usize::MAX);
            let given = given.entry(movable.pool.clone()).or_default();
            let beyond = may_shrink || share.has > initial + *given;
            let can_spare = beyond && share.has > share.target + *given;
            *given += usize::from(can_spare);
            can_spare
        };
        found
            .into_iter()
            .map(|(.., movable)| movable)
            .filter(|movable| can_spare(movable))
            .collect()
    }

    /// Whether a VM may move to a pool, as far as is known.
    fn may_join(&self, now: Instant, vm: &str, pool: &str) -> bool {
        self.pools.vms.get(vm).is_some_and(|record| record.may_join(now, pool))
    }

    fn pool_of(&self, vm: &str) -> &str {
        self.pools.vms.get(vm).map_or("", |record| record.listed.pool.as_str())
    }

    /// Time until a VM's tasks are expected to end; none if some are endless, or its runner is
    /// draining or unknown.
    fn busy_for(&self, now: Instant, vm: &str) -> Option<Duration> {
        let worker = self.runner_of(vm).and_then(|id| self.workers.get(&id))?;
        if worker.is_draining() {
            return None;
        }
        let mut busy = Duration::ZERO;
        for task in worker.tasks.keys() {
            let job = self.jobs.get(&task.job)?;
            let step = job.step(task).filter(|step| !step.endless)?;
            let takes = step.estimate.mul_f64(self.load.run_time_ratio(&job.queue));
            let begun = job.task(task).and_then(|state| state.phase_since())?;
            let left = takes.saturating_sub(now.saturating_duration_since(begun));
            busy = busy.max(left).max(Duration::from_millis(1));
        }
        Some(busy)
    }

    /// Whether a VM is likely unreachable: its runner, or a failure domain that it is in, is
    /// suspected.
    fn is_unreachable(&self, record: &Record, suspected: &IndexSet<Rc<str>>) -> bool {
        let worker = self.runner_of(&record.listed.id).and_then(|id| self.workers.get(&id));
        worker.is_some_and(|worker| self.detector.is_suspected(worker)) || record.is_in(suspected)
    }

    /// Time for which a VM's runner has had no task; 0 if it has no known runner.
    fn idle_time(&self, now: Instant, vm: &str) -> Duration {
        let worker = self.runner_of(vm).and_then(|id| self.workers.get(&id));
        worker.map_or(Duration::ZERO, |w| now.saturating_duration_since(w.empty_since))
    }
}

/// A VM that can move to another pool.
struct Movable {
    id: VmId,
    /// Pool that it is in.
    pool: String,
    /// Whether it has no tasks, so that it can move at once.
    empty: bool,
}

/// Logs what decided on moves. For each service: the VMs that it has, the VMs that it should have
/// for timely work and in all, and the cores that timely and late work needs.
fn log_shares(needs: &IndexMap<String, Need>, shares: &IndexMap<String, Share>) {
    let one = |(service, share): (&String, &Share)| {
        let need = needs.get(service).copied().unwrap_or_default();
        let Share { has, timely, target } = share;
        format!("{service}:{has}:{timely}:{target}:{:.0}:{:.0}", need.timely, need.late)
    };
    let all: Vec<String> = shares.iter().map(one).collect();
    info!("balance: services={}", all.join(","));
}

/// Divides `total` by the demands in `wants`: each is met in full, or in proportion if their sum
/// exceeds `total`.
fn divide(wants: &[usize], total: usize) -> Vec<usize> {
    let sum: usize = wants.iter().sum();
    if sum <= total {
        return wants.to_vec();
    }
    wants.iter().map(|want| want * total / sum).collect()
}
