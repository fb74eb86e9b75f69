//! Retries of failed attempts, and ejection of failing endpoints.

use {
    carobhitch::{
        eject::{Monitor, Source},
        request::{Class, Outcome},
        retry::{Attempt, Budget, Failure, Limits, Verdict, time_left},
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

const RUN: Duration = Duration::from_millis(50);

fn attempt(now: Instant, class: Class, failure: Failure) -> Attempt {
    let deadline = now + Duration::from_secs(2);
    Attempt { class, number: 1, may_have_run: false, deadline, failure }
}

fn monitor(endpoints: usize) -> (Monitor, Vec<String>) {
    let vms: Vec<_> = (0..endpoints).map(|index| format!("vm-{index}")).collect();
    let mut monitor = Monitor::default();
    monitor.set_endpoints(IndexMap::from([(String::from("quote"), vms.clone())]));
    (monitor, vms)
}

fn fail_all(monitor: &mut Monitor, now: Instant, vms: &[String]) {
    for vm in vms {
        (0..10).for_each(|_| {
            monitor.fail(now, vm);
        });
    }
}

#[test]
fn an_order_is_retried_only_if_it_certainly_did_not_run() {
    let now = Instant::now();
    let mut budget = Budget::new(Limits::default());
    let mut decide = |failure| budget.decide(now, &attempt(now, Class::Order, failure), RUN);
    assert_eq!(decide(Failure::NotSent), Verdict::Retry);
    assert_eq!(decide(Failure::Refused), Verdict::Retry);
    assert_eq!(decide(Failure::Lost), Verdict::Answer(Outcome::Unknown));
    assert_eq!(decide(Failure::Answered), Verdict::Answer(Outcome::Failed));
}

#[test]
fn retries_add_at_most_a_tenth_to_the_load_when_every_endpoint_fails() {
    let now = Instant::now();
    for failure in [Failure::NotSent, Failure::Refused, Failure::Lost, Failure::Answered] {
        let mut budget = Budget::new(Limits::default());
        (0..1000).for_each(|_| budget.succeed());
        let mut sent = 0;
        for _ in 0..100 {
            let mut attempt = attempt(now, Class::Quick, failure);
            sent += 1;
            while budget.decide(now, &attempt, RUN) == Verdict::Retry {
                attempt.number += 1;
                sent += 1;
            }
        }
        assert!(sent <= 110, "{sent} attempts at 100 requests");
    }
}

#[test]
fn a_retry_that_could_not_end_in_time_is_not_made() {
    let now = Instant::now();
    let mut budget = Budget::new(Limits::default());
    let attempt = attempt(now, Class::Quick, Failure::Lost);
    let late = attempt.deadline - RUN / 2;
    assert_eq!(budget.decide(late, &attempt, RUN), Verdict::Answer(Outcome::Unknown));
    assert_eq!(time_left(now, now + RUN, RUN * 2), None);
    assert_eq!(time_left(now, now + RUN * 3, RUN), Some(RUN * 2));
}

#[test]
fn not_run_is_never_reported_if_an_earlier_attempt_may_have_run() {
    let now = Instant::now();
    let mut budget = Budget::new(Limits::default());
    let mut last = attempt(now, Class::Quick, Failure::Refused);
    last.number = Limits::default().attempts;
    assert_eq!(budget.decide(now, &last, RUN), Verdict::Answer(Outcome::NotRun));
    last.may_have_run = true;
    assert_eq!(budget.decide(now, &last, RUN), Verdict::Answer(Outcome::Unknown));
}

#[test]
fn an_endpoint_that_fails_everything_is_ejected_and_probed() {
    let (mut monitor, vms) = monitor(10);
    let mut now = Instant::now();
    fail_all(&mut monitor, now, &vms[..1]);
    assert!(monitor.is_ejected(&vms[0]));
    assert!(monitor.tick(now).is_empty());
    now += Duration::from_secs(1);
    assert_eq!(monitor.tick(now), vms[..1]);
    monitor.probed(now, &vms[0], false);
    now += Duration::from_secs(1);
    assert!(monitor.tick(now).is_empty(), "the interval grew");
    now += Duration::from_secs(1);
    assert_eq!(monitor.tick(now), vms[..1]);
    monitor.probed(now, &vms[0], true);
    assert!(monitor.is_usable(&vms[0]));
}

#[test]
fn ejections_are_limited_to_a_share_of_the_endpoints() {
    for (endpoints, most) in [(1, 0), (2, 0), (3, 1), (8, 2), (12, 4)] {
        let (mut monitor, vms) = monitor(endpoints);
        fail_all(&mut monitor, Instant::now(), &vms);
        let ejected = vms.iter().filter(|vm| monitor.is_ejected(vm)).count();
        assert_eq!(ejected, most, "of {endpoints}");
    }
}

#[test]
fn an_unresponsive_connection_ejects_its_endpoint_only_after_a_failed_probe() {
    let (mut monitor, vms) = monitor(10);
    let now = Instant::now();
    assert!(monitor.suspect(now, &vms[0]));
    assert!(!monitor.suspect(now, &vms[0]), "one probe at a time");
    assert!(monitor.is_usable(&vms[0]));
    monitor.probed(now, &vms[0], true);
    assert!(monitor.is_usable(&vms[0]));
    assert!(monitor.suspect(now, &vms[0]));
    monitor.tick(now + Duration::from_secs(1));
    assert!(monitor.is_ejected(&vms[0]), "the probe got no answer either");
}

#[test]
fn an_endpoint_is_unusable_while_any_source_reports_that_it_is_leaving() {
    for source in [Source::Drain, Source::Platform, Source::Endpoint] {
        let (mut monitor, vms) = monitor(2);
        monitor.set_leaving(&vms[0], source, true);
        assert!(!monitor.is_usable(&vms[0]));
        monitor.set_leaving(&vms[0], source, false);
        assert!(monitor.is_usable(&vms[0]));
    }
}
