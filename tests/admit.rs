//! Admission control of one service's requests on one entry.

use {
    carobhitch::{
        admit::{Limits, Queue, Reason, Supply, Waiting},
        request::Class,
    },
    std::time::{Duration, Instant},
};

const SUPPLY: Supply = Supply { slots: 8 };
const RUN: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(2);

/// A queue and its running requests in simulated time.
struct Entry {
    now: Instant,
    queue: Queue,
    next: u64,
    running: Vec<(u64, Instant)>,
    started: Vec<Waiting>,
}

impl Entry {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            queue: Queue::new(Limits::default()),
            next: 0,
            running: Vec::new(),
            started: Vec::new(),
        }
    }

    fn offer(&mut self, team: &str, class: Class, deadline: Duration) -> Result<u64, Reason> {
        self.next += 1;
        let waiting = Waiting {
            id: self.next,
            team: team.to_owned(),
            class,
            arrived: self.now,
            deadline: self.now + deadline,
        };
        let offered = self.queue.offer(self.now, waiting, SUPPLY);
        offered.map(|()| self.next).map_err(|refusal| refusal.reason)
    }

    fn start(&mut self, run: Duration) {
        while self.running.len() < SUPPLY.slots as usize {
            let Some(waiting) = self.queue.take(self.now) else { break };
            self.running.push((waiting.id, self.now + run));
            self.started.push(waiting);
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        let ended = self.running.extract_if(.., |(_, end)| *end <= self.now).collect::<Vec<_>>();
        ended.into_iter().for_each(|(id, _)| self.queue.finish(self.now, id));
    }

    fn started_by(&self, team: &str) -> usize {
        self.started.iter().filter(|waiting| waiting.team == team).count()
    }
}

#[test]
fn a_request_that_cannot_finish_in_time_is_refused_at_once() {
    let mut entry = Entry::new();
    let outcomes: Vec<_> = (0..1000).map(|_| entry.offer("a", Class::Quick, DEADLINE)).collect();
    let accepted = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    assert!((100..=320).contains(&accepted), "{accepted} accepted");
    assert_eq!(outcomes.last(), Some(&Err(Reason::Overload)));
}

#[test]
fn an_accepted_request_starts_in_time_under_steady_overload() {
    let mut entry = Entry::new();
    for _ in 0..200 {
        for _ in 0..40 {
            let _ = entry.offer("a", Class::Quick, DEADLINE);
        }
        entry.start(RUN);
        entry.pass(RUN);
        assert!(entry.queue.expire(entry.now).is_empty());
    }
    assert_eq!(entry.started.len(), 200 * 8);
}

#[test]
fn teams_share_by_weight_and_a_lone_team_gets_everything() {
    let mut entry = Entry::new();
    entry.queue.set_weight(&String::from("b"), 3);
    for step in 0..400 {
        for _ in 0..20 {
            let _ = entry.offer("a", Class::Quick, DEADLINE);
            if step < 200 {
                let _ = entry.offer("b", Class::Quick, DEADLINE);
            }
        }
        entry.start(RUN);
        entry.pass(RUN);
        if step == 199 {
            let (a, b) = (entry.started_by("a"), entry.started_by("b"));
            assert!(a * 30 > b * 9 && a * 30 < b * 11, "a started {a}, b {b}");
        }
    }
    assert_eq!(entry.started.len(), 400 * 8);
}

#[test]
fn watches_leave_slots_to_quick_requests() {
    let mut entry = Entry::new();
    for _ in 0..20 {
        entry.offer("a", Class::Watch, Duration::from_secs(600)).expect("fits the long deadline");
    }
    entry.start(Duration::from_secs(20));
    assert_eq!(entry.started.len(), 4, "half of the slots");
    entry.offer("a", Class::Quick, DEADLINE).expect("a slot is free");
    entry.start(RUN);
    assert_eq!(entry.started.last().map(|w| w.class), Some(Class::Quick));
}

#[test]
fn watches_keep_their_share_while_quick_requests_overload() {
    let mut entry = Entry::new();
    for _ in 0..100 {
        for _ in 0..40 {
            let _ = entry.offer("a", Class::Quick, DEADLINE);
        }
        let _ = entry.offer("a", Class::Watch, Duration::from_secs(60));
        entry.start(RUN);
        entry.pass(RUN);
    }
    let watches = entry.started.iter().filter(|w| w.class == Class::Watch).count();
    assert!(watches >= 90, "{watches} watches started");
}

#[test]
fn orders_and_quick_requests_share_evenly() {
    let mut entry = Entry::new();
    for _ in 0..100 {
        for _ in 0..40 {
            let _ = entry.offer("a", Class::Quick, DEADLINE);
            let _ = entry.offer("a", Class::Order, DEADLINE);
        }
        entry.start(RUN);
        entry.pass(RUN);
    }
    let orders = entry.started.iter().filter(|w| w.class == Class::Order).count();
    assert!((390..=410).contains(&orders), "{orders} of 800 were orders");
}

#[test]
fn waiting_requests_are_given_up_as_soon_as_runs_take_too_long() {
    let mut entry = Entry::new();
    for _ in 0..100 {
        entry.offer("a", Class::Quick, DEADLINE).expect("fits the expected run time");
    }
    entry.start(Duration::from_secs(10));
    entry.pass(Duration::from_millis(500));
    let given_up = entry.queue.expire(entry.now);
    assert!(!given_up.is_empty());
    assert!(given_up.iter().all(|(waiting, _)| waiting.deadline > entry.now));
}

#[test]
fn a_cancelled_request_never_starts() {
    let mut entry = Entry::new();
    let id = entry.offer("a", Class::Quick, DEADLINE).expect("empty queue");
    assert!(entry.queue.cancel(id));
    assert!(!entry.queue.cancel(id));
    entry.start(RUN);
    assert!(entry.started.is_empty());
}

#[test]
fn a_late_request_and_a_service_without_endpoint_are_refused() {
    let mut entry = Entry::new();
    assert_eq!(entry.offer("a", Class::Quick, Duration::ZERO), Err(Reason::Late));
    let waiting = Waiting {
        id: 9,
        team: String::from("a"),
        class: Class::Quick,
        arrived: entry.now,
        deadline: entry.now + DEADLINE,
    };
    let refusal = entry.queue.offer(entry.now, waiting, Supply { slots: 0 });
    assert_eq!(refusal.map_err(|r| r.reason), Err(Reason::NoEndpoint));
}
