//! Measures placement decisions, and compares the grid's search for a worker with simpler searches.
//!
//! `cargo bench --bench place` prints the tables. Times are medians and 99th percentiles of single
//! decisions at a steady load on a full fleet. With a number of workers and of pools as arguments,
//! it prints the row of these only.

use {
    carobhitch::{
        fleet::{Team, Vm},
        job::{Job, Priority, Size},
        place::{Action, Answer, Scheduler, Verb, index::Grid},
        platform::Progress,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::BTreeSet,
        env, fs,
        hint::black_box,
        io,
        process::Command,
        time::{Duration, Instant},
    },
};

/// Numbers of workers.
const SIZES: [usize; 4] = [50, 500, 5_000, 17_000];
const TEAMS: usize = 170;
/// Number of decisions or searches that are timed.
const DECISIONS: usize = 2_000;
/// Resources of a worker.
const WORKER: Size = Size { millicores: 16_000, accelerators: 0, memory_bytes: 64 << 30 };
const PAGE_BYTES: u64 = 4_096;

const HEADER: &str = "\
| workers | pools | tasks | place + end p50 | p99 | reclaim p50 | p99 | refused p50 | cancel 100 \
| bytes/worker | bytes/task |
|---|---|---|---|---|---|---|---|---|---|---|";
const SEARCH_HEADER: &str = "
| workers | full | grid p50 | p99 | first-fit scan p50 | p99 | best-fit scan p50 | p99 \
| ordered p50 | p99 | grid missed |
|---|---|---|---|---|---|---|---|---|---|---|";

fn main() -> io::Result<()> {
    let arguments: Vec<usize> = env::args().filter_map(|word| word.parse().ok()).collect();
    if let [workers, pools] = arguments[..] {
        measure_decisions(workers, pools);
        return Ok(());
    }
    println!("{HEADER}");
    for workers in SIZES {
        for pools in [1, (workers * 209 / 17_000).max(2)] {
            // Each row is measured by its own process, since memory that one row has freed would be
            // reused by the next and not be counted.
            let arguments = [workers.to_string(), pools.to_string()];
            Command::new(env::current_exe()?).args(arguments).status()?;
        }
    }
    println!("{SEARCH_HEADER}");
    for workers in SIZES {
        for full in [800, 990, 1_000] {
            measure_searches(workers, full);
        }
    }
    Ok(())
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Median and 99th percentile.
fn percentiles(times: &mut [Duration]) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

fn random_size(rng: &mut SmallRng) -> Size {
    Size {
        millicores: rng.random_range(2..32) * 125,
        accelerators: 0,
        memory_bytes: rng.random_range(1..32) * (1 << 29),
    }
}

/// A scheduler with a fleet and its running jobs.
struct Bench {
    scheduler: Scheduler,
    rng: SmallRng,
    now: Instant,
    pools: usize,
    next: usize,
    running: Vec<String>,
}

impl Bench {
    fn new(workers: usize, pools: usize) -> Self {
        let mut scheduler = Scheduler::default();
        let quota = (workers * 16_000 * 2 / TEAMS) as u64;
        let team = Team { quota_millicores: quota, ..Team::default() };
        let teams = (0..TEAMS).map(|i| (format!("team-{i}"), team.clone())).collect();
        scheduler.set_teams(&teams);
        for i in 0..workers {
            let vm = Vm {
                pool: format!("pool-{}", i % pools),
                zone: format!("zone-{}", i / pools % 3),
                rack: format!("rack-{}", i / pools / 12),
                address: ([10, 0, 0, 1], 1).into(),
            };
            scheduler.add_worker(&format!("worker-{i}"), &vm, WORKER);
        }
        let rng = SmallRng::seed_from_u64(workers as u64);
        Self { scheduler, rng, now: Instant::now(), pools, next: 0, running: Vec::new() }
    }

    fn job(&mut self, priority: Priority, size: Size) -> Job {
        self.next += 1;
        Job {
            id: format!("job-{}", self.next),
            kind: format!("kind-{}", self.rng.random_range(0..200)),
            team: format!("team-{}", self.rng.random_range(0..TEAMS)),
            pool: format!("pool-{}", self.next % self.pools),
            size,
            run_time: Duration::from_secs(600),
            priority,
            repeatable: true,
        }
    }

    fn random_job(&mut self, priority: Priority) -> Job {
        let size = random_size(&mut self.rng);
        self.job(priority, size)
    }

    /// Submits a job and confirms its start; returns whether it was started.
    fn place(&mut self, job: &Job) -> bool {
        self.scheduler.submit(self.now, job);
        let actions = self.scheduler.tick(self.now);
        let started = actions.iter().any(|a| a.verb == Verb::Start && a.job == job.id);
        self.answer(&actions);
        if started {
            self.running.push(job.id.clone());
        }
        started
    }

    /// Confirms the actions and those that follow from them.
    fn answer(&mut self, actions: &[Action]) {
        for action in actions {
            let done = Answer::Known(Progress::Done);
            let next = self.scheduler.answer(self.now, action, done);
            self.answer(&next);
        }
        self.scheduler.events();
    }

    fn end_random_job(&mut self) {
        let index = self.rng.random_range(0..self.running.len());
        let id = self.running.swap_remove(index);
        let attempt = self.scheduler.task(&id).map_or(0, |task| task.attempt);
        let actions = self.scheduler.ended(self.now, &id, attempt, Progress::Done);
        self.answer(&actions);
    }

    /// Starts jobs until one does not fit, which is cancelled.
    fn fill(&mut self) {
        loop {
            let job = self.random_job(Priority::Normal);
            if !self.place(&job) {
                let actions = self.scheduler.cancel(self.now, &[job.id]);
                self.answer(&actions);
                return;
            }
        }
    }
}

/// Prints a row of the first table.
fn measure_decisions(workers: usize, pools: usize) {
    let empty = resident_bytes();
    let mut bench = Bench::new(workers, pools);
    let with_workers = resident_bytes();
    bench.fill();
    let with_tasks = resident_bytes();
    let tasks = bench.running.len();
    let mut place: Vec<Duration> = (0..DECISIONS)
        .map(|_| {
            let job = bench.random_job(Priority::Normal);
            let begin = Instant::now();
            bench.end_random_job();
            if !bench.place(&job) {
                let actions = bench.scheduler.cancel(bench.now, &[job.id]);
                bench.answer(&actions);
            }
            begin.elapsed()
        })
        .collect();
    let mut refuse = time_decisions(&mut bench, Priority::Low, WORKER, DECISIONS / 4);
    let cancelled: Vec<String> = bench.running.iter().take(100).cloned().collect();
    let begin = Instant::now();
    let actions = bench.scheduler.cancel(bench.now, &cancelled);
    let cancel = begin.elapsed();
    bench.answer(&actions);
    let urgent = Size { millicores: 8_000, accelerators: 0, memory_bytes: 32 << 30 };
    let mut reclaim = time_decisions(&mut bench, Priority::Urgent, urgent, workers / 2);
    let (place_p50, place_p99) = percentiles(&mut place);
    let (reclaim_p50, reclaim_p99) = percentiles(&mut reclaim);
    let (refuse_p50, _) = percentiles(&mut refuse);
    println!(
        "| {workers} | {pools} | {tasks} | {place_p50:.1?} | {place_p99:.1?} | {reclaim_p50:.1?} | {reclaim_p99:.1?} | {refuse_p50:.1?} | {cancel:.1?} | {} | {} |",
        (with_workers - empty) / workers as u64,
        (with_tasks - with_workers) / tasks as u64,
    );
}

/// Times single decisions on jobs of one priority and size.
fn time_decisions(
    bench: &mut Bench,
    priority: Priority,
    size: Size,
    count: usize,
) -> Vec<Duration> {
    let mut times = Vec::new();
    for _ in 0..count {
        let job = bench.job(priority, size);
        let begin = Instant::now();
        bench.scheduler.submit(bench.now, &job);
        let actions = bench.scheduler.tick(bench.now);
        times.push(begin.elapsed());
        if actions.is_empty() {
            bench.scheduler.cancel(bench.now, &[job.id]);
        }
        bench.answer(&actions);
    }
    times
}

/// Compares searches among workers of which `full` in a thousand have no memory left: by the grid,
/// by scans, and in the order of free CPU. Prints a row of the second table.
fn measure_searches(workers: usize, full: u32) {
    let mut rng = SmallRng::seed_from_u64(9);
    let mut free: Vec<Size> = Vec::new();
    let mut grid = Grid::default();
    let mut ordered = BTreeSet::new();
    for key in 0..workers as u32 {
        let left = if rng.random_range(0..1_000) < full { 1 } else { 100 };
        let size = Size {
            millicores: 16_000 * rng.random_range(0..100) / 100,
            accelerators: 0,
            memory_bytes: WORKER.memory_bytes * rng.random_range(0..left) / 100,
        };
        grid.insert(key, &size);
        ordered.insert((size.millicores, key));
        free.push(size);
    }
    let needs: Vec<Size> = (0..DECISIONS).map(|_| random_size(&mut rng)).collect();
    let mut hits = [0_usize; 4];
    let mut grid_times = time_searches(&needs, &mut hits[0], |need| {
        grid.search(need, 8, |key| free[key as usize].holds(need)).first().copied()
    });
    let mut first_fit_times = time_searches(&needs, &mut hits[1], |need| {
        free.iter().position(|size| size.holds(need)).map(|key| key as u32)
    });
    let mut best_fit_times = time_searches(&needs, &mut hits[3], |need| {
        let fitting = free.iter().enumerate().filter(|(_, size)| size.holds(need));
        fitting.min_by_key(|(_, size)| size.millicores).map(|(key, _)| key as u32)
    });
    let mut ordered_times = time_searches(&needs, &mut hits[2], |need| {
        let fitting = ordered.range((need.millicores, 0)..);
        fitting.map(|(_, key)| *key).find(|key| free[*key as usize].holds(need))
    });
    let (g50, g99) = percentiles(&mut grid_times);
    let (s50, s99) = percentiles(&mut first_fit_times);
    let (b50, b99) = percentiles(&mut best_fit_times);
    let (o50, o99) = percentiles(&mut ordered_times);
    println!(
        "| {workers} | {}% | {g50:.1?} | {g99:.1?} | {s50:.1?} | {s99:.1?} | {b50:.1?} | {b99:.1?} | {o50:.1?} | {o99:.1?} | {} of {} |",
        f64::from(full) / 10.0,
        hits[1] - hits[0],
        hits[1],
    );
}

/// Times a search for each need, and counts those that found a worker.
fn time_searches(
    needs: &[Size],
    hits: &mut usize,
    mut search: impl FnMut(&Size) -> Option<u32>,
) -> Vec<Duration> {
    needs
        .iter()
        .map(|need| {
            let begin = Instant::now();
            let hit = black_box(search(need));
            let time = begin.elapsed();
            *hits += usize::from(hit.is_some());
            time
        })
        .collect()
}
