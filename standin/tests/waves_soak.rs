//! Soak test of maintenance waves: random faults on real entry processes while VMs are added, removed and
//! left out of lists. Entries are killed and paused, the store is unavailable or loses responses, and the
//! platform refuses calls about VMs, in series and overlapping. No wave is ever said to be complete while a VM
//! stays that it names, that was there when it was ordered, and that had no maintenance; and in the end
//! every wave is complete.
//!
//! `CAROBHITCH_SOAK_SEEDS=100..150` runs these seeds instead of the few that CI runs.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod site;

use {
    indexmap::IndexSet,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    site::{Site, seeds, wait},
    std::{
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Seeds that CI runs.
const SEEDS: [u64; 2] = [1, 2];
/// Number of entries of a site.
const ENTRIES: usize = 3;
/// Number of names that VMs have; half of them are there at first.
const NAMES: usize = 8;
/// How long faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(10);
/// Maximum time between two events, in milliseconds.
const MAX_INTERVAL_MS: u64 = 250;

struct Soak {
    site: Site,
    rng: SmallRng,
    /// VMs that each wave names and that were there when it was ordered; from wave 1 on.
    waves: Vec<IndexSet<String>>,
    /// The entry that is killed or paused, whether it is paused, and until when.
    fault: Option<(usize, bool, Instant)>,
}

impl Soak {
    fn new(seed: u64) -> Self {
        let site = Site::start(&format!("waves-soak-{seed}"), ENTRIES, 1);
        if seed.is_multiple_of(2) {
            site.vms.call_removed_busy();
        }
        (0..NAMES / 2).for_each(|number| site.vms.add(&vm(number)));
        Self { site, rng: SmallRng::seed_from_u64(seed), waves: Vec::new(), fault: None }
    }

    fn random_time(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(100..max_ms))
    }

    /// Orders a wave of random VMs, of which some may not be there.
    fn order(&mut self) {
        let named: Vec<String> = (0..NAMES).filter(|_| self.rng.random_bool(0.4)).map(vm).collect();
        let there = named.iter().filter(|vm| self.site.vms.contains(vm)).cloned().collect();
        self.waves.push(there);
        let number = self.waves.len();
        let wave = json!({ "wave": number, "machines": named, "durationS": 12, "maxCount": 2 });
        self.site.store.put("keyed.op", &format!("wave/{number}"), wave.to_string().as_bytes());
    }

    fn happen(&mut self) {
        let name = vm(self.rng.random_range(0..NAMES));
        match self.rng.random_range(0..10) {
            0 if !self.site.vms.contains(&name) => self.site.vms.add(&name),
            0 | 1 => self.remove(&name),
            2 | 3 => self.site.vms.set_unlisted(&name, self.rng.random_bool(0.5)),
            4 => {
                let time = self.random_time(3_000);
                self.site.vms.start_outage(time);
            }
            5 => {
                let time = self.random_time(1_500);
                self.site.store.start_outage(time);
            }
            6 => self.site.store.lose_responses(self.rng.random_range(1..4)),
            7 => self.strike_entry(),
            _ => self.order(),
        }
    }

    /// Removes a VM; no wave that was ordered before counts it any more.
    fn remove(&mut self, name: &str) {
        self.site.vms.remove(name);
        for named in &mut self.waves {
            named.shift_remove(name);
        }
    }

    /// Kills or pauses an entry, if no other has a fault; the owner in every other case.
    fn strike_entry(&mut self) {
        if self.fault.is_some() {
            return;
        }
        let any = self.rng.random_range(0..ENTRIES);
        let entry = if self.rng.random_bool(0.5) { self.site.owner() } else { any };
        let paused = self.rng.random_bool(0.3);
        if paused {
            self.site.signal(entry, "-STOP");
        } else {
            self.site.kill(entry);
        }
        let until = Instant::now() + self.random_time(3_000);
        self.fault = Some((entry, paused, until));
    }

    fn end_fault(&mut self, at_once: bool) {
        let due = |(.., until): &mut (usize, bool, Instant)| at_once || Instant::now() >= *until;
        let Some((entry, paused, _)) = self.fault.take_if(due) else { return };
        if paused {
            self.site.signal(entry, "-CONT");
        } else {
            self.site.launch(entry);
        }
    }

    /// Whether a wave is said to be complete. Its VMs that are there must have had their maintenance.
    fn is_complete(&self, number: usize) -> bool {
        let value = self.site.store.get("keyed.status", &format!("wave/{number}"));
        let status: Value = serde_json::from_slice(&value.unwrap_or_default()).unwrap_or_default();
        let complete = status["state"] == "complete";
        for name in self.waves[number - 1].iter().filter(|_| complete) {
            let maintained = self.site.vms.is_maintained(name, number as u64);
            assert!(maintained, "wave {number} is complete, and {name} had no maintenance");
        }
        complete
    }

    fn run(&mut self) {
        let until = Instant::now() + FAULT_TIME;
        while Instant::now() < until {
            self.happen();
            self.end_fault(false);
            (1..=self.waves.len()).for_each(|number| _ = self.is_complete(number));
            let pause = self.random_time(MAX_INTERVAL_MS);
            sleep(pause);
        }
        self.end_fault(true);
        (0..NAMES).for_each(|number| self.site.vms.set_unlisted(&vm(number), false));
        self.site.wait_ready();
        for number in 1..=self.waves.len() {
            wait("a wave to be complete", || self.is_complete(number));
        }
    }
}

fn vm(number: usize) -> String {
    format!("m-{}", 100 + number)
}

#[test]
fn no_wave_is_complete_early_and_each_ends_under_random_faults() {
    for seed in seeds(&SEEDS) {
        let mut soak = Soak::new(seed);
        soak.run();
        println!("seed {seed}: {} waves", soak.waves.len());
    }
}
