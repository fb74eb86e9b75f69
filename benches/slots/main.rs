//! Compares policies for the distribution of endpoints' slots among the entries of an availability
//! zone.
//!
//! `cargo bench --bench slots` prints a table for each number of entries, link delay and fault. The
//! rate of requests is five times the mean in bursts and a twentieth of it between them. One entry
//! gets half of the requests, a different one in each burst. Goodput is the run time, within
//! bursts, of the exchanges answered before their deadlines, relative to that of all slots if each
//! slot got its next exchange as soon as the answer to the previous one arrives.

mod entry;
mod event;
mod policy;
mod simulation;
mod stats;

use {event::Fault, policy::Policy, simulation::Simulation};

const FAULTS: [Fault; 5] =
    [Fault::None, Fault::Disagreement, Fault::Pause, Fault::PauseFenced, Fault::Kill];
const POLICIES: [Policy; 4] = [Policy::Shares, Policy::Tokens, Policy::Owner, Policy::LeastOfTwo];
/// One-way delays of the links.
const DELAYS_US: [u64; 2] = [250, 1_500];

fn main() {
    for entries in [3, 9] {
        for delay_us in DELAYS_US {
            for fault in FAULTS {
                println!(
                    "\n{entries} entries, 10 endpoints of 8 slots, {delay_us} us one way, {fault:?}"
                );
                println!(
                    "| policy | goodput | p50 ms | p99 ms | refused | given up | unanswered | endpoint refusals | messages | idle | at once | p50 ms between bursts |"
                );
                println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
                for policy in POLICIES {
                    let mut simulation = Simulation::new(entries, delay_us, policy, fault);
                    simulation.run();
                    println!("| {policy:?} | {} |", simulation.report());
                }
            }
        }
    }
}
