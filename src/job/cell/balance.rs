//! Moves of VMs between pools, after the demand of their services.
//!
//! A service whose work asks for more cores than its pool has gets VMs from the spare pool, and then
//! empty VMs of pools that have more than they need. A service whose turn comes gets them so early
//! that they are there when it begins. While turns agree, a pool keeps no more than its work needs
//! and a small reserve; else it keeps its first size. What is over goes back to the spare pool, where
//! it costs nothing.

use {
    super::{Cell, pools::Member},
    crate::{
        id::VmId,
        job::{
            spec::Step,
            upkeep::{Action, State},
        },
    },
    indexmap::{IndexMap, IndexSet},
    log::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time between two looks at the balance.
const PAUSE: Duration = Duration::from_millis(150);
/// Bounds of the time within which a job's remaining work should be done.
const HORIZON: (f64, f64) = (0.3, 1.0);
/// Weight of work that is late already.
const LATE_WEIGHT: f64 = 0.3;
/// Cores that a VM is counted with where none of its pool is known, in thousandths.
const VM_MILLICORES: f64 = 16_000.0;
/// Time beside the move itself until a moved VM takes tasks.
const JOINING: Duration = Duration::from_millis(900);
/// Part by which a turn's work may exceed what is forecast.
const TURN_MARGIN: f64 = 1.1;
/// VMs beyond the work that a pool keeps while turns agree.
const RESERVE: f64 = 2.0;
/// Part of its pool's first cores that a turn asks for where none was seen before.
const FIRST_TURN: f64 = 1.3;
/// Time for which a VM must have been empty before it goes back to the spare pool.
const IDLE: Duration = Duration::from_millis(2_500);
/// Time for which the rate of work lags behind the start of a turn.
const RATE_LAG: Duration = Duration::from_millis(250);

/// What a service has and needs, in cores.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Cores of its VMs, those on their way to it included.
    has: f64,
    /// VMs, those on their way to it included.
    vms: usize,
    /// Cores that its work asks for.
    needs: f64,
    /// Runners over which the tasks of a step must be spread.
    spread: usize,
}

/// Logs what decided on moves: VMs and cores that each service has, and cores that it needs.
fn log_demands(demands: &IndexMap<String, Demand>) {
    let one = |(service, demand): (&String, &Demand)| {
        format!("{service}:{}:{:.0}:{:.0}", demand.vms, demand.has, demand.needs)
    };
    let all: Vec<String> = demands.iter().map(one).collect();
    info!("balance: services={}", all.join(","));
}

/// Runners over which a job's steps must be spread.
fn spread(job: &super::Job) -> usize {
    let limited = job.spec.steps.iter().filter(|step| step.per_runner > 0);
    limited.map(|step| step.tasks.div_ceil(step.per_runner) as usize).max().unwrap_or_default()
}

impl Cell {
    /// Part of each service's room that its work asks for; above 1 it is short.
    pub(super) fn pressures(&self, now: Instant) -> IndexMap<String, f64> {
        let pressure =
            |(service, demand): (String, Demand)| (service, demand.needs / demand.has.max(1.0));
        self.demands(now).into_iter().map(pressure).collect()
    }

    /// Plans moves.
    pub(super) fn balance(&mut self, now: Instant) {
        if now.saturating_duration_since(self.pools.balanced) < PAUSE {
            return;
        }
        self.pools.balanced = now;
        let Some(spare) = self.manifest.services.iter().find(|service| service.spare) else {
            return;
        };
        let spare = spare.name.clone();
        self.observe_turns(now, &spare);
        let mut demands = self.demands(now);
        self.add_coming(now, &spare, &mut demands);
        let mut short: Vec<(&String, f64)> = demands
            .iter()
            .filter(|(name, _)| **name != spare)
            .map(|(name, demand)| (name, demand.needs - demand.has))
            .filter(|(_, missing)| *missing > self.vm_cores() / 2.0)
            .collect();
        short.sort_by(|a, b| b.1.total_cmp(&a.1));
        let mut free = self.free_vms(&spare, &demands);
        let mut moves = Vec::new();
        for (service, missing) in short {
            let wanted = (missing / self.vm_cores()).round().max(1.0) as usize;
            for _ in 0..wanted {
                let donor = free.iter().position(|(_, pool)| pool != service);
                let Some(position) = donor else { break };
                let (vm, _) = free.remove(position);
                moves.push(Action::Move { vm, pool: service.clone() });
            }
        }
        for (vm, pool) in free {
            if pool != spare && self.idle(now, &vm) > IDLE {
                moves.push(Action::Move { vm, pool: spare.clone() });
            }
        }
        if !moves.is_empty() {
            log_demands(&demands);
        }
        for action in moves {
            self.plan_action(now, action);
        }
    }

    fn first_cores(&self, service: &str) -> f64 {
        let vms = self.pools.sizes.get(service).copied().unwrap_or_default();
        vms as f64 * self.vm_cores()
    }

    fn observe_turns(&mut self, now: Instant, spare: &str) {
        let services: Vec<String> =
            self.pools.sizes.keys().filter(|name| *name != spare).cloned().collect();
        for service in services {
            let load = self.load.cores(&service) / self.first_cores(&service).max(1.0);
            self.forecast.observe(now, &service, load, RATE_LAG);
        }
    }

    /// Adds the turn to come, from the time on at which VMs must set out for it.
    fn add_coming(&self, now: Instant, spare: &str, demands: &mut IndexMap<String, Demand>) {
        let services: Vec<&str> =
            self.pools.sizes.keys().map(String::as_str).filter(|name| *name != spare).collect();
        let Some(coming) = self.forecast.coming(now, &services) else { return };
        if coming.at.saturating_duration_since(now) > self.bounds.move_time + JOINING {
            return;
        }
        let endless = self.endless_cores(&coming.service);
        let cores = coming.cores.unwrap_or(self.first_cores(&coming.service) * FIRST_TURN);
        let demand = demands.entry(coming.service).or_default();
        demand.needs = demand.needs.max(cores * TURN_MARGIN + endless);
    }

    /// Endless steps of a service.
    fn endless_steps(&self, service: &str) -> impl Iterator<Item = &Step> {
        let jobs = self.open_jobs().filter(move |job| *job.service == *service);
        jobs.flat_map(|job| &job.spec.steps).filter(|step| step.endless)
    }

    fn endless_cores(&self, service: &str) -> f64 {
        let cores = |step: &Step| f64::from(step.tasks) * f64::from(step.counted().millicores);
        self.endless_steps(service).map(cores).sum::<f64>() / 1_000.0
    }

    /// VMs of `cores` cores that surely hold a service's endless tasks, however they are packed.
    fn endless_vms(&self, service: &str, cores: f64) -> usize {
        let widest = self.endless_steps(service).map(|step| step.counted().millicores).max();
        let widest = f64::from(widest.unwrap_or_default()) / 1_000.0;
        (self.endless_cores(service) / (cores - widest).max(1.0)).ceil() as usize
    }

    fn vm_cores(&self) -> f64 {
        let rooms = self.workers.values().filter_map(|worker| worker.entry.as_ref());
        let most = rooms.map(|entry| f64::from(entry.room.millicores)).fold(0.0, f64::max);
        (if most > 0.0 { most } else { VM_MILLICORES }) / 1_000.0
    }

    /// VMs that can move now, those of the spare pool first.
    fn free_vms(&self, spare: &str, demands: &IndexMap<String, Demand>) -> Vec<(VmId, String)> {
        let mut free = Vec::new();
        let mut given: IndexMap<&str, usize> = IndexMap::new();
        let sheds = self.load.begun();
        let silent = self.silent_domains();
        for (id, member) in &self.pools.members {
            if member.down() || member.plan.is_some() || self.is_out_of_reach(member, &silent) {
                continue;
            }
            let pool = member.listed.pool.as_str();
            if pool == spare {
                free.insert(0, (id.clone(), member.listed.pool.clone()));
                continue;
            }
            let Some(demand) = demands.get(pool) else { continue };
            let first = self.pools.sizes.get(pool).copied().unwrap_or(usize::MAX);
            let given = given.entry(pool).or_default();
            let left = demand.has - self.vm_cores() * (*given + 1) as f64;
            let beyond = sheds || demand.vms > first + *given;
            let needed = demand.needs + RESERVE * self.vm_cores();
            if beyond && left >= needed && self.is_empty(id) {
                *given += 1;
                free.push((id.clone(), member.listed.pool.clone()));
            }
        }
        free
    }

    /// Whether a VM's runner is silent, or the VM is in a failure domain that is.
    fn is_out_of_reach(&self, member: &Member, silent: &IndexSet<Rc<str>>) -> bool {
        let worker = self.runner_of(&member.listed.id).and_then(|id| self.workers.get(&id));
        worker.is_some_and(|worker| self.silence.is_silent(worker)) || member.is_in(silent)
    }

    fn is_empty(&self, vm: &str) -> bool {
        let worker = self.runner_of(vm).and_then(|id| self.workers.get(&id));
        worker.is_some_and(|worker| worker.tasks.is_empty() && !worker.draining())
    }

    /// Time for which a VM's runner has had no task.
    fn idle(&self, now: Instant, vm: &str) -> Duration {
        let worker = self.runner_of(vm).and_then(|id| self.workers.get(&id));
        worker.map_or(Duration::ZERO, |w| now.saturating_duration_since(w.empty_since))
    }

    fn demands(&self, now: Instant) -> IndexMap<String, Demand> {
        let mut demands: IndexMap<String, Demand> = IndexMap::new();
        let cores = self.vm_cores();
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
            let demand = demands.entry(pool.clone()).or_default();
            demand.has += cores;
            demand.vms += 1;
        }
        for job in self.open_jobs() {
            let needs = self.job_cores(now, job);
            let demand = demands.entry(job.service.to_string()).or_default();
            demand.needs += needs;
            demand.spread = demand.spread.max(spread(job));
        }
        for (service, demand) in &mut demands {
            let vms = demand.spread.max(self.endless_vms(service, cores));
            demand.needs = demand.needs.max(self.load.cores(service) + self.endless_cores(service));
            demand.needs = demand.needs.max(vms as f64 * cores);
        }
        demands
    }

    /// Cores that a job's remaining work asks for.
    fn job_cores(&self, now: Instant, job: &super::Job) -> f64 {
        let factor = self.load.factor(&job.queue);
        let window = job.due.saturating_duration_since(now).as_secs_f64();
        let late = window < job.remaining.as_secs_f64() * factor;
        let window = window.clamp(HORIZON.0, HORIZON.1);
        let mut needs = 0.0;
        for (step, left) in job.spec.steps.iter().zip(&job.left) {
            let cores = f64::from(*left) * f64::from(step.counted().millicores) / 1_000.0;
            needs += if step.endless {
                cores
            } else {
                let weight = if late { LATE_WEIGHT } else { 1.0 };
                weight * cores * step.estimate.as_secs_f64() * factor / window
            };
        }
        needs
    }
}
