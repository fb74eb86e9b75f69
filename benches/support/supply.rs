//! Fleets that serve a demand under a policy, and what that costs.

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

/// Seconds from the decision to move a VM until it takes work: drain, confirmation, record.
pub const MOVE_SECS: usize = 3;
/// Seconds after which a waiting request is of no use.
const DEADLINE_SECS: usize = 5;
/// Seconds in which a backlog should be worked off.
const BACKLOG_SECS: f64 = 3.0;
/// Seconds to drain and reboot a VM.
pub const REBOOT_SECS: usize = 120;

/// What a policy costs.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Mean VMs held.
    pub held: f64,
    /// Mean VMs held and not used.
    pub buffer: f64,
    /// Moves an hour.
    pub moves: f64,
    /// Part of the demand not served within the deadline, in parts per million.
    pub shortfall_ppm: f64,
    /// Part of the demand that waited, in hundredths.
    pub waited_percent: f64,
    /// Time to reboot all VMs that are held, in minutes.
    pub roll_out_minutes: f64,
}

/// How VMs are held and moved.
pub enum Policy {
    /// Each pool holds this and nothing moves.
    Fixed([u32; POOLS]),
    /// Pools of this size and a spare pool; VMs are borrowed at once where first found, and given
    /// back at once.
    FirstFit([u32; POOLS], u32),
    /// As the planner says.
    Planned(Box<Planner>),
}

/// Requests of one service that wait.
#[derive(Default)]
pub struct Queue {
    waiting: VecDeque<(usize, f64)>,
}

impl Queue {
    /// Serves up to `capacity`; returns what came too late and what waited.
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

struct Fleet<'a> {
    demand: &'a Demand,
    begin: Instant,
    vms: [u32; POOLS],
    spare: u32,
    arriving: Vec<(usize, usize, u32)>,
    moves: u32,
}

/// Runs a policy over the demand and measures from a second on.
pub fn run(demand: &Demand, policy: &mut Policy, from: usize) -> Cost {
    let (vms, spare) = match policy {
        Policy::Fixed(vms) => (*vms, 0),
        Policy::FirstFit(vms, spare) => (*vms, *spare),
        Policy::Planned(_) => (TODAY, TODAY_SPARE),
    };
    let arriving = Vec::new();
    let mut fleet = Fleet { demand, begin: Instant::now(), vms, spare, arriving, moves: 0 };
    let mut queues: [Queue; POOLS] = std::array::from_fn(|_| Queue::default());
    let (mut held, mut late, mut waited, mut asked, mut free) = (0.0, 0.0, 0.0, 0.0, Vec::new());
    for second in 0..demand.slots.len() {
        if second == from {
            fleet.moves = 0;
        }
        fleet.arrive(second);
        let mut needs = demand.needs(second);
        for (pool, queue) in queues.iter_mut().enumerate() {
            let slots = demand.slots[second][pool];
            let (l, w) = queue.serve(second, slots, f64::from(fleet.vms[pool]) * SLOTS);
            if second >= from {
                (late, waited, asked) = (late + l, waited + w, asked + slots);
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
        buffer: held - demand.used(from),
        moves: f64::from(fleet.moves) * HOUR as f64 / seconds,
        shortfall_ppm: late / asked * 1e6,
        waited_percent: waited / asked * 100.0,
        roll_out_minutes: roll_out(held, &free),
    }
}

/// Time to reboot every VM, taking only as many at once as stay free throughout the reboot.
fn roll_out(held: f64, free: &[u32]) -> f64 {
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

    fn arrive(&mut self, second: usize) {
        for (_, pool, count) in self.arriving.extract_if(.., |(at, _, _)| *at <= second) {
            self.vms[pool] += count;
        }
    }

    fn send(&mut self, second: usize, to: usize, count: u32) {
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
            Policy::Planned(planner) => self.planned(second, planner, needs),
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
            let lack = need.saturating_sub(self.vms[pool] + self.arriving_at(pool));
            let count = lack.min(self.spare);
            self.spare -= count;
            if count > 0 {
                self.send(second, pool, count);
            }
        }
    }

    fn planned(&mut self, second: usize, planner: &mut Planner, needs: &[u32; POOLS]) {
        let now = self.begin + Duration::from_secs(second as u64);
        let raw = self.demand.needs(second);
        planner.observe(&raw.iter().enumerate().map(|(p, need)| (name(p), *need)).collect());
        if second % HOUR == HOUR - 1 && planner.replan(now) {
            self.resize(planner.plan().total(), needs, planner);
        }
        let standing = |pool: usize| Allocation {
            vms: self.vms[pool],
            arriving: self.arriving_at(pool),
            need: needs[pool],
        };
        let standings: IndexMap<PoolId, Allocation> =
            (0..POOLS).map(|pool| (name(pool), standing(pool))).collect();
        for Move { from, to, count } in planner.moves(now, &standings, self.spare) {
            let index = |id: &PoolId| (0..POOLS).find(|pool| name(*pool) == *id).unwrap_or(0);
            match from {
                Some(from) => self.vms[index(&from)] -= count,
                None => self.spare -= count,
            }
            self.send(second, index(&to), count);
        }
    }

    /// Fetches VMs into the spare, or gives back idle ones.
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
