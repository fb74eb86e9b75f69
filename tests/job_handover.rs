//! Hand-over of the cell to a preferred owner.

use {
    carobhitch::job::handover::Tenure,
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);

/// Tenure of an owner with 0.1 cores, and when it has lasted for 5 s.
fn tenure() -> (Tenure, Instant) {
    let since = Instant::now();
    (Tenure { cores: 0.1, since, last_handover: None }, since + 5 * SECOND)
}

#[test]
fn an_owner_hands_over_to_a_much_stronger_entry_only() {
    let (tenure, now) = tenure();
    assert!(tenure.should_end(now, 0.5));
    assert!(!tenure.should_end(now, 0.15));
    assert!(!tenure.should_end(now, 0.0), "no other entry is connected");
}

#[test]
fn a_new_owner_serves_for_a_while_first() {
    let (tenure, now) = tenure();
    assert!(!tenure.should_end(now - 4 * SECOND, 0.5));
}

#[test]
fn an_entry_hands_over_seldom_even_if_it_owns_the_cell_again_and_again() {
    let (tenure, now) = tenure();
    let again = |last| Tenure { last_handover: Some(last), ..tenure };
    assert!(!again(now - 10 * SECOND).should_end(now, 0.5));
    assert!(again(now - 40 * SECOND).should_end(now, 0.5));
}
