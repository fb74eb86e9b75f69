//! Compares capacity policies on the same demand by buffer, moves, shortfall and roll-out time, and
//! with the bounds of schedules that know the demand in advance.
//!
//! `cargo bench --bench buffer` prints the tables. All figures come from a simulation and do not
//! depend on the speed of the machine.

use {
    carobhitch::buffer::{Planner, Weighting},
    model::{
        bound::{clairvoyant, hourly_peaks, min_mean_vms, peaks},
        demand::{Demand, TODAY, TODAY_SPARE},
        supply::{Cost, Policy, run},
    },
    std::time::Duration,
};

#[path = "support/mod.rs"]
mod model;

/// Simulated hours.
const HOURS: usize = 26;
/// Seconds at the beginning that are not measured, as the planner is still collecting samples.
const LEARNING: usize = 2 * 3_600;
/// Number of demands, each with a seed of its own.
const SEEDS: u64 = 3;

fn main() {
    for (name, staggered) in [("in turns", true), ("at any time", false)] {
        println!("\nBursts {name}\n");
        let demands: Vec<Demand> =
            (1..=SEEDS).map(|seed| Demand::draw(seed, HOURS, staggered)).collect();
        print_policies(&demands);
        print_bounds(&demands);
    }
}

/// Prints the cost of each policy.
fn print_policies(demands: &[Demand]) {
    println!("| policy | VMs held | buffer | moves/h | shortfall ppm | waited | roll-out |");
    println!("|---|---|---|---|---|---|---|");
    let planned = |move_cost| move |_: &Demand| Policy::Planned(Box::new(Planner::new(move_cost)));
    let most = |demand: &Demand| peaks(demand, 0).1;
    print_mean_cost("sum of peaks, no moves", demands, |d| Policy::Fixed(most(d)));
    let headroom = |d: &Demand| Policy::Fixed(most(d).map(|vms| (vms * 12).div_ceil(10)));
    print_mean_cost("peaks and a fifth, no moves", demands, headroom);
    print_mean_cost("today's pools, no moves", demands, |_| Policy::Fixed(TODAY));
    print_mean_cost("today's pools, first fit", demands, |_| Policy::FirstFit(TODAY, TODAY_SPARE));
    for weighting in [Weighting::Moves, Weighting::Balanced, Weighting::Buffer] {
        print_mean_cost(&format!("{weighting:?}"), demands, planned(weighting.move_cost()));
    }
    for secs in [1, 10, 20, 30, 60, 120, 300, 900, 3_600] {
        print_mean_cost(
            &format!("move cost {secs} s"),
            demands,
            planned(Duration::from_secs(secs)),
        );
    }
}

/// Prints what is achievable if the demand is known in advance: the minimum number of VMs, and the
/// moves for several numbers of VMs.
fn print_bounds(demands: &[Demand]) {
    println!();
    println!("| knowing the demand | VMs held | buffer | moves/h |");
    println!("|---|---|---|---|");
    for (seed, demand) in (1..).zip(demands) {
        let (all, each) = peaks(demand, LEARNING);
        let (sum, used): (u32, f64) = (each.iter().sum(), demand.mean_used(LEARNING));
        let fewest = min_mean_vms(demand, LEARNING);
        println!("| seed {seed}, waits allowed | {fewest:.1} | {:.1} | |", fewest - used);
        let (held, moves) = hourly_peaks(demand, LEARNING);
        println!("| seed {seed}, hourly peaks | {held:.1} | {:.1} | {moves:.1} |", held - used);
        for step in 0..=4 {
            let total = all + (sum - all) * step / 4;
            let moves = clairvoyant(demand, total, LEARNING).unwrap_or(f64::NAN);
            println!("| seed {seed} | {total} | {:.1} | {moves:.0} |", f64::from(total) - used);
        }
    }
}

/// Prints the mean cost of a policy over the demands.
fn print_mean_cost(name: &str, demands: &[Demand], policy: impl Fn(&Demand) -> Policy) {
    let costs: Vec<Cost> =
        demands.iter().map(|demand| run(demand, &mut policy(demand), LEARNING)).collect();
    let mean = |of: fn(&Cost) -> f64| costs.iter().map(of).sum::<f64>() / costs.len() as f64;
    println!(
        "| {name} | {:.1} | {:.1} | {:.1} | {:.0} | {:.1} % | {:.0} min |",
        mean(|c| c.held),
        mean(|c| c.buffer),
        mean(|c| c.moves),
        mean(|c| c.shortfall_ppm),
        mean(|c| c.waited_percent),
        mean(|c| c.roll_out_minutes),
    );
}
