//! A deterministic demand of five services, a fleet that serves it, and a clairvoyant schedule.

#![allow(dead_code, reason = "tests and benches use different parts")]

use {
    carobhitch::{
        buffer::{Move, Planner, Standing},
        id::PoolId,
    },
    indexmap::IndexMap,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::{
        collections::VecDeque,
        f64::consts::TAU,
        time::{Duration, Instant},
    },
};

pub const POOLS: usize = 5;
/// VMs of the pools today, and of the pool that is their spare.
pub const TODAY: [u32; POOLS] = [8, 9, 10, 11, 12];
pub const TODAY_SPARE: u32 = 8;
const SLOTS: f64 = 8.0;
const HOUR: usize = 3_600;
/// Seconds from the decision to move a VM until it takes work: drain, confirmation, record.
pub const MOVE_SECS: usize = 3;
/// Seconds after which a waiting request is of no use.
const DEADLINE_SECS: usize = 5;
/// Seconds in which a backlog should be worked off.
const BACKLOG_SECS: f64 = 3.0;
/// Seconds to drain and reboot a VM.
pub const REBOOT_SECS: usize = 120;

/// Slots asked for by each service in each second.
pub struct Demand {
    pub slots: Vec<[f64; POOLS]>,
}

impl Demand {
    /// Each queue in its moment, 6 to 30 s long, asks about five times its mean and a twentieth in
    /// between, over a slow daily wave. The moments come in turns that overlap a little, or at any
    /// time.
    pub fn draw(seed: u64, hours: usize, turns: bool) -> Self {
        let mut slots = vec![[0.0; POOLS]; hours * HOUR];
        let mut rng = SmallRng::seed_from_u64(seed);
        let bursts = match turns {
            true => in_turns(&mut rng, slots.len()),
            false => at_any_time(&mut rng, slots.len()),
        };
        for (pool, vms) in TODAY.iter().enumerate() {
            // Five times the mean is a third more than the pool holds.
            let mean = f64::from(*vms) * SLOTS * 4.0 / 3.0 / 5.0;
            for (second, row) in slots.iter_mut().enumerate() {
                let day = (second as f64 / (24 * HOUR) as f64 + pool as f64 / 10.0) * TAU;
                let factor = if bursts[second][pool] { 5.0 } else { 0.05 };
                let level = mean * (1.0 + 0.3 * day.sin()) * factor;
                row[pool] = level * rng.random_range(0.9..1.1);
            }
        }
        Self { slots }
    }

    /// VMs that each service needs in a second.
    pub fn needs(&self, second: usize) -> [u32; POOLS] {
        self.slots[second].map(|slots| (slots / SLOTS).ceil() as u32)
    }

    /// Mean VMs that are used from a second on.
    pub fn used(&self, from: usize) -> f64 {
        let rows = &self.slots[from..];
        rows.iter().map(|row| row.iter().sum::<f64>() / SLOTS).sum::<f64>() / rows.len() as f64
    }
}

/// One queue after the other, in a new order each round; the next may begin 5 s early.
fn in_turns(rng: &mut SmallRng, seconds: usize) -> Vec<[bool; POOLS]> {
    let mut bursts = vec![[false; POOLS]; seconds];
    let mut order: [usize; POOLS] = std::array::from_fn(|pool| pool);
    let mut begin = 0;
    while begin < seconds {
        order.shuffle(rng);
        for pool in order {
            let end = begin + rng.random_range(6..31);
            bursts.iter_mut().take(end).skip(begin).for_each(|row| row[pool] = true);
            begin = (end + 5).saturating_sub(rng.random_range(0..11));
        }
    }
    bursts
}

/// Each queue without regard to the others.
fn at_any_time(rng: &mut SmallRng, seconds: usize) -> Vec<[bool; POOLS]> {
    let mut bursts = vec![[false; POOLS]; seconds];
    for pool in 0..POOLS {
        let (mut bursting, mut until) = (false, rng.random_range(0..90));
        for (second, row) in bursts.iter_mut().enumerate() {
            if second >= until {
                bursting = !bursting;
                until = second + rng.random_range(if bursting { 6..31 } else { 26..127 });
            }
            row[pool] = bursting;
        }
    }
    bursts
}

/// Mean of the fewest VMs that could serve each hour's demand within the deadline if every VM could
/// serve every queue. No policy that serves all in time and holds its VMs for the hour has fewer.
pub fn fewest(demand: &Demand, from: usize) -> f64 {
    let hours: Vec<f64> = demand.slots[from..]
        .chunks(HOUR)
        .map(|rows| {
            let arriving: Vec<f64> = rows.iter().map(|row| row.iter().sum()).collect();
            let enough = |vms: &u32| in_time(&arriving, f64::from(*vms) * SLOTS);
            f64::from((1..u32::MAX).find(enough).unwrap_or(u32::MAX))
        })
        .collect();
    hours.iter().sum::<f64>() / hours.len() as f64
}

/// Mean VMs and moves an hour if each pool holds what it will need at most within the hour, and
/// pools change only from hour to hour.
pub fn hourly_peaks(demand: &Demand, from: usize) -> (f64, f64) {
    let hours: Vec<[u32; POOLS]> = (from..demand.slots.len())
        .step_by(HOUR)
        .map(|begin| {
            let mut most = [0; POOLS];
            for second in begin..(begin + HOUR).min(demand.slots.len()) {
                most.iter_mut().zip(demand.needs(second)).for_each(|(m, need)| *m = need.max(*m));
            }
            most
        })
        .collect();
    let held: u32 = hours.iter().flatten().sum();
    let gained = |pair: &[[u32; POOLS]]| -> u32 {
        let rises: u32 = (0..POOLS).map(|p| pair[1][p].saturating_sub(pair[0][p])).sum();
        let falls: u32 = (0..POOLS).map(|p| pair[0][p].saturating_sub(pair[1][p])).sum();
        rises.max(falls)
    };
    let moves: u32 = hours.windows(2).map(gained).sum();
    (f64::from(held) / hours.len() as f64, f64::from(moves) / hours.len() as f64)
}

fn in_time(arriving: &[f64], capacity: f64) -> bool {
    let mut queue = Queue { waiting: VecDeque::new() };
    arriving
        .iter()
        .enumerate()
        .all(|(second, slots)| queue.serve(second, *slots, capacity).0 == 0.0)
}

pub fn name(pool: usize) -> PoolId {
    format!("pool-{pool}")
}

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

struct Queue {
    waiting: VecDeque<(usize, f64)>,
}

impl Queue {
    /// Serves up to `capacity`; returns what came too late and what waited.
    fn serve(&mut self, second: usize, arriving: f64, mut capacity: f64) -> (f64, f64) {
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
    let mut queues: [Queue; POOLS] = std::array::from_fn(|_| Queue { waiting: VecDeque::new() });
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
        for pool in 0..POOLS {
            let lack = needs[pool].saturating_sub(self.vms[pool] + self.arriving_at(pool));
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
        let standing = |pool: usize| Standing {
            vms: self.vms[pool],
            arriving: self.arriving_at(pool),
            need: needs[pool],
        };
        let standings: IndexMap<PoolId, Standing> =
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
        for pool in 0..POOLS {
            let base = planner.plan().base[&name(pool)];
            let count = excess.min(self.vms[pool].saturating_sub(base.max(needs[pool])));
            self.vms[pool] -= count;
            excess -= count;
            self.moves += count;
        }
    }
}

/// Moves an hour of a schedule that knows the demand, holds `total` VMs and moves them without
/// delay: a pool that lacks a VM gets the one that its pool needs again last. None if `total` does
/// not cover the demand.
pub fn clairvoyant(demand: &Demand, total: u32, from: usize) -> Option<f64> {
    let needs: Vec<[u32; POOLS]> =
        (from..demand.slots.len()).map(|second| demand.needs(second)).collect();
    let next = next_uses(&needs);
    let mut vms = [0; POOLS];
    let (mut free, mut moves) = (total, 0);
    for (second, need) in needs.iter().enumerate() {
        if need.iter().sum::<u32>() > total {
            return None;
        }
        for pool in 0..POOLS {
            while vms[pool] < need[pool] {
                if free > 0 {
                    free -= 1;
                } else {
                    let giver = (0..POOLS)
                        .filter(|p| vms[*p] > need[*p])
                        .max_by_key(|p| next[*p][vms[*p] as usize][second])?;
                    vms[giver] -= 1;
                    moves += 1;
                }
                vms[pool] += 1;
            }
        }
    }
    Some(f64::from(moves) * HOUR as f64 / needs.len() as f64)
}

/// For each pool and level, the next second from each second on in which the level is needed.
fn next_uses(needs: &[[u32; POOLS]]) -> Vec<Vec<Vec<u32>>> {
    let levels = needs.iter().flatten().max().copied().unwrap_or(0) as usize + 1;
    (0..POOLS)
        .map(|pool| {
            (0..levels)
                .map(|level| {
                    let mut next = vec![u32::MAX; needs.len()];
                    let mut seen = u32::MAX;
                    for second in (0..needs.len()).rev() {
                        if needs[second][pool] as usize >= level {
                            seen = second as u32;
                        }
                        next[second] = seen;
                    }
                    next
                })
                .collect()
        })
        .collect()
}

/// Most VMs that all services need at once, and the sum of what each needs at most.
pub fn peaks(demand: &Demand, from: usize) -> (u32, [u32; POOLS]) {
    let mut each = [0; POOLS];
    let mut all = 0;
    for second in from..demand.slots.len() {
        let needs = demand.needs(second);
        all = all.max(needs.iter().sum());
        each.iter_mut().zip(needs).for_each(|(most, need)| *most = need.max(*most));
    }
    (all, each)
}
