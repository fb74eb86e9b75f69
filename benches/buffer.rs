//! Buffer, moves, roll-out time and shortfall of capacity policies on one demand, against schedules
//! that know it.
//!
//! `cargo bench --bench buffer` prints the tables. All figures are counted, not timed.

use {
    carobhitch::buffer::{Planner, Weighting},
    model::{
        bound::{clairvoyant, fewest, hourly_peaks, peaks},
        demand::{Demand, TODAY, TODAY_SPARE},
        supply::{Cost, Policy, run},
    },
    std::time::Duration,
};

#[path = "support/mod.rs"]
mod model;

const HOURS: usize = 26;
/// Seconds that are not measured, while the planner learns.
const LEARNING: usize = 2 * 3_600;
const SEEDS: u64 = 3;

fn main() {
    for (name, turns) in [("in turns", true), ("at any time", false)] {
        println!("\nMoments {name}\n");
        let demands: Vec<Demand> =
            (1..=SEEDS).map(|seed| Demand::draw(seed, HOURS, turns)).collect();
        policies(&demands);
        bounds(&demands);
    }
}

fn policies(demands: &[Demand]) {
    println!("| policy | VMs held | buffer | moves/h | shortfall ppm | waited | roll-out |");
    println!("|---|---|---|---|---|---|---|");
    let planned = |price| move |_: &Demand| Policy::Planned(Box::new(Planner::new(price)));
    let most = |demand: &Demand| peaks(demand, 0).1;
    report("sum of peaks, no moves", demands, |d| Policy::Fixed(most(d)));
    let headroom = |d: &Demand| Policy::Fixed(most(d).map(|vms| (vms * 12).div_ceil(10)));
    report("peaks and a fifth, no moves", demands, headroom);
    report("today's pools, no moves", demands, |_| Policy::Fixed(TODAY));
    report("today's pools, first fit", demands, |_| Policy::FirstFit(TODAY, TODAY_SPARE));
    for weighting in [Weighting::Moves, Weighting::Balanced, Weighting::Buffer] {
        report(&format!("{weighting:?}"), demands, planned(weighting.move_cost()));
    }
    for secs in [1, 10, 20, 30, 60, 120, 300, 900, 3_600] {
        report(&format!("price {secs} s"), demands, planned(Duration::from_secs(secs)));
    }
}

/// What could be had by who knows the demand: the fewest VMs, and moves at several numbers of VMs.
fn bounds(demands: &[Demand]) {
    println!();
    println!("| knowing the demand | VMs held | buffer | moves/h |");
    println!("|---|---|---|---|");
    for (seed, demand) in (1..).zip(demands) {
        let (all, each) = peaks(demand, LEARNING);
        let (sum, used): (u32, f64) = (each.iter().sum(), demand.used(LEARNING));
        let fewest = fewest(demand, LEARNING);
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

/// Prints the means over the demands.
fn report(name: &str, demands: &[Demand], policy: impl Fn(&Demand) -> Policy) {
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
