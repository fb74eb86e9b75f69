//! A deterministic demand of five services.

use {
    carobhitch::id::PoolId,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::f64::consts::TAU,
};

pub const POOLS: usize = 5;
/// VMs of the pools today, and of the pool that is their spare.
pub const TODAY: [u32; POOLS] = [8, 9, 10, 11, 12];
pub const TODAY_SPARE: u32 = 8;
pub const SLOTS: f64 = 8.0;
pub const HOUR: usize = 3_600;

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

pub fn name(pool: usize) -> PoolId {
    format!("pool-{pool}")
}
