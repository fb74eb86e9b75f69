//! Idle runners restart under their names just before they get tasks, while owners are killed: no task runs
//! twice, or again after it was done.
//!
//! `CAROBHITCH_RESTART_SEEDS=100..150` runs these seeds instead of the one that CI runs.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod site;

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    site::{Site, wait},
    std::{env, ops::Range, thread::sleep, time::Duration},
};

const ENTRIES: usize = 3;
const RUNNERS: usize = 8;
/// Number of jobs of a play.
const ROUNDS: u64 = 16;
/// Number of runners that restart before a job, and time for which they are down.
const MAX_RESTARTS: usize = 3;
const DOWN_MS: Range<u64> = 10..150;
/// Time from their return until the job is submitted.
const PAUSE_MS: Range<u64> = 0..300;
/// Share of the rounds in which the owner is killed, and when after the job was accepted.
const KILL_SHARE: f64 = 0.2;
const KILL_DELAY_MS: Range<u64> = 0..600;

/// A job whose tasks take a whole runner each, so that every runner gets one.
fn job() -> Value {
    let step = json!({ "count": RUNNERS, "cpu": 16_000, "memMb": 64, "estMs": 400 });
    json!({ "spec": "work", "steps": [step] })
}

fn draw(rng: &mut SmallRng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Restarts some idle runners, and waits until they are back.
fn restart_runners(site: &Site, rng: &mut SmallRng) {
    wait("idle runners", || site.runners.iter().all(|runner| runner.is_idle()));
    let down_time = draw(rng, DOWN_MS);
    for _ in 0..rng.random_range(1..=MAX_RESTARTS) {
        site.runners[rng.random_range(0..RUNNERS)].restart(down_time);
    }
    sleep(down_time + draw(rng, PAUSE_MS));
}

fn play(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut site = Site::start(&format!("restarts-{seed}"), ENTRIES, RUNNERS);
    for id in 1..=ROUNDS {
        restart_runners(&site, &mut rng);
        let name = format!("{id:016x}");
        wait("a job to be accepted", || {
            let entry = rng.random_range(0..ENTRIES);
            let response = site.call(entry, "POST", &name, Some(&job()));
            response.is_some_and(|response| response.status == 200)
        });
        if rng.random_bool(KILL_SHARE) {
            sleep(draw(&mut rng, KILL_DELAY_MS));
            let owner = site.owner();
            site.kill(owner);
            site.launch(owner);
        }
        site.wait_complete([id]);
    }
}

fn seeds() -> Range<u64> {
    let Ok(range) = env::var("CAROBHITCH_RESTART_SEEDS") else { return 1..2 };
    let (first, end) = range.split_once("..").expect("a range of seeds such as 100..150");
    first.parse().unwrap()..end.parse().unwrap()
}

/// Guards against a task that starts again after its end was acknowledged to another incarnation.
#[test]
fn tasks_run_once_though_idle_runners_restart_under_their_names() {
    for seed in seeds() {
        play(seed);
        println!("seed {seed}: {ROUNDS} jobs");
    }
}
