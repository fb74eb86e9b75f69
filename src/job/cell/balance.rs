//! Balancing: moves VMs between the pools of services according to their needs.
//!
//! VMs are shared out in three rounds: first for tasks that cannot move (the floor), then for work
//! that can be done in time, and the rest for late work. A pool with fewer VMs than its share gets
//! some from the spare pool, then from pools with more than theirs: empty VMs at once, and busy
//! ones after they are emptied if their tasks end soon. Idle VMs beyond a pool's share and reserve
//! return to the spare pool, where they cost nothing.

use {
    super::{Cell, need::Need, pools::Member},
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
const PAUSE: Duration = Duration::from_millis(150);
/// Number of VMs beyond its share that a pool keeps.
const RESERVE: usize = 2;
/// Time for which a VM must have been empty before it returns to the spare pool.
const IDLE: Duration = Duration::from_millis(2_500);
/// Longest expected remaining time of its tasks with which a busy VM may be emptied for a move.
const EMPTIES: Duration = Duration::from_millis(1_200);
/// Time by which the averaged rate of submitted work lags behind the start of a turn.
const RATE_LAG: Duration = Duration::from_millis(250);

/// Number of VMs that a service's pool has, including those on their way to it, and should have:
/// for its floor and timely work, and in all.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    has: usize,
    timely: usize,
    target: usize,
}

impl Cell {
    /// Cores needed for timely work in each pool as a fraction of the cores that the pool has;
    /// above 1 the pool is too small.
    pub(super) fn pressures(&self, now: Instant) -> IndexMap<String, f64> {
        let spare = self.spare_pool().unwrap_or_default();
        let has = self.vms_of_pools();
        let pressure = |(service, need): (String, Need)| {
            let vms = has.get(&service).copied().unwrap_or_default();
            let pressure = need.timely / (vms as f64 * self.vm_cores()).max(1.0);
            (service, pressure)
        };
        self.needs(now, &spare).into_iter().map(pressure).collect()
    }

    fn spare_pool(&self) -> Option<String> {
        let spare = self.manifest.services.iter().find(|service| service.spare)?;
        Some(spare.name.clone())
    }

    /// Plans moves of VMs between pools.
    pub(super) fn balance(&mut self, now: Instant) {
        if now.saturating_duration_since(self.pools.balanced) < PAUSE {
            return;
        }
        self.pools.balanced = now;
        let Some(spare) = self.spare_pool() else { return };
        self.observe_turns(now, &spare);
        let needs = self.needs(now, &spare);
        let shares = self.shares(&needs);
        let moves = self.moves(now, &spare, &shares);
        if !moves.is_empty() {
            log_shares(&needs, &shares);
        }
        for action in moves {
            self.plan_action(now, action);
        }
    }

    fn observe_turns(&mut self, now: Instant, spare: &str) {
        let services: Vec<String> =
            self.pools.sizes.keys().filter(|name| *name != spare).cloned().collect();
        for service in services {
            let first = self.first_cores(&service).max(1.0);
            let load = self.load.cores(&service) / first;
            let jobs = self.load.jobs(&service);
            self.forecast.observe(now, &service, load, jobs, RATE_LAG);
        }
    }

    /// Number of reachable VMs of each pool, including those on their way to it.
    fn vms_of_pools(&self) -> IndexMap<String, usize> {
        let mut vms: IndexMap<String, usize> = IndexMap::new();
        let silent = self.silent_domains();
        for member in self.pools.members.values() {
            let planned = member.plan.as_ref().map(|plan| &plan.action);
            let pool = match planned {
                Some(Action::Move { pool, .. }) => pool,
                Some(Action::Upkeep { .. }) => continue,
                None => &member.listed.pool,
            };
            if member.listed.state == State::Down || self.is_out_of_reach(member, &silent) {
                continue;
            }
            *vms.entry(pool.clone()).or_default() += 1;
        }
        vms
    }

    /// Shares out all VMs among the services that need some.
    fn shares(&self, needs: &IndexMap<String, Need>) -> IndexMap<String, Share> {
        let vms = self.vms_of_pools();
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

    fn moves(&self, now: Instant, spare: &str, shares: &IndexMap<String, Share>) -> Vec<Action> {
        let mut short: Vec<(&String, usize)> = shares
            .iter()
            .map(|(service, share)| (service, share.target.saturating_sub(share.has)))
            .filter(|(_, missing)| *missing > 0)
            .collect();
        short.sort_by_key(|(_, missing)| std::cmp::Reverse(*missing));
        let mut free = self.free_vms(now, spare, shares, !short.is_empty());
        let mut moves = Vec::new();
        for (service, missing) in short {
            for _ in 0..missing {
                let Some(position) = free.iter().position(|vm| vm.pool != *service) else { break };
                let vm = free.remove(position).id;
                moves.push(Action::Move { vm, pool: service.clone() });
            }
        }
        for vm in free.into_iter().filter(|vm| vm.pool != spare) {
            let share = shares.get(&vm.pool).copied().unwrap_or_default();
            let given = moves.iter().filter(|action| self.pool_of(action.vm()) == vm.pool).count();
            let over = share.has.saturating_sub(given) > share.target + RESERVE;
            if over && vm.empty && self.idle(now, &vm.id) > IDLE {
                moves.push(Action::Move { vm: vm.id, pool: String::from(spare) });
            }
        }
        moves
    }

    /// VMs that can move to another pool: those of the spare pool first, then empty ones, then, if
    /// `urgent`, those that will be empty soonest. No pool gives more VMs than it has beyond its
    /// share, nor, until a finite job has been submitted, falls below its initial size.
    fn free_vms(
        &self,
        now: Instant,
        spare: &str,
        shares: &IndexMap<String, Share>,
        urgent: bool,
    ) -> Vec<Free> {
        let sheds = self.load.begun();
        let silent = self.silent_domains();
        let mut found: Vec<(bool, Duration, Free)> = Vec::new();
        for (id, member) in &self.pools.members {
            let taken = member.down() || member.plan.is_some() || self.is_overdue(now, id);
            if taken || self.is_out_of_reach(member, &silent) {
                continue;
            }
            let pool = member.listed.pool.clone();
            let is_spare = pool == spare;
            let Some(busy) = (if is_spare { Some(Duration::ZERO) } else { self.busy_for(now, id) })
            else {
                continue;
            };
            let empty = busy.is_zero();
            if !empty && (!urgent || busy > EMPTIES) {
                continue;
            }
            found.push((!is_spare, busy, Free { id: id.clone(), pool, empty }));
        }
        found.sort_by_key(|(pooled, busy, _)| (*pooled, *busy));
        let mut given: IndexMap<String, usize> = IndexMap::new();
        let mut spared = |free: &Free| {
            if free.pool == spare {
                return true;
            }
            let share = shares.get(&free.pool).copied().unwrap_or_default();
            let first = self.pools.sizes.get(&free.pool).copied().unwrap_or(usize::MAX);
            let given = given.entry(free.pool.clone()).or_default();
            let beyond = sheds || share.has > first + *given;
            let spared = beyond && share.has > share.target + *given;
            *given += usize::from(spared);
            spared
        };
        found.into_iter().map(|(.., free)| free).filter(|free| spared(free)).collect()
    }

    fn pool_of(&self, vm: &str) -> &str {
        self.pools.members.get(vm).map_or("", |member| member.listed.pool.as_str())
    }

    /// Time until a VM's tasks are expected to end; none if some are endless, or its runner is
    /// draining or unknown.
    fn busy_for(&self, now: Instant, vm: &str) -> Option<Duration> {
        let worker = self.runner_of(vm).and_then(|id| self.workers.get(&id))?;
        if worker.draining() {
            return None;
        }
        let mut busy = Duration::ZERO;
        for task in worker.tasks.keys() {
            let job = self.jobs.get(&task.job)?;
            let step = job.step(task).filter(|step| !step.endless)?;
            let takes = step.estimate.mul_f64(self.load.factor(&job.queue));
            let begun = job.task(task).and_then(|state| state.begun())?;
            let left = takes.saturating_sub(now.saturating_duration_since(begun));
            busy = busy.max(left).max(Duration::from_millis(1));
        }
        Some(busy)
    }

    /// Whether a VM is likely unreachable: its runner, or a failure domain that it is in, is
    /// suspected.
    fn is_out_of_reach(&self, member: &Member, silent: &IndexSet<Rc<str>>) -> bool {
        let worker = self.runner_of(&member.listed.id).and_then(|id| self.workers.get(&id));
        worker.is_some_and(|worker| self.detector.is_silent(worker)) || member.is_in(silent)
    }

    /// Time for which a VM's runner has had no task; 0 if it has no known runner.
    fn idle(&self, now: Instant, vm: &str) -> Duration {
        let worker = self.runner_of(vm).and_then(|id| self.workers.get(&id));
        worker.map_or(Duration::ZERO, |w| now.saturating_duration_since(w.empty_since))
    }
}

/// A VM that can move to another pool.
struct Free {
    id: VmId,
    pool: String,
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

/// Divides `total` by what each one wants; in proportion if there is not enough for all.
fn divide(wants: &[usize], total: usize) -> Vec<usize> {
    let sum: usize = wants.iter().sum();
    if sum <= total {
        return wants.to_vec();
    }
    wants.iter().map(|want| want * total / sum).collect()
}
