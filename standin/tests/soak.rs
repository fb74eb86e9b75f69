//! Random faults on real entries, from outside: kills, pauses and planned stops of processes, a store
//! that goes away, loses answers or drops its history, and runners whose answers are lost, in series
//! and overlapping. Callers go on meanwhile; the promises are checked from what they and the runners
//! see.
//!
//! `CAROBHITCH_SOAK_SEEDS=100..150` plays those seeds instead of the short run of CI.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod site;

use {
    indexmap::IndexSet,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    site::{Site, job, wait},
    std::{
        env,
        ops::Range,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Seeds that CI plays: a few, and each that ever failed, with a line on its cause.
///
/// 109: the owner is killed and the store goes away before another can claim; nothing is accepted for
/// most of the run.
const SEEDS: [u64; 3] = [1, 2, 109];
/// Entries of a site.
const ENTRIES: usize = 3;
/// Time for which faults come.
const FAULTS: Duration = Duration::from_secs(5);
/// Time between two faults at most.
const PAUSE_MS: u64 = 700;
/// Time after the last fault within which a job is accepted.
const RECOVERY: Duration = Duration::from_secs(4);
/// Name of the first job.
const FIRST: u64 = 0x1000;

/// A fault, and when it ends.
enum Ending {
    /// The entry is started again.
    Launch(usize),
    /// The entry goes on.
    Wake(usize),
    /// The entry ends by itself and is started again.
    Leave(usize),
}

struct Soak {
    site: Site,
    rng: SmallRng,
    endings: Vec<(Instant, Ending)>,
    disturbed: IndexSet<usize>,
    next_job: u64,
    accepted: Vec<u64>,
    refused: Vec<u64>,
}

impl Soak {
    fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let site = Site::start(&format!("soak-{seed}"), ENTRIES, 4);
        let (endings, disturbed) = (Vec::new(), IndexSet::new());
        let (accepted, refused) = (Vec::new(), Vec::new());
        Self { site, rng, endings, disturbed, next_job: FIRST, accepted, refused }
    }

    /// One entry that no fault is on, if there is one besides another.
    fn victim(&mut self) -> Option<usize> {
        let calm: Vec<usize> = (0..ENTRIES).filter(|e| !self.disturbed.contains(e)).collect();
        if calm.len() < 2 {
            return None;
        }
        Some(calm[self.rng.random_range(0..calm.len())])
    }

    fn later(&mut self, most_ms: u64) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(200..most_ms))
    }

    fn strike(&mut self) {
        match self.rng.random_range(0..8) {
            0 | 1 => {
                let Some(entry) = self.victim() else { return };
                self.site.kill(entry);
                let at = self.later(2_500);
                self.disturb(entry, at, Ending::Launch(entry));
            }
            2 => {
                let Some(entry) = self.victim() else { return };
                self.site.signal(entry, "-STOP");
                let at = self.later(3_000);
                self.disturb(entry, at, Ending::Wake(entry));
            }
            3 => {
                let Some(entry) = self.victim() else { return };
                self.site.signal(entry, "-TERM");
                let at = self.later(400);
                self.disturb(entry, at, Ending::Leave(entry));
            }
            4 => {
                let time = Duration::from_millis(self.rng.random_range(100..2_000));
                self.site.store.take_away(time);
            }
            5 => self.site.store.lose_answers(self.rng.random_range(1..6)),
            6 => self.site.store.drop_history("keyed.jobs"),
            _ => {
                let runner = self.rng.random_range(0..self.site.runners.len());
                self.site.runners[runner].lose_answers(self.rng.random_range(1..6));
            }
        }
    }

    fn disturb(&mut self, entry: usize, at: Instant, ending: Ending) {
        self.disturbed.insert(entry);
        self.endings.push((at, ending));
    }

    fn end_faults(&mut self, all: bool) {
        let now = Instant::now();
        let (due, later) =
            std::mem::take(&mut self.endings).into_iter().partition(|(at, _)| all || *at <= now);
        self.endings = later;
        let due: Vec<(Instant, Ending)> = due;
        for (_, ending) in due {
            let entry = match ending {
                Ending::Launch(entry) => entry,
                Ending::Wake(entry) => {
                    self.site.signal(entry, "-CONT");
                    self.disturbed.swap_remove(&entry);
                    continue;
                }
                Ending::Leave(entry) => {
                    self.site.wait_end(entry);
                    entry
                }
            };
            self.site.launch(entry);
            self.disturbed.swap_remove(&entry);
        }
    }

    /// Submits a job once at an entry that is not paused.
    fn submit(&mut self) {
        let calm: Vec<usize> = (0..ENTRIES).filter(|e| !self.disturbed.contains(e)).collect();
        let Some(&entry) = calm.get(self.next_job as usize % calm.len().max(1)) else { return };
        let id = self.next_job;
        self.next_job += 1;
        let tasks = self.rng.random_range(1..6);
        match self.site.call(entry, "POST", &format!("{id:016x}"), Some(&job(tasks))) {
            Some(heard) if heard.status == 200 => self.accepted.push(id),
            Some(heard) if heard.status == 503 => self.refused.push(id),
            _ => {}
        }
    }

    fn run(&mut self) {
        let until = Instant::now() + FAULTS;
        let mut strike_at = Instant::now();
        while Instant::now() < until {
            if Instant::now() >= strike_at {
                self.strike();
                strike_at += Duration::from_millis(self.rng.random_range(50..PAUSE_MS));
            }
            self.end_faults(false);
            self.submit();
            sleep(Duration::from_millis(20));
        }
        self.end_faults(true);
        self.site.wait_ready();
        self.serve_again();
        self.site.wait_complete(self.accepted.clone());
        self.check_refused();
    }

    /// Once the faults have ended, a new job is accepted soon.
    fn serve_again(&mut self) {
        let begun = Instant::now();
        let id = self.next_job;
        self.site.submit(id, 2);
        self.accepted.push(id);
        assert!(begun.elapsed() < RECOVERY, "a job was accepted after {:?}", begun.elapsed());
    }

    /// A refused job is not known, and no task of it has run.
    fn check_refused(&self) {
        for id in &self.refused {
            let name = format!("{id:016x}");
            wait("an answer about a refused job", || {
                let heard = self.site.call(0, "GET", &name, None);
                if let Some(heard) = &heard {
                    assert_ne!(heard.status, 200, "job {name} was refused, and is {}", heard.body);
                }
                heard.is_some_and(|heard| heard.status == 410)
            });
        }
    }
}

fn seeds() -> Vec<u64> {
    let Ok(range) = env::var("CAROBHITCH_SOAK_SEEDS") else { return SEEDS.to_vec() };
    let (first, end) = range.split_once("..").expect("a range of seeds such as 100..150");
    let range: Range<u64> = first.parse().unwrap()..end.parse().unwrap();
    range.collect()
}

#[test]
fn promises_hold_through_random_faults() {
    for seed in seeds() {
        let mut soak = Soak::new(seed);
        soak.run();
        let (accepted, refused) = (soak.accepted.len(), soak.refused.len());
        println!(
            "seed {seed}: {accepted} accepted, {refused} refused, {} starts",
            soak.site.judge.starts()
        );
        assert!(accepted + refused > 10, "seed {seed} tried {} jobs only", accepted + refused);
    }
}
