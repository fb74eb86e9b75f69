//! Cell under heavy load, compared with an upper bound for which every VM is where it is needed.
//!
//! Two services have bursts in turn, each of which needs more cores than the service's own pool
//! has. A balance that moves VMs too late, or spends them on late work, lets jobs miss their due
//! times.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{ledger::Outcome, spec::Spec},
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    simulation::{MILLICORES, STEP, Simulation, spec, step},
    std::time::Duration,
};

/// Queues, in the order of their bursts.
const QUEUES: [&str; 2] = ["quotes", "checks"];
/// Services of the queues.
const SERVICES: [&str; 2] = ["desk", "other"];
/// Number of VMs of each service, and of the spare pool.
const VMS: usize = 9;
/// Interval at which the cell gets the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// A job that callers submit.
struct Submission {
    at: Duration,
    queue: usize,
    tasks: u32,
    millicores: u32,
    steps: usize,
}

impl Submission {
    fn spec(&self) -> Spec {
        let steps = (0..self.steps).map(|number| {
            let mut step = step(self.tasks, self.millicores);
            step.after = (0..number as u16).rev().take(1).collect();
            step
        });
        spec(steps.collect())
    }

    /// Time within which it should be complete.
    fn due(&self) -> Duration {
        self.spec().critical_path().mul_f64(1.6) + Duration::from_millis(600)
    }

    fn cores(&self) -> f64 {
        f64::from(self.tasks) * f64::from(self.millicores) / 1_000.0
    }
}

/// Submissions to queues that have bursts of `length` in turn, each with a peak of `most` cores.
fn bursts(seed: u64, length: Duration, rounds: u32, most: f64) -> Vec<Submission> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut submissions = Vec::new();
    let mut at = Duration::ZERO;
    while at < length * rounds {
        let queue = (at.as_secs_f64() / length.as_secs_f64()) as usize % QUEUES.len();
        let phase = at.as_secs_f64() / length.as_secs_f64() % 1.0;
        let cores = most * (std::f64::consts::PI * phase).sin().max(0.05);
        let submission = Submission {
            at,
            queue,
            tasks: rng.random_range(2..10),
            millicores: rng.random_range(400..1_600),
            steps: rng.random_range(1..3),
        };
        let work = submission.cores() * submission.steps as f64;
        at += Duration::from_secs_f64(work / cores * rng.random_range(0.5..1.5));
        submissions.push(submission);
    }
    submissions
}

/// Fraction of the work that is complete in time: of each queue, and of both.
struct Fraction {
    by_queue: [f64; 2],
    all: f64,
}

impl Fraction {
    /// Fraction of the submissions that are in `in_time`.
    fn new(submissions: &[Submission], in_time: &IndexSet<usize>) -> Self {
        let fraction = |queue: Option<usize>| {
            let counts =
                |submission: &Submission| queue.is_none_or(|queue| submission.queue == queue);
            let work =
                |number: usize| submissions[number].cores() * submissions[number].steps as f64;
            let all = (0..submissions.len()).filter(|&number| counts(&submissions[number]));
            let done = all.clone().filter(|number| in_time.contains(number));
            done.map(work).sum::<f64>() / all.map(work).sum::<f64>()
        };
        Self { by_queue: [fraction(Some(0)), fraction(Some(1))], all: fraction(None) }
    }
}

/// Fraction of the work that a simulated cell completes in time.
fn simulate(submissions: &[Submission]) -> Fraction {
    let mut sim = Simulation::new(0);
    sim.move_time = Some(Duration::from_millis(1_500));
    for number in 0..VMS {
        for service in SERVICES {
            let id = format!("{service}{number}");
            sim.add_runner(&id, service, &format!("m-{id}"), 1);
        }
        sim.add_spare(&format!("m-s{number}"));
    }
    sim.update_vms();
    sim.run(Duration::from_secs(1));
    let begun = sim.now;
    let (mut next, mut listed) = (0, begun);
    let mut open: Vec<usize> = Vec::new();
    let mut in_time = IndexSet::new();
    while next < submissions.len() || !open.is_empty() {
        while next < submissions.len() && submissions[next].at <= sim.now - begun {
            sim.submit_to(
                QUEUES[submissions[next].queue],
                next as u64 + 1,
                submissions[next].spec(),
            );
            open.push(next);
            next += 1;
        }
        if sim.now - listed >= LIST_INTERVAL {
            listed = sim.now;
            sim.update_vms();
        }
        sim.run(STEP);
        open.retain(|&number| {
            let submission = &submissions[number];
            let job = &sim.cell.jobs()[&(number as u64 + 1)];
            if job.stored_outcome != Outcome::Complete {
                return true;
            }
            if sim.now - begun <= submission.at + submission.due() {
                in_time.insert(number);
            }
            false
        });
    }
    Fraction::new(submissions, &in_time)
}

/// Upper bound: all cores work on the jobs that are due first, as if every VM were where it is
/// needed.
fn upper_bound(submissions: &[Submission]) -> Fraction {
    let room = (VMS * 3) as f64 * f64::from(MILLICORES) / 1_000.0;
    let mut left: IndexMap<usize, (usize, f64)> = IndexMap::new();
    let (mut now, mut next) = (Duration::ZERO, 0);
    let mut in_time = IndexSet::new();
    while next < submissions.len() || !left.is_empty() {
        while next < submissions.len() && submissions[next].at <= now {
            left.insert(next, (submissions[next].steps, 1.0));
            next += 1;
        }
        now += STEP;
        let mut free = room;
        let mut by_due: Vec<usize> = left.keys().copied().collect();
        by_due.sort_by_key(|&number| submissions[number].at + submissions[number].due());
        for number in by_due {
            let submission = &submissions[number];
            let share = (free / submission.cores()).min(1.0);
            free -= share * submission.cores();
            let (steps, rest) = &mut left[&number];
            *rest -= share * STEP.as_secs_f64();
            if *rest > 0.0 {
                continue;
            }
            (*steps, *rest) = (*steps - 1, 1.0);
            if *steps == 0 {
                left.swap_remove(&number);
                if now <= submission.at + submission.due() {
                    in_time.insert(number);
                }
            }
        }
    }
    Fraction::new(submissions, &in_time)
}

#[test]
fn bursts_larger_than_their_pools_are_nearly_all_in_time() {
    for seed in 0..4 {
        let submissions = bursts(seed, Duration::from_secs(8), 6, 280.0);
        let (got, bound) = (simulate(&submissions).all, upper_bound(&submissions).all);
        println!("seed {seed}: {got:.3} of the work in time, bound {bound:.3}");
        assert!(got >= 0.9 * bound, "seed {seed}: {got:.3} of the work in time, bound {bound:.3}");
    }
}

#[test]
fn late_work_of_one_service_leaves_the_next_one_its_vms() {
    for seed in 0..4 {
        let mut submissions = bursts(seed, Duration::from_secs(8), 2, 280.0);
        let flood = (0..60).map(|number| Submission {
            at: Duration::from_millis(6_000 + number),
            queue: 0,
            tasks: 8,
            millicores: 1_500,
            steps: 2,
        });
        submissions.extend(flood);
        submissions.sort_by_key(|submission| submission.at);
        let (got, bound) =
            (simulate(&submissions).by_queue[1], upper_bound(&submissions).by_queue[1]);
        println!("seed {seed}: {got:.3} of the second burst in time, bound {bound:.3}");
        assert!(got >= 0.9 * bound, "seed {seed}: {got:.3} of the second burst, bound {bound:.3}");
    }
}
