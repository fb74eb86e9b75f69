//! Requests of callers while entries are killed, paused, stopped and started.

mod fleet;

use {
    carobhitch::record::Body,
    carobhitch_standin::fault,
    fleet::{Fleet, run, wait},
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread::sleep,
        time::Duration,
    },
};

/// Name, entries and endpoints of each availability zone.
const ZONES: &[(&str, usize, usize)] = &[("a", 2, 2), ("b", 1, 1)];
/// Duration of a load.
const LOAD_TIME: Duration = Duration::from_secs(4);

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

#[test]
fn a_killed_entry_loses_no_request_and_doubles_no_order() {
    let mut fleet = Fleet::start("killed", ZONES);
    let report = run(fleet.load(LOAD_TIME, &[0]), || {
        sleep(secs(1.0));
        fleet.entries[0].kill();
    });
    assert!(report.passed(), "{report}");
}

#[test]
fn an_entry_killed_and_restarted_without_state_doubles_no_order() {
    let mut fleet = Fleet::start("restarted", ZONES);
    let report = run(fleet.load(LOAD_TIME, &[0]), || {
        for _ in 0..2 {
            sleep(secs(1.0));
            fleet.entries[0].restart();
        }
    });
    assert!(report.passed(), "{report}");
    assert_eq!(
        report.rows["watch"].retries, 0,
        "a watch waited for slots that no entry held: {report}"
    );
    wait("the restarted entry to be ready", || fleet.entries[0].is_ready());
}

#[test]
fn a_paused_entry_doubles_no_order_when_it_resumes() {
    let fleet = Fleet::start("paused", ZONES);
    let report = run(fleet.load(secs(6.0), &[0]), || {
        sleep(secs(1.0));
        fleet.entries[0].signal("STOP");
        sleep(secs(3.0));
        fleet.entries[0].signal("CONT");
    });
    assert_eq!(report.audit.doubled, 0, "{report}");
    assert_eq!(report.audit.false_not_run, 0, "{report}");
    assert!(report.audit.most_in_flight <= 8, "{report}");
}

#[test]
fn a_planned_stop_cuts_no_request_and_exits_successfully() {
    let mut fleet = Fleet::start("stopped", ZONES);
    let mut status = None;
    let report = run(fleet.load(LOAD_TIME, &[]), || {
        sleep(secs(1.0));
        status = Some(fleet.entries[0].stop());
    });
    assert!(report.passed(), "{report}");
    assert!(status.is_some_and(|s| s.success()), "{status:?}");
}

#[test]
fn a_planned_stop_waits_neither_for_idle_connections_nor_for_an_incomplete_request() {
    let mut fleet = Fleet::start("idle", &[("a", 1, 1)]);
    let address = fleet.entries[0].callers;
    let mut idle = TcpStream::connect(address).expect("connect");
    idle.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").expect("send a request");
    let mut beginning = [0; 15];
    idle.read_exact(&mut beginning).expect("read a response");
    assert_eq!(&beginning, b"HTTP/1.1 200 OK");
    let mut incomplete = TcpStream::connect(address).expect("connect");
    incomplete
        .write_all(b"POST /quotes/x HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhal")
        .expect("send a part of a body");
    sleep(secs(0.2));
    assert!(fleet.entries[0].stop().success());
    let mut response = String::new();
    incomplete.read_to_string(&mut response).expect("read the response to the incomplete request");
    assert!(response.contains("carobhitch-outcome: not-run"), "{response}");
}

#[test]
fn a_new_entry_starts_from_a_peer_while_the_log_is_unavailable() {
    let mut fleet = Fleet::start("fresh", ZONES);
    fleet.platform_faults(&fault::Platform { outage_ms: 60_000, ..Default::default() });
    let new = fleet.add_entry("a", "entry-fresh");
    wait("the new entry to be ready", || fleet.entries[new].is_ready());
    let version = |n: usize| fleet.entries[n].status().map(|s| s["version"].clone());
    assert_eq!(version(new), version(0));
    let mut load = fleet.load(secs(1.0), &[]);
    load.entries = vec![fleet.entries[new].callers];
    load.groups.truncate(2);
    let report = run(load, || {});
    assert!(report.passed(), "{report}");
}

#[test]
fn a_new_entry_without_a_source_of_state_is_not_ready() {
    let mut fleet = Fleet::start("alone", &[("a", 1, 1)]);
    fleet.platform_faults(&fault::Platform { outage_ms: 60_000, ..Default::default() });
    fleet.entries[0].kill();
    let new = fleet.add_entry("a", "entry-fresh");
    wait("the new entry to run", || fleet.entries[new].status().is_some());
    sleep(secs(2.0));
    assert!(!fleet.entries[new].is_ready());
}

#[test]
fn a_new_entry_starts_from_a_snapshot_when_the_log_has_dropped_its_first_records() {
    let mut fleet = Fleet::with_retention("snapshot", &[("a", 1, 1)], 1_200);
    fleet.append_noise(2_500);
    wait("a snapshot that the records left in the log continue", || {
        fleet.snapshot().is_some_and(|at| at >= fleet.first_kept() && at > 1_000)
    });
    let version = fleet.entries[0].status().map(|s| s["version"].clone());
    fleet.entries[0].kill();
    let new = fleet.add_entry("a", "entry-fresh");
    wait("the new entry to be ready", || fleet.entries[new].is_ready());
    assert_eq!(fleet.entries[new].status().map(|s| s["version"].clone()), version);
}

#[test]
fn an_entry_recorded_as_gone_exits_and_a_new_incarnation_serves() {
    let mut fleet = Fleet::start("expelled", &[("a", 1, 1)]);
    let status = fleet.entries[0].status().expect("a status");
    let incarnation = status["incarnation"].as_u64().expect("an incarnation");
    fleet.append(Body::Gone { entry: fleet.entries[0].name.clone(), incarnation });
    assert_eq!(fleet.entries[0].wait_end().code(), Some(1));
    fleet.entries[0].restart();
    wait("the new incarnation to be ready", || fleet.entries[0].is_ready());
}

#[test]
fn an_entry_that_rejoins_while_peers_probe_it_is_not_declared_gone() {
    let mut fleet = Fleet::start("joining", &[("a", 2, 1)]);
    for _ in 0..3 {
        fleet.entries[1].restart();
        wait("the restarted entry to be ready", || fleet.entries[1].is_ready());
    }
}
