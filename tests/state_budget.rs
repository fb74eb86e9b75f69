//! State machine: budget windows, spans of unavailability, and the audit trail.

use {
    carobhitch::{
        budget::Cause,
        record::Body,
        state::{Reason, Verdict},
    },
    fleet::{Log, START, assert_accepted, declaration, expect_rejected},
    std::time::Duration,
};

mod fleet;

const DAY: Duration = Duration::from_secs(24 * 3600);

/// Two VMs, of whose time a thousandth may be lost in 30 days: 5,184 s.
fn strict() -> Log {
    let mut strict = declaration(2, 1);
    strict.services["s"].budget.target_ppm = 999_000;
    let mut log = Log::new(strict, &["e"]);
    assert_accepted(log.acquire("e", 1));
    log
}

fn health(log: &mut Log, lost: &[&str], found: &[&str]) -> Verdict {
    let names = |vms: &[&str]| vms.iter().map(|vm| (*vm).to_owned()).collect();
    let as_of = START + log.now;
    log.fenced(Body::Health { as_of, lost: names(lost), found: names(found) })
}

fn drain(log: &mut Log, vm: &str) -> Verdict {
    log.add(Body::Drain { vm: vm.into() })
}

#[test]
fn a_failure_that_spends_the_budget_blocks_drains_until_the_window_has_passed() {
    let mut log = strict();
    assert_accepted(health(&mut log, &["p0"], &[]));
    log.now += Duration::from_secs(5000);
    assert_accepted(health(&mut log, &[], &["p0"]));
    assert_accepted(drain(&mut log, "p1"));
    log.now += Duration::from_secs(200);
    assert_accepted(log.add(Body::Return { vm: "p1".into() }));
    let Reason::Burnt { spent_secs, allowed_secs, .. } = expect_rejected(drain(&mut log, "p1"))
    else {
        panic!("the drain was rejected for another reason")
    };
    assert!(spent_secs >= 5200, "{spent_secs}");
    assert_eq!(allowed_secs, 5184);
    log.now += 32 * DAY;
    assert_accepted(drain(&mut log, "p1"));
}

#[test]
fn a_span_names_its_cause_and_the_records_that_began_and_ended_it() {
    let mut log = strict();
    assert_accepted(health(&mut log, &["p0"], &[]));
    assert_accepted(health(&mut log, &[], &["p0"]));
    assert_accepted(drain(&mut log, "p1"));
    let spans: Vec<_> = log.state.ledger.all_spans().collect();
    assert_eq!((&spans[0].cause, spans[0].began, spans[0].ended), (&Cause::Failure, 3, Some(4)));
    assert_eq!((&spans[1].cause, spans[1].began, spans[1].ended), (&Cause::Operator, 5, None));
    assert_eq!(spans[0].to, Some(spans[0].from + Duration::from_secs(1)));
}

#[test]
fn a_list_that_is_not_newer_is_rejected() {
    let mut log = strict();
    assert_accepted(health(&mut log, &["p0"], &[]));
    let as_of = log.state.listed;
    let old = Body::Health { as_of, lost: Vec::new(), found: vec!["p0".into()] };
    assert_eq!(expect_rejected(log.fenced(old)), Reason::OldList);
    assert!(log.state.lost.contains_key("p0"));
    let unfenced = Body::Health { as_of: as_of * 2, lost: Vec::new(), found: Vec::new() };
    assert_eq!(expect_rejected(log.add(unfenced)), Reason::Unfenced);
}

#[test]
fn the_audit_trail_names_the_author_the_request_and_the_verdict() {
    let mut log = strict();
    assert_accepted(drain(&mut log, "p0"));
    let refused = drain(&mut log, "p1");
    let newest: Vec<_> = log.state.history.events.iter().rev().take(2).collect();
    assert_eq!((newest[0].summary.as_str(), &newest[0].verdict), ("drain p1", &refused));
    assert_eq!((newest[1].summary.as_str(), newest[1].author.as_str()), ("drain p0", "test"));
    assert_eq!(newest[1].offset + 1, newest[0].offset);
}
