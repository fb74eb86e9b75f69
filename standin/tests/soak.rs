//! Soak test: random faults on real entry processes. Entries are killed, paused and stopped, the store
//! is unavailable, loses responses or drops its history, responses of runners are lost, runners restart
//! under their names, most of them idle, and a job crashes the runners that start it, one after the other and
//! overlapping. The operators' manifest grows beyond
//! what the store accepts as a record and shrinks again several times, and the owner is killed about then.
//! Jobs of two organisations are submitted meanwhile, one of which has a limit and loses a key halfway; the
//! invariants are checked from what the callers and the runners observe.
//!
//! `CAROBHITCH_SOAK_SEEDS=100..150` runs these seeds instead of the few that CI runs.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod site;

use {
    carobhitch_standin::job::Limit,
    indexmap::IndexSet,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    site::{Site, exchange, grow, job, keyed_manifest, seeds, wait},
    std::{
        ops::Range,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Seeds that CI runs: two ordinary ones, and each that ever failed, with its cause.
///
/// 109: the owner is killed, and the store becomes unavailable before another entry can claim the cell;
/// no job is accepted for most of the run.
const SEEDS: [u64; 3] = [1, 2, 109];
/// Number of entries of a site.
const ENTRIES: usize = 3;
/// How long faults are injected at least.
const FAULT_TIME: Duration = Duration::from_secs(5);
/// Number of jobs that are accepted or refused at least while faults are injected.
const MIN_JOBS: usize = 11;
/// Maximum time until that many are, however slow the VM.
const MAX_FAULT_TIME: Duration = Duration::from_secs(40);
/// Maximum time between two changes of the manifest.
const MAX_CHANGE_INTERVAL_MS: u64 = 1_200;
/// Number of further queues of a large manifest, whose copy in the ledger is then larger than a record.
const LARGE: Range<usize> = 600..1_500;
/// Version of the first manifest with organisations.
const FIRST_VERSION: u64 = 4;
/// Maximum time between two restarts of runners.
const MAX_RESTART_INTERVAL_MS: u64 = 900;
/// Longest time for which a restarting runner is down, in milliseconds.
const MAX_DOWN_MS: u64 = 1_500;
/// Share of the restarts that strike an idle runner, if there is one.
const IDLE_SHARE: f64 = 0.8;
/// Maximum time between two faults.
const MAX_FAULT_INTERVAL_MS: u64 = 700;
/// Maximum time until a job is accepted once the faults have ended and every entry is ready.
const MAX_RECOVERY: Duration = Duration::from_secs(4);
/// Tasks that the organisation `acme` may run at once.
const ACME_TASKS: u32 = 5;
/// Maximum time from the withdrawal of a key until no entry takes it any more.
const MAX_WITHDRAWAL: Duration = Duration::from_secs(3);
/// Id of the job that crashes runners, which belongs to `bolt`.
const CRASHING_JOB: u64 = 0x800;
/// Id of the first job.
const FIRST_JOB: u64 = 0x1000;

/// How the fault of an entry ends.
enum Repair {
    /// The killed entry is started again.
    Launch(usize),
    /// The paused entry resumes.
    Resume(usize),
    /// The stopping entry exits by itself and is started again.
    Restart(usize),
}

/// Whether a job, or a task of it, belongs to the organisation `acme`: every second job does.
fn is_of_acme(name: &str) -> bool {
    let digit = name.as_bytes().get(15).copied().unwrap_or_default();
    (digit as char).to_digit(16).is_some_and(|digit| digit % 2 == 1)
}

struct Soak {
    site: Site,
    rng: SmallRng,
    /// Random numbers for the manifest, which leave the faults of a seed as they are.
    change_rng: SmallRng,
    /// The same for restarts of runners.
    restart_rng: SmallRng,
    /// Version of the newest manifest, and the number of its further queues.
    version: u64,
    queues: usize,
    keys: &'static [&'static str],
    repairs: Vec<(Instant, Repair)>,
    faulty: IndexSet<usize>,
    next_job: u64,
    accepted: Vec<u64>,
    refused: Vec<u64>,
}

impl Soak {
    fn new(seed: u64) -> Self {
        let (rng, change_rng) = (SmallRng::seed_from_u64(seed), SmallRng::seed_from_u64(!seed));
        let restart_rng = SmallRng::seed_from_u64(seed.rotate_left(32));
        let mut site = Site::start(&format!("soak-{seed}"), ENTRIES, 4);
        site.key_of = |name| if is_of_acme(name) { "acme-2" } else { "bolt-1" };
        site.checker.set_limit(Limit { tasks: ACME_TASKS as usize, applies: is_of_acme });
        let keys = &["acme-1", "acme-2"];
        let manifest = keyed_manifest(FIRST_VERSION, keys, ACME_TASKS).to_string();
        site.store.put("keyed.op", "config", manifest.as_bytes());
        wait("the manifest to be in force", || {
            let response = site.call_with("acme-1", 0, "GET", "", None);
            let without = site.call_with("", 0, "GET", "", None);
            response.is_some_and(|response| response.status == 200)
                && without.is_some_and(|response| response.status == 401)
        });
        let (repairs, faulty) = (Vec::new(), IndexSet::new());
        let (accepted, refused) = (Vec::new(), Vec::new());
        Self {
            site,
            rng,
            change_rng,
            restart_rng,
            version: FIRST_VERSION,
            queues: 0,
            keys,
            repairs,
            faulty,
            next_job: FIRST_JOB,
            accepted,
            refused,
        }
    }

    /// Writes a manifest with `queues` further queues.
    fn put_manifest(&mut self, queues: usize) {
        self.version += 1;
        self.queues = queues;
        let mut manifest = keyed_manifest(self.version, self.keys, ACME_TASKS);
        grow(&mut manifest, queues);
        self.site.store.put("keyed.op", "config", manifest.to_string().as_bytes());
    }

    /// Writes a large manifest after a small one and the other way round, and kills the owner before or
    /// after that, or not at all. Returns the time until the next change.
    fn change_manifest(&mut self) -> Duration {
        let queues = if self.queues == 0 { self.change_rng.random_range(LARGE) } else { 0 };
        let kill = self.change_rng.random_range(0..3);
        if kill == 0 {
            self.kill_owner();
        }
        self.put_manifest(queues);
        if kill == 1 {
            sleep(Duration::from_millis(self.change_rng.random_range(0..150)));
            self.kill_owner();
        }
        Duration::from_millis(self.change_rng.random_range(100..MAX_CHANGE_INTERVAL_MS))
    }

    /// Kills the entry that last served as the owner, unless it or all others have a fault.
    fn kill_owner(&mut self) {
        let owner = self.site.owner();
        if self.faulty.contains(&owner) || self.faulty.len() + 1 >= ENTRIES {
            return;
        }
        self.site.kill(owner);
        let delay = Duration::from_millis(self.change_rng.random_range(200..2_000));
        self.add_fault(owner, Instant::now() + delay, Repair::Launch(owner));
    }

    /// Restarts a runner; returns the time until the next one restarts.
    fn restart_runner(&mut self) -> Duration {
        let runners = &self.site.runners;
        let idle: Vec<usize> = (0..runners.len()).filter(|at| runners[*at].is_idle()).collect();
        let prefers_idle = self.restart_rng.random_bool(IDLE_SHARE) && !idle.is_empty();
        let number = self.restart_rng.random_range(0..runners.len());
        let number = if prefers_idle { idle[number % idle.len()] } else { number };
        let down_ms = self.restart_rng.random_range(50..MAX_DOWN_MS);
        runners[number].restart(Duration::from_millis(down_ms));
        Duration::from_millis(self.restart_rng.random_range(100..MAX_RESTART_INTERVAL_MS))
    }

    /// Waits until every entry serves just the queues of the newest manifest.
    fn check_manifest(&self) {
        let last = LARGE.end;
        for entry in &self.site.entries {
            let is_served = |number: usize| {
                let path = format!("/unused{number}/");
                let response = exchange(entry.callers, "GET", &path, "bolt-1", None)?;
                Some(response.status == 200)
            };
            wait("the newest manifest to be in force", || {
                let newest = self.queues == 0 || is_served(self.queues - 1) == Some(true);
                newest && is_served(self.queues) == Some(false) && is_served(last) == Some(false)
            });
        }
    }

    /// Checks that a healthy entry takes the withdrawn key no more.
    fn check_withdrawn(&mut self) {
        let Some(entry) = self.random_healthy_entry() else { return };
        let response = self.site.call_with("acme-1", entry, "GET", "", None);
        let status = response.map(|response| response.status);
        assert_ne!(status, Some(200), "entry {entry} takes a key that was withdrawn");
    }

    /// A random entry without a fault, if at least two entries have none.
    fn random_healthy_entry(&mut self) -> Option<usize> {
        let healthy: Vec<usize> = (0..ENTRIES).filter(|e| !self.faulty.contains(e)).collect();
        if healthy.len() < 2 {
            return None;
        }
        Some(healthy[self.rng.random_range(0..healthy.len())])
    }

    fn repair_time(&mut self, max_ms: u64) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(200..max_ms))
    }

    fn inject_fault(&mut self) {
        match self.rng.random_range(0..8) {
            0 | 1 => {
                let Some(entry) = self.random_healthy_entry() else { return };
                self.site.kill(entry);
                let at = self.repair_time(2_500);
                self.add_fault(entry, at, Repair::Launch(entry));
            }
            2 => {
                let Some(entry) = self.random_healthy_entry() else { return };
                self.site.signal(entry, "-STOP");
                let at = self.repair_time(3_000);
                self.add_fault(entry, at, Repair::Resume(entry));
            }
            3 => {
                let Some(entry) = self.random_healthy_entry() else { return };
                self.site.signal(entry, "-TERM");
                let at = self.repair_time(400);
                self.add_fault(entry, at, Repair::Restart(entry));
            }
            4 => {
                let time = Duration::from_millis(self.rng.random_range(100..2_000));
                self.site.store.start_outage(time);
            }
            5 => self.site.store.lose_responses(self.rng.random_range(1..6)),
            6 => self.site.store.drop_history("keyed.jobs"),
            _ => {
                let runner = self.rng.random_range(0..self.site.runners.len());
                self.site.runners[runner].lose_responses(self.rng.random_range(1..6));
            }
        }
    }

    fn add_fault(&mut self, entry: usize, at: Instant, repair: Repair) {
        self.faulty.insert(entry);
        self.repairs.push((at, repair));
    }

    fn end_faults(&mut self, all: bool) {
        let now = Instant::now();
        let (due, remaining) =
            std::mem::take(&mut self.repairs).into_iter().partition(|(at, _)| all || *at <= now);
        self.repairs = remaining;
        let due: Vec<(Instant, Repair)> = due;
        for (_, repair) in due {
            let entry = match repair {
                Repair::Launch(entry) => entry,
                Repair::Resume(entry) => {
                    self.site.signal(entry, "-CONT");
                    self.faulty.swap_remove(&entry);
                    continue;
                }
                Repair::Restart(entry) => {
                    self.site.wait_end(entry);
                    entry
                }
            };
            self.site.launch(entry);
            self.faulty.swap_remove(&entry);
        }
    }

    /// Submits a job once to an entry without a fault, if there is one.
    fn submit(&mut self) {
        let healthy: Vec<usize> = (0..ENTRIES).filter(|e| !self.faulty.contains(e)).collect();
        let Some(&entry) = healthy.get(self.next_job as usize % healthy.len().max(1)) else {
            return;
        };
        let id = self.next_job;
        self.next_job += 1;
        let tasks = self.rng.random_range(1..6);
        match self.site.call(entry, "POST", &format!("{id:016x}"), Some(&job(tasks))) {
            Some(response) if response.status == 200 => self.accepted.push(id),
            Some(response) if response.status == 503 => self.refused.push(id),
            _ => {}
        }
    }

    /// Number of jobs that were accepted or refused.
    fn tried(&self) -> usize {
        self.accepted.len() + self.refused.len()
    }

    fn run(&mut self) {
        let begun = Instant::now();
        let until = begun + FAULT_TIME;
        self.site.submit_crashing(CRASHING_JOB);
        let mut next_fault = Instant::now();
        let mut next_change = Instant::now();
        let mut next_restart = Instant::now();
        let withdrawal = until - FAULT_TIME / 2;
        let mut withdrawn = false;
        while Instant::now() < until || self.tried() < MIN_JOBS {
            assert!(begun.elapsed() < MAX_FAULT_TIME, "only {} jobs were tried", self.tried());
            if !withdrawn && Instant::now() >= withdrawal {
                self.keys = &["acme-2"];
                self.put_manifest(self.queues);
                withdrawn = true;
            }
            if Instant::now() >= next_change {
                next_change += self.change_manifest();
            }
            if Instant::now() >= next_restart {
                next_restart += self.restart_runner();
            }
            if Instant::now() > withdrawal + MAX_WITHDRAWAL {
                self.check_withdrawn();
            }
            if Instant::now() >= next_fault {
                self.inject_fault();
                next_fault +=
                    Duration::from_millis(self.rng.random_range(50..MAX_FAULT_INTERVAL_MS));
            }
            self.end_faults(false);
            self.submit();
            sleep(Duration::from_millis(20));
        }
        self.end_faults(true);
        self.site.wait_ready();
        self.check_recovery();
        self.check_manifest();
        for entry in 0..ENTRIES {
            wait("an entry to refuse the withdrawn key", || {
                let response = self.site.call_with("acme-1", entry, "GET", "", None);
                response.is_some_and(|response| response.status == 401)
            });
        }
        self.site.wait_complete(self.accepted.clone());
        self.site.wait_failed(CRASHING_JOB);
        self.check_refused();
    }

    /// Checks that a new job is accepted soon once the faults have ended.
    fn check_recovery(&mut self) {
        let started = Instant::now();
        let id = self.next_job;
        self.site.submit(id, 2);
        self.accepted.push(id);
        assert!(
            started.elapsed() < MAX_RECOVERY,
            "a job was accepted after {:?}",
            started.elapsed()
        );
    }

    /// Checks that no refused job is known, so that no task of it runs.
    fn check_refused(&self) {
        for id in &self.refused {
            let name = format!("{id:016x}");
            wait("a response about a refused job", || {
                let response = self.site.call(0, "GET", &name, None);
                if let Some(response) = &response {
                    assert_ne!(
                        response.status, 200,
                        "job {name} was refused, and is {}",
                        response.body
                    );
                }
                response.is_some_and(|response| response.status == 410)
            });
        }
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    for seed in seeds(&SEEDS) {
        let mut soak = Soak::new(seed);
        soak.run();
        let (accepted, refused) = (soak.accepted.len(), soak.refused.len());
        println!(
            "seed {seed}: {accepted} accepted, {refused} refused, {} starts",
            soak.site.checker.starts()
        );
    }
}
