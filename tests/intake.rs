//! Tests of the decisions about what callers may hold: connections and memory for bodies.

#![allow(clippy::unwrap_used)]

use {
    carobhitch::intake::{Connections, Error, Guard, Limits, Memory, Pace},
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits on a VM of 64 MB.
fn limits() -> Limits {
    Limits::new(64_000_000, 4_100, 128 << 10)
}

#[test]
fn a_new_connection_replaces_the_one_that_has_waited_for_longest() {
    let now = Instant::now();
    let mut connections = Connections::new(3, 1, BODY_TIMEOUT);
    let ids: Vec<_> = (0..3).map(|n| connections.open(now + SECOND * n).unwrap().0).collect();
    connections.handle(ids[0]);
    let (fourth, closed) = connections.open(now + SECOND * 4).unwrap();
    assert_eq!(closed, Some(ids[1]), "the first one's request is handled");
    connections.wait(ids[0], now + SECOND * 5);
    let (_, closed) = connections.open(now + SECOND * 6).unwrap();
    assert_eq!(closed, Some(ids[2]));
    let (_, closed) = connections.open(now + SECOND * 7).unwrap();
    assert_eq!(closed, Some(fourth), "an answer restarts the time of the first one");
    assert_eq!(connections.count(), 3);
}

#[test]
fn no_connection_is_closed_while_its_request_is_handled() {
    let now = Instant::now();
    let mut connections = Connections::new(2, 1, BODY_TIMEOUT);
    for _ in 0..2 {
        let (id, _) = connections.open(now).unwrap();
        connections.handle(id);
    }
    assert!(!connections.has_room(now));
    assert_eq!(connections.open(now), Err(Error::Connections(2)));
    connections.close(1);
    assert!(connections.has_room(now));
    assert_eq!(connections.open(now).unwrap().1, None);
}

#[test]
fn only_the_excess_of_stalled_responses_is_closed() {
    let now = Instant::now();
    let mut connections = Connections::new(64, 4, BODY_TIMEOUT);
    let ids: Vec<_> = (0..10).map(|_| connections.open(now).unwrap().0).collect();
    for (n, id) in (0..).zip(&ids[..6]) {
        connections.send(*id, now + SECOND * n);
    }
    let at = now + SECOND * 6;
    assert_eq!(
        connections.close_stalled(at),
        ids[..2],
        "64 connections may have four stalled ones"
    );
    connections.send(ids[2], at);
    assert_eq!(connections.close_stalled(at), Vec::<u64>::new(), "its caller has taken some");
    assert_eq!(connections.count(), 8, "idle connections have not stalled");
}

#[test]
fn requests_that_arrive_too_slowly_are_closed_once_they_are_passed_on() {
    let now = Instant::now();
    let mut connections = Connections::new(64, 4, BODY_TIMEOUT);
    let ids: Vec<_> = (0..3).map(|_| connections.open(now).unwrap().0).collect();
    connections.receive(ids[0], now);
    assert_eq!(connections.close_stalled(now + BODY_TIMEOUT), Vec::<u64>::new(), "not passed on");
    ids.iter().for_each(|&id| connections.handle(id));
    connections.receive(ids[0], now);
    connections.receive(ids[1], now);
    connections.received(ids[1]);
    let just_before = now + BODY_TIMEOUT - Duration::from_millis(1);
    assert_eq!(connections.close_stalled(just_before), Vec::<u64>::new());
    assert_eq!(connections.close_stalled(now + BODY_TIMEOUT), ids[..1]);
    connections.send(ids[2], now + BODY_TIMEOUT);
    connections.receive(ids[2], now);
    let at = now + BODY_TIMEOUT * 2;
    assert_eq!(connections.close_stalled(at), Vec::<u64>::new(), "its response is taken");
}

#[test]
fn no_connection_is_closed_while_its_caller_sends_or_takes_in_time() {
    let now = Instant::now();
    let mut connections = Connections::new(2, 1, BODY_TIMEOUT);
    let ids: Vec<_> = (0..2).map(|_| connections.open(now).unwrap().0).collect();
    ids.iter().for_each(|&id| connections.handle(id));
    connections.send(ids[0], now);
    connections.receive(ids[1], now - Duration::from_millis(100));
    let at = now + Duration::from_millis(399);
    assert!(!connections.has_room(at));
    assert_eq!(connections.open(at), Err(Error::Connections(2)));
    let at = now + Duration::from_millis(400);
    assert!(connections.has_room(at));
    assert_eq!(connections.open(at).unwrap().1, Some(ids[1]), "it has stalled");
}

#[test]
fn requests_and_responses_that_stall_are_counted_together() {
    let now = Instant::now();
    let mut connections = Connections::new(2, 1, BODY_TIMEOUT);
    let ids: Vec<_> = (0..2).map(|_| connections.open(now).unwrap().0).collect();
    ids.iter().for_each(|&id| connections.handle(id));
    assert!(!connections.has_room(now));
    connections.send(ids[0], now + SECOND);
    connections.receive(ids[1], now);
    assert_eq!(connections.close_stalled(now + SECOND * 2), ids[1..]);
    let (_, closed) = connections.open(now + SECOND * 2).unwrap();
    assert_eq!(closed, None);
}

#[test]
fn a_caller_that_sends_slower_than_the_rate_falls_behind() {
    let start = Instant::now();
    let mut pace = Pace::new(1_000);
    let mut now = start;
    for _ in 0..10 {
        assert_eq!(pace.wait(now), start, "nothing is made up for");
        now += SECOND;
        pace.receive(now, 0);
    }
    pace.receive(now, 4_000);
    assert_eq!(pace.wait(now), now - SECOND * 6);
    pace.receive(now, 100_000);
    now += SECOND;
    assert_eq!(
        pace.wait(now),
        now,
        "a fast part gains nothing, nor does the time until it is read cost"
    );
    assert_eq!(pace.wait(now + SECOND), now);
}

#[test]
fn the_body_that_has_been_arriving_for_longest_gives_way() {
    let now = Instant::now();
    let mut memory = Memory::new(100);
    let [first, second, third] = [0, 1, 2].map(|n| memory.begin(now + SECOND * n));
    assert_eq!(memory.reserve(first, 40), Ok(vec![]));
    assert_eq!(memory.reserve(second, 60), Ok(vec![]));
    assert_eq!(memory.reserve(third, 30), Ok(vec![first]));
    assert_eq!(memory.reserve(first, 50), Err(Error::Displaced));
    assert_eq!(memory.used_bytes(), 90);
}

#[test]
fn a_whole_body_keeps_its_memory_and_others_are_refused() {
    let now = Instant::now();
    let mut memory = Memory::new(100);
    let (whole, new) = (memory.begin(now), memory.begin(now));
    assert_eq!(memory.reserve(whole, 80), Ok(vec![]));
    memory.complete(whole);
    assert_eq!(memory.reserve(new, 30), Err(Error::Memory(100)));
    assert_eq!(memory.reserve(new, 20), Ok(vec![]));
    memory.end(whole);
    assert_eq!(memory.reserve(new, 100), Ok(vec![]));
    assert_eq!(memory.reserve(new, 101), Err(Error::Memory(100)), "more than there is for all");
}

#[test]
fn what_is_dropped_frees_its_place() {
    let guard = Guard::new(limits());
    let connection = guard.connect().unwrap();
    let body = guard.begin_relayed_body();
    body.reserve(5_000).unwrap();
    assert_eq!((guard.connections(), guard.used_bytes()), (1, 5_000));
    drop((connection, body));
    assert_eq!((guard.connections(), guard.used_bytes()), (0, 0));
}

#[test]
fn refusals_and_closed_connections_are_counted() {
    let limits = Limits { connections: 1, body_memory: 10, ..limits() };
    let guard = Guard::new(limits);
    let waiting = guard.connect().unwrap();
    let handling = guard.connect().unwrap();
    handling.handle();
    assert!(guard.connect().is_err());
    assert_eq!(guard.begin_relayed_body().reserve(11), Err(Error::Memory(10)));
    let counts = guard.counts();
    assert_eq!((counts.closed_connections, counts.refused_connections), (1, 1));
    assert_eq!(counts.refused_bodies, 1);
    drop((waiting, handling));
    assert_eq!(guard.connections(), 0, "a connection that was closed for another ends once");
}

#[test]
fn small_bodies_on_connections_need_no_memory_of_others() {
    let guard = Guard::new(Limits { body_memory: 1, ..limits() });
    assert_eq!(guard.begin_body().reserve(8 << 10), Ok(()));
    assert!(guard.begin_body().reserve((8 << 10) + 2).is_err());
}

#[test]
fn limits_follow_from_the_size_of_the_vm() {
    let small = Limits::new(160_000_000, 4_100, 128 << 10);
    assert_eq!((small.connections, small.body_memory), (305, 10_000_000));
    let few_descriptors = Limits::new(160_000_000, 400, 128 << 10);
    assert_eq!(few_descriptors.connections, 100);
    let tiny = Limits::new(1_000_000, 10, 128 << 10);
    assert_eq!(tiny.connections, 16, "some connections are always served");
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(49), ..Config::default() })]

    #[test]
    fn connections_and_memory_stay_within_their_limits(
        steps in vec((0..8u8, 0..12u64, 0..60usize), 1..200),
    ) {
        let mut now = Instant::now();
        let mut connections = Connections::new(8, 2, BODY_TIMEOUT);
        let mut memory = Memory::new(100);
        for (step, id, bytes) in steps {
            now += SECOND / 4;
            match step {
                0 => drop(connections.open(now)),
                1 => connections.handle(id),
                2 => connections.send(id, now),
                3 => drop(memory.begin(now)),
                4 => drop(memory.reserve(id, bytes)),
                5 => connections.receive(id, now - SECOND / 8 * bytes as u32),
                6 => connections.received(id),
                _ if bytes % 3 == 0 => memory.end(id),
                _ if bytes % 3 == 1 => memory.complete(id),
                _ => drop(connections.close_stalled(now)),
            }
            prop_assert!(connections.count() <= 8);
            prop_assert!(memory.used_bytes() <= 100);
        }
    }
}
