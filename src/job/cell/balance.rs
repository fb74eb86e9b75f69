//! Moves of VMs between pools, after the demand of their services.
//!
//! A service whose work asks for more cores than its pool has gets VMs from the spare pool, and then
//! empty VMs of pools that have more than they need. What a pool no longer needs beyond its first
//! size goes to a service that does, or back to the spare pool, where it costs nothing.

use {
    super::Cell,
    crate::job::{
        ledger::Outcome,
        upkeep::{Action, MachineId, State},
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time between two looks at the balance.
const PAUSE: Duration = Duration::from_millis(200);
/// Time within which waiting work should be done.
const HORIZON: Duration = Duration::from_millis(1_600);
/// Cores that a VM is counted with where none of its pool is known, in thousandths.
const VM_MILLICORES: f64 = 16_000.0;

/// What a service has and needs, in cores.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Cores of its VMs, those on their way to it included.
    has: f64,
    /// VMs, those on their way to it included.
    machines: usize,
    /// Cores that its work asks for.
    needs: f64,
}

impl Cell {
    /// Part of a service's room that its work asks for; above 1 it is short.
    pub(super) fn pressure(&self, service: &str) -> f64 {
        let demands = self.demands();
        demands.get(service).map_or(0.0, |demand| demand.needs / demand.has.max(1.0))
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
        let demands = self.demands();
        let mut short: Vec<(&String, f64)> = demands
            .iter()
            .filter(|(name, _)| **name != spare)
            .map(|(name, demand)| (name, demand.needs - demand.has))
            .filter(|(_, missing)| *missing > self.vm_cores() / 2.0)
            .collect();
        short.sort_by(|a, b| b.1.total_cmp(&a.1));
        let mut free = self.free_machines(&spare, &demands);
        let mut moves = Vec::new();
        for (service, missing) in short {
            let wanted = (missing / self.vm_cores()).round().max(1.0) as usize;
            for _ in 0..wanted {
                let donor = free.iter().position(|(_, pool)| pool != service);
                let Some(position) = donor else { break };
                let (machine, _) = free.remove(position);
                moves.push(Action::Move { machine, pool: service.clone() });
            }
        }
        let back = free.into_iter().filter(|(_, pool)| *pool != spare);
        moves.extend(back.map(|(machine, _)| Action::Move { machine, pool: spare.clone() }));
        for action in moves {
            self.plan_action(now, action);
        }
    }

    fn vm_cores(&self) -> f64 {
        let rooms = self.workers.values().filter_map(|worker| worker.entry.as_ref());
        let most = rooms.map(|entry| f64::from(entry.room.millicores)).fold(0.0, f64::max);
        (if most > 0.0 { most } else { VM_MILLICORES }) / 1_000.0
    }

    /// VMs that can move now, those of the spare pool first.
    fn free_machines(
        &self,
        spare: &str,
        demands: &IndexMap<String, Demand>,
    ) -> Vec<(MachineId, String)> {
        let mut free = Vec::new();
        let mut given: IndexMap<&str, usize> = IndexMap::new();
        for (id, vm) in &self.pools.machines {
            if vm.down() || vm.plan.is_some() {
                continue;
            }
            let pool = vm.listed.pool.as_str();
            if pool == spare {
                free.insert(0, (id.clone(), vm.listed.pool.clone()));
                continue;
            }
            let Some(demand) = demands.get(pool) else { continue };
            let first = self.pools.sizes.get(pool).copied().unwrap_or(usize::MAX);
            let given = given.entry(pool).or_default();
            let left = demand.has - self.vm_cores() * (*given + 1) as f64;
            let beyond = demand.machines > first + *given;
            if beyond && left > demand.needs && self.is_empty(id) {
                *given += 1;
                free.push((id.clone(), vm.listed.pool.clone()));
            }
        }
        free
    }

    fn is_empty(&self, machine: &str) -> bool {
        let worker = self.runner_of(machine).and_then(|id| self.workers.get(&id));
        worker.is_some_and(|worker| worker.tasks.is_empty() && !worker.draining())
    }

    fn demands(&self) -> IndexMap<String, Demand> {
        let mut demands: IndexMap<String, Demand> = IndexMap::new();
        let cores = self.vm_cores();
        for vm in self.pools.machines.values() {
            let planned = vm.plan.as_ref().map(|plan| &plan.action);
            let pool = match planned {
                Some(Action::Move { pool, .. }) => pool,
                Some(Action::Upkeep { .. }) => continue,
                None => &vm.listed.pool,
            };
            if vm.listed.state == State::Down {
                continue;
            }
            let demand = demands.entry(pool.clone()).or_default();
            demand.has += cores;
            demand.machines += 1;
        }
        let mut backlog: IndexMap<&str, f64> = IndexMap::new();
        for job in self.jobs.values().filter(|job| job.outcome == Outcome::Open) {
            let work = backlog.entry(&job.service).or_default();
            for (step, left) in job.spec.steps.iter().zip(&job.left) {
                let millicores = f64::from(step.counted().millicores);
                let cores = f64::from(*left) * millicores / 1_000.0;
                *work += if step.endless {
                    cores * HORIZON.as_secs_f64()
                } else {
                    cores * step.estimate.as_secs_f64()
                };
            }
        }
        for (service, work) in backlog {
            let needs = work / HORIZON.as_secs_f64();
            demands.entry(String::from(service)).or_default().needs = needs;
        }
        for (service, demand) in &mut demands {
            demand.needs = demand.needs.max(self.load.cores(service));
        }
        demands
    }
}
