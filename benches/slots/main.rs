//! Compares who may spend the slots of an availability zone's runners.
//!
//! `cargo bench --bench slots` prints one table for each fault. Bursts ask five times the mean, the
//! time between them a twentieth; one entry gets half of the callers, another one in each burst.
//! Goodput is the run time of exchanges that were answered in time in bursts, against that of all
//! slots if each were sent its next exchange when the answer to its last arrives.

mod entry;
mod event;
mod policy;
mod stats;
mod world;

use {event::Fault, policy::Policy, world::World};

const FAULTS: [Fault; 5] =
    [Fault::None, Fault::Disagreement, Fault::Pause, Fault::PauseFenced, Fault::Kill];
const POLICIES: [Policy; 4] = [Policy::Shares, Policy::Tokens, Policy::Owner, Policy::LeastOfTwo];
const DELAYS_US: [u64; 2] = [250, 1_500];

fn main() {
    for entries in [3, 9] {
        for delay_us in DELAYS_US {
            for fault in FAULTS {
                println!(
                    "\n{entries} entries, 10 runners of 8 slots, {delay_us} us one way, {fault:?}"
                );
                println!(
                    "| policy | goodput | p50 ms | p99 ms | refused | given up | unanswered | runner refusals | messages | idle | at once | p50 ms between bursts |"
                );
                println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
                for policy in POLICIES {
                    let mut world = World::new(entries, delay_us, policy, fault);
                    world.run();
                    println!("| {policy:?} | {} |", world.report());
                }
            }
        }
    }
}
