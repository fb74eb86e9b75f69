//! Which answer a caller gets whose request was sent more than once.

#![allow(clippy::unwrap_used)]

use {
    carobhitch::job::{answer::Answer, attempt::Attempts, ledger::Outcome},
    std::time::Duration,
};

fn unknown() -> Answer {
    Answer::Unknown("the owner has ended".into())
}

/// Answers that say that a request can't be served.
fn denials() -> Vec<Answer> {
    let malformed = Answer::Malformed("the name is too short".into());
    vec![Answer::NoQueue, Answer::UnknownKey, Answer::NameInUse, malformed]
}

/// Refusals for want of room, or of a ledger.
fn refusals() -> Vec<Answer> {
    let (why, retry_after) = (String::from("no room"), Duration::from_secs(1));
    let over_rate = Answer::OverRate { why: why.clone(), retry_after };
    vec![Answer::Refused { why, retry_after }, over_rate]
}

/// Guards against a job that runs though its caller was told that there is no such queue: the first
/// attempt was stored, and the route went before the second one.
#[test]
fn a_denial_after_an_unknown_outcome_is_not_passed_on() {
    for denial in denials() {
        let mut attempts = Attempts::new(true);
        assert_eq!(attempts.decide(unknown(), true), None);
        let answer = attempts.decide(denial.clone(), true).unwrap();
        assert_eq!(answer.status(), 504, "{denial}");
        assert!(answer.to_string().contains(&denial.to_string()), "{answer}");
    }
}

/// The same where other attempts reached no owner, or were refused, in between.
#[test]
fn a_denial_is_not_passed_on_however_many_attempts_came_before() {
    for between in refusals().into_iter().chain([Answer::NoOwner("none".into()), unknown()]) {
        let mut attempts = Attempts::new(true);
        assert_eq!(attempts.decide(unknown(), true), None);
        assert_eq!(attempts.decide(between.clone(), false), None, "{between}");
        assert_eq!(attempts.decide(Answer::NoQueue, true).map(|a| a.status()), Some(504));
    }
}

#[test]
fn a_denial_of_a_first_attempt_is_final() {
    for denial in denials() {
        let mut attempts = Attempts::new(true);
        assert_eq!(attempts.decide(Answer::NoOwner("none".into()), true), None);
        assert_eq!(attempts.decide(denial.clone(), true), Some(denial));
    }
}

/// What was not looked at for want of memory says nothing about an earlier attempt or request, and tells the
/// caller when to return. It is not sent again: that would need memory too.
#[test]
fn an_overloaded_owner_or_entry_claims_nothing_about_earlier_requests() {
    let overloaded = Answer::overloaded("no memory");
    assert_eq!(overloaded.status(), 504);
    assert_eq!(overloaded.retry_after(), Some(Duration::from_secs(1)));
    assert!(!overloaded.is_denial());
    for before in [None, Some(unknown())] {
        let mut attempts = Attempts::new(true);
        if let Some(answer) = before {
            assert_eq!(attempts.decide(answer, true), None);
        }
        assert_eq!(attempts.decide(overloaded.clone(), true), Some(overloaded.clone()));
    }
}

#[test]
fn a_query_gets_the_newest_answer() {
    for denial in denials() {
        let mut attempts = Attempts::new(false);
        assert_eq!(attempts.decide(unknown(), true), None);
        assert_eq!(attempts.decide(denial.clone(), true), Some(denial));
    }
}

#[test]
fn what_is_known_after_an_unknown_outcome_is_passed_on() {
    let state = Answer::State { outcome: Outcome::Open, started: true };
    for answer in [Answer::Accepted, Answer::Cancelled, Answer::NoJob, state] {
        let mut attempts = Attempts::new(true);
        assert_eq!(attempts.decide(unknown(), true), None);
        assert_eq!(attempts.decide(answer.clone(), true), Some(answer));
    }
}

#[test]
fn a_refusal_after_an_unknown_outcome_has_the_request_sent_again() {
    for refusal in refusals() {
        let mut attempts = Attempts::new(true);
        assert_eq!(attempts.decide(refusal.clone(), true), Some(refusal.clone()));
        let mut attempts = Attempts::new(true);
        assert_eq!(attempts.decide(unknown(), true), None);
        assert_eq!(attempts.decide(refusal, true), None);
        assert_eq!(attempts.give_up(), unknown());
    }
}

#[test]
fn a_request_that_no_owner_received_waits_for_a_takeover_only() {
    let no_owner = || Answer::NoOwner("none".into());
    let mut attempts = Attempts::new(true);
    assert_eq!(attempts.decide(no_owner(), true), None);
    assert_eq!(attempts.decide(no_owner(), false).map(|answer| answer.status()), Some(503));
    assert_eq!(Attempts::new(true).give_up().status(), 503);
}
