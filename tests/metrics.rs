//! Tests of the metrics as a StatsD server receives them.

#![allow(clippy::unwrap_used)]

use {
    carobhitch::{
        metrics::{Direction, Metrics},
        request::{Class, Outcome},
    },
    std::{collections::BTreeSet, net::UdpSocket, time::Duration},
};

#[test]
fn metrics_reach_a_statsd_server() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let address = server.local_addr().unwrap();
    let metrics = Metrics::open(Some(address), &String::from("entry.a")).unwrap();
    metrics.admitted(Class::Quick);
    metrics.refused("full");
    metrics.answered(Outcome::NotRun);
    metrics.waited(Class::Watch, Duration::from_millis(7));
    metrics.retried();
    metrics.in_flight(3);
    metrics.applied(12);
    metrics.control_bytes(Direction::Sent, 99);
    metrics.held(4, 5);
    metrics.limited("closed_connections", 6);
    let expected = BTreeSet::from(
        [
            "admitted.quick:1|c",
            "refused.full:1|c",
            "answered.not-run:1|c",
            "wait.watch:7|ms",
            "retried:1|c",
            "in_flight:3|g",
            "applied:12|g",
            "control_bytes.sent:99|c",
            "intake.connections:4|g",
            "intake.body_bytes:5|g",
            "intake.closed_connections:6|c",
        ]
        .map(|line| format!("carobhitch.entry_a.{line}")),
    );
    let mut received = BTreeSet::new();
    let mut buffer = [0; 2048];
    while received.len() < expected.len() {
        metrics.flush();
        if let Ok(length) = server.recv(&mut buffer) {
            let text = std::str::from_utf8(&buffer[..length]).unwrap();
            received.extend(text.lines().map(String::from));
        }
    }
    assert_eq!(received, expected);
}

#[test]
fn metrics_without_an_address_are_dropped() {
    let metrics = Metrics::open(None, &String::from("entry-a")).unwrap();
    metrics.admitted(Class::Order);
    metrics.flush();
}
