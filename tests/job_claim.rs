//! When an entry claims the cell, and for how long its owner counts as healthy, by the log's delay.

use {
    carobhitch::job::{
        cell::RENEWAL_WINDOW,
        claim::{
            CLAIM_TIMEOUT, HEALTHY_TIME, HEARTBEAT_INTERVAL, Silence, delay_from_gap, healthy_time,
        },
        latency::{Latency, MAX_ESTIMATE},
    },
    std::time::{Duration, Instant},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_entry_claims_after_the_same_silence_as_ever_if_the_log_is_fast() {
    let mut silence = Silence::new(ms(40));
    assert_eq!(silence.missing(ms(0)), CLAIM_TIMEOUT + ms(40));
    silence.waited(CLAIM_TIMEOUT + ms(40));
    assert_eq!(silence.missing(ms(0)), ms(0));
}

#[test]
fn an_entry_waits_on_before_it_claims_once_it_sees_that_the_log_is_slow() {
    let mut silence = Silence::new(ms(40));
    silence.waited(silence.missing(ms(0)));
    assert_eq!(silence.missing(ms(800)), ms(1_600));
    silence.waited(ms(1_600));
    assert_eq!(silence.missing(ms(800)), ms(0));
    assert!(silence.missing(MAX_ESTIMATE) <= 2 * MAX_ESTIMATE, "the wait is bounded");
}

#[test]
fn an_owner_counts_as_healthy_for_longer_if_the_log_is_slow_but_not_beyond_its_renewals() {
    assert_eq!(healthy_time(ms(0)), HEALTHY_TIME);
    assert!(healthy_time(ms(800)) >= HEALTHY_TIME + 2 * ms(800));
    assert!(healthy_time(MAX_ESTIMATE) < RENEWAL_WINDOW);
}

#[test]
fn the_time_between_two_heartbeats_shows_that_the_log_is_slow_for_the_owner() {
    assert_eq!(delay_from_gap(HEARTBEAT_INTERVAL + ms(10)), ms(0));
    assert_eq!(delay_from_gap(HEARTBEAT_INTERVAL + ms(1_000)), ms(1_000));
    let (mut latency, start) = (Latency::default(), Instant::now());
    latency.observed(start, ms(1_000));
    assert_eq!(latency.delay(start + ms(1_500)), ms(1_000));
}
