//! Heavy load played against the cell: what callers get, beside what a clairvoyant could give them.

#![allow(clippy::unwrap_used)]

mod world;

use {
    carobhitch::job::{ledger::Outcome, spec::Spec},
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
    world::{MILLICORES, STEP, World, spec, step},
};

/// Queues, in the order of their turns.
const QUEUES: [&str; 2] = ["quotes", "checks"];
/// Services of the queues.
const SERVICES: [&str; 2] = ["desk", "other"];
/// VMs of each service, and of the spare pool.
const VMS: usize = 9;
/// Time between two lists of the VMs.
const LIST: Duration = Duration::from_secs(1);

/// A job that callers hand in.
struct Order {
    at: Duration,
    queue: usize,
    tasks: u32,
    millicores: u32,
    steps: usize,
}

impl Order {
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

/// Orders of queues that take turns of `turn` each, and ask for up to `most` cores at their peak.
fn turns(seed: u64, turn: Duration, rounds: u32, most: f64) -> Vec<Order> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut orders = Vec::new();
    let mut at = Duration::ZERO;
    while at < turn * rounds {
        let queue = (at.as_secs_f64() / turn.as_secs_f64()) as usize % QUEUES.len();
        let phase = at.as_secs_f64() / turn.as_secs_f64() % 1.0;
        let cores = most * (std::f64::consts::PI * phase).sin().max(0.05);
        let order = Order {
            at,
            queue,
            tasks: rng.random_range(2..10),
            millicores: rng.random_range(400..1_600),
            steps: rng.random_range(1..3),
        };
        let work = order.cores() * order.steps as f64;
        at += Duration::from_secs_f64(work / cores * rng.random_range(0.5..1.5));
        orders.push(order);
    }
    orders
}

/// Part of the work that is complete in time: of each queue, and of both.
struct Share {
    of: [f64; 2],
    all: f64,
}

impl Share {
    /// Share of the orders in `in_time`.
    fn new(orders: &[Order], in_time: &IndexSet<usize>) -> Self {
        let part = |queue: Option<usize>| {
            let of_queue = |order: &Order| queue.is_none_or(|queue| order.queue == queue);
            let work = |number: usize| orders[number].cores() * orders[number].steps as f64;
            let all = (0..orders.len()).filter(|&number| of_queue(&orders[number]));
            let done = all.clone().filter(|number| in_time.contains(number));
            done.map(work).sum::<f64>() / all.map(work).sum::<f64>()
        };
        Self { of: [part(Some(0)), part(Some(1))], all: part(None) }
    }
}

/// What callers get.
fn play(orders: &[Order]) -> Share {
    let mut world = World::new(0);
    world.move_time = Some(Duration::from_millis(1_500));
    for number in 0..VMS {
        for service in SERVICES {
            let id = format!("{service}{number}");
            world.add(&id, service, &format!("m-{id}"), 1);
        }
        world.add_spare(&format!("m-s{number}"));
    }
    world.list_vms();
    world.run(Duration::from_secs(1));
    let begun = world.now;
    let (mut next, mut listed) = (0, begun);
    let mut open: Vec<usize> = Vec::new();
    let mut in_time = IndexSet::new();
    while next < orders.len() || !open.is_empty() {
        while next < orders.len() && orders[next].at <= world.now - begun {
            world.submit_to(QUEUES[orders[next].queue], next as u64 + 1, orders[next].spec());
            open.push(next);
            next += 1;
        }
        if world.now - listed >= LIST {
            listed = world.now;
            world.list_vms();
        }
        world.run(STEP);
        open.retain(|&number| {
            let order = &orders[number];
            let job = &world.cell.jobs()[&(number as u64 + 1)];
            if job.shown != Outcome::Complete {
                return true;
            }
            if world.now - begun <= order.at + order.due() {
                in_time.insert(number);
            }
            false
        });
    }
    Share::new(orders, &in_time)
}

/// The same, had every VM been where it is needed: the earliest due first, on all cores at once.
fn bound(orders: &[Order]) -> Share {
    let room = (VMS * 3) as f64 * f64::from(MILLICORES) / 1_000.0;
    let mut left: IndexMap<usize, (usize, f64)> = IndexMap::new();
    let (mut now, mut next) = (Duration::ZERO, 0);
    let mut in_time = IndexSet::new();
    while next < orders.len() || !left.is_empty() {
        while next < orders.len() && orders[next].at <= now {
            left.insert(next, (orders[next].steps, 1.0));
            next += 1;
        }
        now += STEP;
        let mut free = room;
        let mut by_due: Vec<usize> = left.keys().copied().collect();
        by_due.sort_by_key(|&number| orders[number].at + orders[number].due());
        for number in by_due {
            let order = &orders[number];
            let share = (free / order.cores()).min(1.0);
            free -= share * order.cores();
            let (steps, rest) = &mut left[&number];
            *rest -= share * STEP.as_secs_f64();
            if *rest > 0.0 {
                continue;
            }
            (*steps, *rest) = (*steps - 1, 1.0);
            if *steps == 0 {
                left.swap_remove(&number);
                if now <= order.at + order.due() {
                    in_time.insert(number);
                }
            }
        }
    }
    Share::new(orders, &in_time)
}

#[test]
fn turns_that_ask_for_more_than_their_pools_are_nearly_all_in_time() {
    for seed in 0..4 {
        let orders = turns(seed, Duration::from_secs(8), 6, 280.0);
        let (got, bound) = (play(&orders).all, bound(&orders).all);
        println!("seed {seed}: {got:.3} of the work in time, bound {bound:.3}");
        assert!(got >= 0.9 * bound, "seed {seed}: {got:.3} of the work in time, bound {bound:.3}");
    }
}

#[test]
fn late_work_of_one_service_leaves_the_next_one_its_vms() {
    for seed in 0..4 {
        let mut orders = turns(seed, Duration::from_secs(8), 2, 280.0);
        let flood = (0..60).map(|number| Order {
            at: Duration::from_millis(6_000 + number),
            queue: 0,
            tasks: 8,
            millicores: 1_500,
            steps: 2,
        });
        orders.extend(flood);
        orders.sort_by_key(|order| order.at);
        let (got, bound) = (play(&orders).of[1], bound(&orders).of[1]);
        println!("seed {seed}: {got:.3} of the second turn in time, bound {bound:.3}");
        assert!(got >= 0.9 * bound, "seed {seed}: {got:.3} of the second turn, bound {bound:.3}");
    }
}
