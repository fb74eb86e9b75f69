//! Bounds on capacity and moves, from schedules that know the demand in advance.

use super::{
    demand::{Demand, HOUR, POOLS, SLOTS},
    supply::Queue,
};

/// Mean over the hours of the minimum number of VMs that serve an hour's demand within the deadline
/// if every VM can serve every queue. No policy that serves all requests in time and keeps its
/// number of VMs for an hour needs fewer.
pub fn min_mean_vms(demand: &Demand, from: usize) -> f64 {
    let hours: Vec<f64> = demand.slots[from..]
        .chunks(HOUR)
        .map(|rows| {
            let arriving: Vec<f64> = rows.iter().map(|row| row.iter().sum()).collect();
            let is_enough = |vms: &u32| is_served_in_time(&arriving, f64::from(*vms) * SLOTS);
            f64::from((1..u32::MAX).find(is_enough).unwrap_or(u32::MAX))
        })
        .collect();
    hours.iter().sum::<f64>() / hours.len() as f64
}

/// Mean number of VMs, and moves per hour, if each pool holds its peak need of the hour and changes
/// its size only from hour to hour.
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
    let moves_between = |pair: &[[u32; POOLS]]| -> u32 {
        let rises: u32 = (0..POOLS).map(|p| pair[1][p].saturating_sub(pair[0][p])).sum();
        let falls: u32 = (0..POOLS).map(|p| pair[0][p].saturating_sub(pair[1][p])).sum();
        rises.max(falls)
    };
    let moves: u32 = hours.windows(2).map(moves_between).sum();
    (f64::from(held) / hours.len() as f64, f64::from(moves) / hours.len() as f64)
}

fn is_served_in_time(arriving: &[f64], capacity: f64) -> bool {
    let mut queue = Queue::default();
    arriving
        .iter()
        .enumerate()
        .all(|(second, slots)| queue.serve(second, *slots, capacity).0 == 0.0)
}

/// Moves per hour of a schedule that knows the demand, holds `total` VMs and moves them without
/// delay: a pool that lacks a VM gets the one that its current pool needs again the latest. `None`
/// if `total` does not cover the demand.
pub fn clairvoyant(demand: &Demand, total: u32, from: usize) -> Option<f64> {
    let needs: Vec<[u32; POOLS]> =
        (from..demand.slots.len()).map(|second| demand.needs(second)).collect();
    let next = next_uses(&needs);
    let mut vms = [0; POOLS];
    let (mut free, mut moves) = (total, 0);
    for (second, needed) in needs.iter().enumerate() {
        if needed.iter().sum::<u32>() > total {
            return None;
        }
        for (pool, need) in needed.iter().enumerate() {
            while vms[pool] < *need {
                if free > 0 {
                    free -= 1;
                } else {
                    let donor = (0..POOLS)
                        .filter(|p| vms[*p] > needed[*p])
                        .max_by_key(|p| next[*p][vms[*p] as usize][second])?;
                    vms[donor] -= 1;
                    moves += 1;
                }
                vms[pool] += 1;
            }
        }
    }
    Some(f64::from(moves) * HOUR as f64 / needs.len() as f64)
}

/// For each pool, number of VMs and second, the next second (this one included) in which the pool
/// needs that many VMs.
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

/// Peak number of VMs that all services need at the same time, and the peak of each service.
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
