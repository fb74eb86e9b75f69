//! Size of the shared buffer of spare VMs, and moves of VMs between pools.

use {
    carobhitch::{
        buffer::{Allocation, MIN_SAMPLES, Move, Planner, Weighting},
        id::PoolId,
    },
    indexmap::IndexMap,
    model::{
        bound::peaks,
        demand::{Demand, TODAY, TODAY_SPARE, name},
        supply::{Cost, Policy, run},
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

#[path = "../benches/support/mod.rs"]
mod model;
mod support;

const HOURS: usize = 6;
const LEARNING: usize = 2 * 3_600;

fn cost(demand: &Demand, weighting: Weighting) -> Cost {
    let planner = Planner::new(weighting.move_cost());
    run(demand, &mut Policy::Planned(Box::new(planner)), LEARNING)
}

#[test]
fn one_setting_trades_moves_for_buffer() {
    let demand = Demand::draw(1, HOURS, true);
    let [moves, balanced, buffer] =
        [Weighting::Moves, Weighting::Balanced, Weighting::Buffer].map(|w| cost(&demand, w));
    println!("{moves:?}\n{balanced:?}\n{buffer:?}");
    assert!(moves.buffer > balanced.buffer && balanced.buffer > buffer.buffer * 1.5);
    assert!(moves.moves * 10.0 < balanced.moves && balanced.moves * 4.0 < buffer.moves);
}

#[test]
fn a_shared_reserve_is_far_below_the_sum_of_peaks_and_serves_in_time() {
    let demand = Demand::draw(2, HOURS, true);
    let sum: u32 = peaks(&demand, LEARNING).1.iter().sum();
    let shared = cost(&demand, Weighting::Buffer);
    assert!(shared.held < f64::from(sum) * 0.55, "{shared:?} {sum}");
    assert!(shared.shortfall_ppm < 200.0, "{shared:?}");
}

#[test]
fn planned_pools_cost_less_than_pools_of_fixed_size_and_first_fit() {
    let demand = Demand::draw(3, HOURS, false);
    let fixed = run(&demand, &mut Policy::Fixed(TODAY), LEARNING);
    let first_fit = run(&demand, &mut Policy::FirstFit(TODAY, TODAY_SPARE), LEARNING);
    let [moves, buffer] = [Weighting::Moves, Weighting::Buffer].map(|w| cost(&demand, w));
    println!("{fixed:?}\n{first_fit:?}\n{moves:?}\n{buffer:?}");
    assert!(fixed.shortfall_ppm > 50_000.0);
    assert!(buffer.shortfall_ppm * 20.0 < first_fit.shortfall_ppm);
    assert!(moves.moves * 100.0 < first_fit.moves && moves.shortfall_ppm == 0.0);
}

fn allocation(vms: u32, need: u32) -> Allocation {
    Allocation { vms, arriving: 0, need }
}

fn allocations(list: &[(u32, u32)]) -> IndexMap<PoolId, Allocation> {
    list.iter().enumerate().map(|(p, (vms, need))| (name(p), allocation(*vms, *need))).collect()
}

/// Planner with a plan in which each pool keeps half of its peak of 10 VMs and shares the rest.
fn planner() -> Planner {
    let mut planner = Planner::new(Duration::from_secs(1));
    for second in 0..MIN_SAMPLES {
        let needs = (0..3).map(|p| (name(p), if second / 30 % 3 == p { 10 } else { 2 }));
        planner.observe(&needs.collect());
    }
    planner.replan(Instant::now());
    planner
}

#[test]
fn a_shortfall_of_one_vm_in_one_sample_moves_nothing() {
    let (mut planner, now) = (planner(), Instant::now());
    assert_eq!(planner.moves(now, &allocations(&[(10, 11), (10, 2), (10, 2)]), 0), []);
    assert_eq!(planner.moves(now, &allocations(&[(10, 10), (10, 2), (10, 2)]), 0), []);
    assert_eq!(planner.moves(now, &allocations(&[(10, 11), (10, 2), (10, 2)]), 0), []);
    let again = planner.moves(now, &allocations(&[(10, 11), (10, 2), (10, 2)]), 0);
    assert_eq!(again.iter().map(|m| m.count).sum::<u32>(), 1);
}

#[test]
fn the_pool_whose_burst_ended_last_gives_first() {
    let (mut planner, begin) = (planner(), Instant::now());
    let at = |secs| begin + Duration::from_secs(secs);
    planner.moves(at(0), &allocations(&[(10, 2), (10, 10), (10, 10)]), 0);
    planner.moves(at(1), &allocations(&[(10, 2), (10, 10), (10, 2)]), 0);
    planner.moves(at(2), &allocations(&[(10, 2), (10, 2), (10, 2)]), 0);
    let moves = planner.moves(at(3), &allocations(&[(10, 12), (10, 2), (10, 2)]), 0);
    assert_eq!(moves, [Move { from: Some(name(1)), to: name(0), count: 2 }]);
}

proptest! {
    #![proptest_config(support::seeded(128))]

    #[test]
    fn no_pool_gives_up_vms_that_it_needs_or_keeps(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut planner, now) = (planner(), Instant::now());
        for _ in 0..20 {
            let list: Vec<(u32, u32)> =
                (0..3).map(|_| (rng.random_range(0..20), rng.random_range(0..20))).collect();
            let spare = rng.random_range(0..6);
            let moves = planner.moves(now, &allocations(&list), spare);
            for (pool, (vms, need)) in list.iter().enumerate() {
                let base = planner.plan().base[&name(pool)];
                let given: u32 =
                    moves.iter().filter(|m| m.from == Some(name(pool))).map(|m| m.count).sum();
                let got: u32 = moves.iter().filter(|m| m.to == name(pool)).map(|m| m.count).sum();
                prop_assert!(given == 0 || vms - given >= base.max(*need));
                prop_assert!(got <= need.saturating_sub(*vms));
            }
            let reserve: u32 = moves.iter().filter(|m| m.from.is_none()).map(|m| m.count).sum();
            prop_assert!(reserve <= spare);
        }
    }

    #[test]
    fn a_plan_covers_the_measured_demand(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut planner = Planner::new(Duration::from_secs(rng.random_range(1..600)));
        let rows: Vec<Vec<u32>> =
            (0..MIN_SAMPLES).map(|_| (0..4).map(|_| rng.random_range(0..20)).collect()).collect();
        for row in &rows {
            planner.observe(&row.iter().enumerate().map(|(p, need)| (name(p), *need)).collect());
        }
        prop_assert!(planner.replan(Instant::now()));
        let plan = planner.plan();
        let lacks = |row: &&Vec<u32>| {
            let excess: u32 = row
                .iter()
                .enumerate()
                .map(|(p, need)| need.saturating_sub(plan.base[&name(p)]))
                .sum();
            excess > plan.spare
        };
        prop_assert!(rows.iter().filter(lacks).count() * 1_000 <= rows.len());
    }
}
