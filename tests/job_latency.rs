//! Estimate of a server's answer time.

use {
    carobhitch::job::latency::{Latency, MAX_ESTIMATE},
    std::time::{Duration, Instant},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Has a call answered `took` after it was sent at `sent`.
fn answer(latency: &mut Latency, sent: Instant, wait: Duration, took: Duration) {
    let number = latency.sent(sent, wait);
    latency.answered(sent + took, number);
}

#[test]
fn a_late_answer_counts_for_three_seconds() {
    let (mut latency, start) = (Latency::default(), Instant::now());
    answer(&mut latency, start, ms(0), ms(4));
    assert_eq!(latency.delay(start + ms(4)), ms(0));
    answer(&mut latency, start, ms(0), ms(800));
    answer(&mut latency, start + ms(1_000), ms(0), ms(4));
    assert_eq!(latency.delay(start + ms(3_700)), ms(800));
    assert_eq!(latency.delay(start + ms(3_900)), ms(0));
}

#[test]
fn an_outstanding_call_shows_that_answers_take_as_long_as_its_age() {
    let (mut latency, start) = (Latency::default(), Instant::now());
    answer(&mut latency, start, ms(0), ms(4));
    latency.sent(start + ms(10), ms(0));
    assert_eq!(latency.estimate(start + ms(710)), ms(700));
    assert_eq!(latency.estimate(start + ms(60_000)), MAX_ESTIMATE);
}

#[test]
fn a_lost_answer_and_a_server_out_of_reach_are_not_slow() {
    let (mut latency, start) = (Latency::default(), Instant::now());
    latency.sent(start, ms(0));
    answer(&mut latency, start + ms(200), ms(0), ms(4));
    assert_eq!(latency.delay(start + ms(900)), ms(0));
    latency.sent(start + ms(300), ms(0));
    assert_eq!(latency.delay(start + ms(900)), ms(600));
    latency.unreachable();
    assert_eq!(latency.delay(start + ms(900)), ms(0));
}

#[test]
fn of_a_read_that_waits_only_the_time_beyond_the_wait_counts() {
    let (mut latency, start) = (Latency::default(), Instant::now());
    answer(&mut latency, start, ms(900), ms(300));
    assert_eq!(latency.estimate(start + ms(300)), ms(0));
    answer(&mut latency, start + ms(300), ms(900), ms(1_700));
    assert_eq!(latency.estimate(start + ms(2_000)), ms(800));
    let waiting = latency.sent(start + ms(2_000), ms(900));
    assert_eq!(latency.estimate(start + ms(3_900)), ms(1_000));
    latency.abandoned(waiting);
    assert_eq!(latency.estimate(start + ms(3_900)), ms(800));
}
