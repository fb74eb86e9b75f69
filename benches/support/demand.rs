//! Seeded random demand of five services, one in each pool.

use {
    carobhitch::id::PoolId,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::f64::consts::TAU,
};

/// Number of pools.
pub const POOLS: usize = 5;
/// VMs of each pool in the static division of the fleet that policies are compared with.
pub const TODAY: [u32; POOLS] = [8, 9, 10, 11, 12];
/// VMs of the spare pool in that division.
pub const TODAY_SPARE: u32 = 8;
/// Slots of a VM.
pub const SLOTS: f64 = 8.0;
/// Seconds of an hour.
pub const HOUR: usize = 3_600;

/// Number of slots that each service needs in each second.
pub struct Demand {
    /// Slots by second and pool.
    pub slots: Vec<[f64; POOLS]>,
}

impl Demand {
    /// Draws a demand in which each service needs about five times its mean during bursts of 6 to
    /// 30 s, and a twentieth of it in between, modulated by a daily cycle. The bursts of the
    /// services are staggered with a small overlap, or independent of each other.
    pub fn draw(seed: u64, hours: usize, staggered: bool) -> Self {
        let mut slots = vec![[0.0; POOLS]; hours * HOUR];
        let mut rng = SmallRng::seed_from_u64(seed);
        let bursts = match staggered {
            true => staggered_bursts(&mut rng, slots.len()),
            false => independent_bursts(&mut rng, slots.len()),
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

    /// Number of VMs that each service needs in a second.
    pub fn needs(&self, second: usize) -> [u32; POOLS] {
        self.slots[second].map(|slots| (slots / SLOTS).ceil() as u32)
    }

    /// Mean number of VMs in use from a second on.
    pub fn mean_used(&self, from: usize) -> f64 {
        let rows = &self.slots[from..];
        rows.iter().map(|row| row.iter().sum::<f64>() / SLOTS).sum::<f64>() / rows.len() as f64
    }
}

/// Seconds in which each service has a burst. The bursts of a round follow one another in random
/// order; each begins up to 5 s before or after the end of the previous one.
fn staggered_bursts(rng: &mut SmallRng, seconds: usize) -> Vec<[bool; POOLS]> {
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

/// Seconds in which each service has a burst, drawn for each service by itself.
fn independent_bursts(rng: &mut SmallRng, seconds: usize) -> Vec<[bool; POOLS]> {
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

/// Id of a pool.
pub fn name(pool: usize) -> PoolId {
    format!("pool-{pool}")
}
