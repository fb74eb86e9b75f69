//! Simulation of a fleet that serves a demand under a policy, and the cost of the policy.

use {
    super::demand::{Demand, HOUR, POOLS, SLOTS, TODAY, TODAY_SPARE, name},
    carobhitch::{
        buffer::{Allocation, Move, Planner},
        id::PoolId,
    },
    indexmap::IndexMap,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Seconds from the decision to move a VM until it takes work, which are spent on the drain, the
/// confirmations and the record of the move.
pub const MOVE_SECS: usize = 3;
/// Seconds after which a waiting request is too late to be served.
const DEADLINE_SECS: usize = 5;
/// Seconds in which a backlog should be served.
const BACKLOG_SECS: f64 = 3.0;
/// Seconds to drain and reboot a VM.
pub const REBOOT_SECS: usize = 120;

/// Cost of a policy.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Mean number of VMs held.
    pub held: f64,
    /// Mean number of VMs held and not in use.
    pub buffer: f64,
    /// Moves per hour.
    pub moves: f64,
    /// Share of the demand not served within the deadline, in parts per million.
    pub shortfall_ppm: f64,
    /// Share of the demand that waited, in percent.
    pub waited_percent: f64,
    /// Time to reboot all held VMs without taking capacity in use, in minutes.
    pub roll_out_minutes: f64,
}

/// How many VMs are held, and when they are moved.
pub enum Policy {
    /// Pools of this size, and no moves.
    Fixed([u32; POOLS]),
    /// Pools of this size and a spare pool. A pool that lacks VMs borrows them from the spare pool
    /// at once, in the order of the pools, and returns them as soon as it does not need them.
    FirstFit([u32; POOLS], u32),
    /// Moves planned by the planner, starting from the static division.
    Planned(Box<Planner>),
}

/// Waiting requests of one service.
#[derive(Default)]
pub struct Queue {
    /// Second of arrival and slots needed, oldest first.
    waiting: VecDeque<(usize, f64)>,
}

impl Queue {
    /// Serves up to `capacity` slots; returns the slots of the requests that missed the deadline
    /// and of those that were served after waiting.
    pub fn serve(&mut self, second: usize, arriving: f64, mut capacity: f64) -> (f64, f64) {
        let (mut late, mut waited) = (0.0, 0.0);
        self.waiting.push_back((second, arriving));
        while let Some((since, left)) = self.waiting.front_mut() {
            if second - *since > DEADLINE_SECS {
                late += *left;
                self.waiting.pop_front();
                continue;
            }
            let served = left.min(capacity);
            capacity -= served;
            waited += if *since < second { served } else { 0.0 };
            *left -= served;
            if *left > 1e-9 {
                break;
            }
            self.waiting.pop_front();
        }
        (late, waited)
    }

    fn backlog(&self) -> f64 {
        self.waiting.iter().map(|(_, left)| left).sum()
    }
}

/// VMs of the pools and of the spare pool.
struct Fleet<'a> {
    demand: &'a Demand,
    begin: Instant,
    vms: [u32; POOLS],
    spare: u32,
    /// Moves in progress: second of their end, receiving pool, number of VMs.
    arriving: Vec<(usize, usize, u32)>,
    /// Number of VMs moved so far.
    moves: u32,
}

/// Runs a policy on the demand and measures its cost from a second on.
pub fn run(demand: &Demand, policy: &mut Policy, from: usize) -> Cost {
    let (vms, spare) = match policy {
        Policy::Fixed(vms) => (*vms, 0),
        Policy::FirstFit(vms, spare) => (*vms, *spare),
        Policy::Planned(_) => (TODAY, TODAY_SPARE),
    };
    let arriving = Vec::new();
    let mut fleet = Fleet { demand, begin: Instant::now(), vms, spare, arriving, moves: 0 };
    let mut queues: [Queue; POOLS] = std::array::from_fn(|_| Queue::default());
    let (mut held, mut late, mut waited, mut requested, mut free) =
        (0.0, 0.0, 0.0, 0.0, Vec::new());
    for second in 0..demand.slots.len() {
        if second == from {
            fleet.moves = 0;
        }
        fleet.finish_moves(second);
        let mut needs = demand.needs(second);
        for (pool, queue) in queues.iter_mut().enumerate() {
            let slots = demand.slots[second][pool];
            let (late_now, waited_now) =
                queue.serve(second, slots, f64::from(fleet.vms[pool]) * SLOTS);
            if second >= from {
                (late, waited, requested) =
                    (late + late_now, waited + waited_now, requested + slots);
            }
            needs[pool] = ((slots + queue.backlog() / BACKLOG_SECS) / SLOTS).ceil() as u32;
        }
        fleet.decide(second, policy, &needs);
        if second >= from {
            held += f64::from(fleet.held());
            free.push(fleet.held().saturating_sub(demand.needs(second).iter().sum()));
        }
    }
    let seconds = (demand.slots.len() - from) as f64;
    let held = held / seconds;
    Cost {
        held,
        buffer: held - demand.mean_used(from),
        moves: f64::from(fleet.moves) * HOUR as f64 / seconds,
        shortfall_ppm: late / requested * 1e6,
        waited_percent: waited / requested * 100.0,
        roll_out_minutes: roll_out_minutes(held, &free),
    }
}

/// Minutes to reboot every VM in rounds, each of as many VMs as stay free throughout the round.
fn roll_out_minutes(held: f64, free: &[u32]) -> f64 {
    let (mut left, mut second) = (held, 0);
    while left > 0.0 && second + REBOOT_SECS <= free.len() {
        let at_once = free[second..second + REBOOT_SECS].iter().min().copied().unwrap_or(0);
        left -= f64::from(at_once);
        second += REBOOT_SECS;
    }
    second as f64 / 60.0
}

impl Fleet<'_> {
    fn held(&self) -> u32 {
        let arriving: u32 = self.arriving.iter().map(|(_, _, count)| count).sum();
        self.vms.iter().sum::<u32>() + self.spare + arriving
    }

    fn finish_moves(&mut self, second: usize) {
        for (_, pool, count) in self.arriving.extract_if(.., |(at, _, _)| *at <= second) {
            self.vms[pool] += count;
        }
    }

    fn start_moves(&mut self, second: usize, to: usize, count: u32) {
        self.moves += count;
        self.arriving.push((second + MOVE_SECS, to, count));
    }

    fn arriving_at(&self, pool: usize) -> u32 {
        self.arriving.iter().filter(|(_, to, _)| *to == pool).map(|(_, _, count)| count).sum()
    }

    fn decide(&mut self, second: usize, policy: &mut Policy, needs: &[u32; POOLS]) {
        match policy {
            Policy::Fixed(_) => {}
            Policy::FirstFit(home, _) => self.first_fit(second, home, needs),
            Policy::Planned(planner) => self.follow_plan(second, planner, needs),
        }
    }

    fn first_fit(&mut self, second: usize, home: &[u32; POOLS], needs: &[u32; POOLS]) {
        for pool in 0..POOLS {
            let extra = self.vms[pool].saturating_sub(home[pool].max(needs[pool]));
            self.vms[pool] -= extra;
            self.spare += extra;
            self.moves += extra;
        }
        for (pool, need) in needs.iter().enumerate() {
            let missing = need.saturating_sub(self.vms[pool] + self.arriving_at(pool));
            let count = missing.min(self.spare);
            self.spare -= count;
            if count > 0 {
                self.start_moves(second, pool, count);
            }
        }
    }

    fn follow_plan(&mut self, second: usize, planner: &mut Planner, needs: &[u32; POOLS]) {
        let now = self.begin + Duration::from_secs(second as u64);
        let raw = self.demand.needs(second);
        planner.observe(&raw.iter().enumerate().map(|(p, need)| (name(p), *need)).collect());
        if second % HOUR == HOUR - 1 && planner.replan(now) {
            self.resize(planner.plan().total(), needs, planner);
        }
        let allocation = |pool: usize| Allocation {
            vms: self.vms[pool],
            arriving: self.arriving_at(pool),
            need: needs[pool],
        };
        let allocations: IndexMap<PoolId, Allocation> =
            (0..POOLS).map(|pool| (name(pool), allocation(pool))).collect();
        for Move { from, to, count } in planner.moves(now, &allocations, self.spare) {
            let index = |id: &PoolId| (0..POOLS).find(|pool| name(*pool) == *id).unwrap_or(0);
            match from {
                Some(from) => self.vms[index(&from)] -= count,
                None => self.spare -= count,
            }
            self.start_moves(second, index(&to), count);
        }
    }

    /// Adds VMs to the spare pool, or returns idle ones of the spare pool and then of the pools.
    fn resize(&mut self, total: u32, needs: &[u32; POOLS], planner: &Planner) {
        let held = self.held();
        if total > held {
            self.spare += total - held;
            self.moves += total - held;
            return;
        }
        let mut excess = held - total;
        let count = excess.min(self.spare);
        self.spare -= count;
        excess -= count;
        self.moves += count;
        for (pool, need) in needs.iter().enumerate() {
            let base = planner.plan().base[&name(pool)];
            let count = excess.min(self.vms[pool].saturating_sub(base.max(*need)));
            self.vms[pool] -= count;
            excess -= count;
            self.moves += count;
        }
    }
}
