//! Rights that last for some time, across suspensions of the VM.
//!
//! The monotonic clock stands still during a suspension. An owner that measured on it would act on
//! VMs after a suspension in which another entry has claimed the cell.

use {
    carobhitch::job::{
        claim::{CLAIM_TIMEOUT, Confirmation},
        clock::Clock,
    },
    std::time::{Duration, Instant},
};

const SUSPENSION: Duration = Duration::from_secs(5);

/// Clock that begins now, an hour after the VM booted.
fn clock() -> (Clock, Duration) {
    let booted = Duration::from_secs(3_600);
    (Clock::new(Instant::now(), booted), booted)
}

#[test]
fn the_clock_advances_while_the_vm_is_suspended() {
    let (clock, booted) = clock();
    assert_eq!(clock.at(booted + SUSPENSION) - clock.at(booted), SUSPENSION);
}

#[test]
fn an_answer_that_arrives_after_a_suspension_confirms_nothing() {
    let (clock, booted) = clock();
    let sent = clock.at(booted);
    let resumed = clock.at(booted + SUSPENSION);
    let mut confirmation = Confirmation::default();
    confirmation.record(sent, 8);
    assert!(!confirmation.is_exclusive(resumed));
    assert!(!confirmation.is_recent(resumed, Duration::ZERO));
}

#[test]
fn a_confirmation_ends_before_another_entry_can_claim_the_cell() {
    let (clock, booted) = clock();
    let mut confirmation = Confirmation::default();
    assert!(!confirmation.is_exclusive(clock.at(booted)));
    confirmation.record(clock.at(booted), 8);
    assert!(confirmation.is_exclusive(clock.at(booted + CLAIM_TIMEOUT / 2)));
    assert!(!confirmation.is_exclusive(clock.at(booted + CLAIM_TIMEOUT)));
    let newer = clock.at(booted + CLAIM_TIMEOUT);
    confirmation.record(newer, 12);
    confirmation.record(clock.at(booted), 10);
    assert_eq!(confirmation.sent(), Some(newer), "an older answer changes nothing");
    assert_eq!(confirmation.newest_fence(), 12, "a claim at the offset 12 has the epoch 13");
}
