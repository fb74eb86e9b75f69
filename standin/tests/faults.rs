//! Requests of callers while the platform, endpoints and connections fail.

mod fleet;

use {
    carobhitch::request::Class,
    carobhitch_standin::{
        caller::{self, Attempt, End, Request},
        client, fault, load,
        work::Work,
    },
    fleet::{Fleet, SERVICE, run, wait},
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Name, entries and endpoints of each availability zone.
const ZONES: &[(&str, usize, usize)] = &[("a", 2, 3), ("b", 1, 1)];

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn keep_quick_calls(load: &mut load::Config) {
    load.groups.retain(|group| group.class == Class::Quick);
}

fn request(class: Class, id: &str, work_ms: u64) -> Request {
    Request {
        team: "team0".into(),
        class,
        work: Work {
            service: SERVICE.into(),
            id: id.into(),
            work_ms,
            request_bytes: 10,
            response_bytes: 100,
        },
        key: (class == Class::Order).then(|| format!("key-{id}")),
        deadline: secs(5.0),
        is_repeat: false,
        abandon_after: None,
    }
}

#[test]
fn connections_that_go_silent_lose_no_request() {
    let fleet = Fleet::start("silent", ZONES);
    let mut load = fleet.load(secs(4.0), &[]);
    keep_quick_calls(&mut load);
    let report = run(load, || {
        for _ in 0..3 {
            sleep(secs(0.8));
            for vm in ["vm-a0", "vm-a1"] {
                let silent = fault::Endpoint { silence_open: true, ..Default::default() };
                fleet.endpoint_faults(vm, &silent);
            }
        }
    });
    assert!(report.passed(), "{report}");
    let row = &report.rows["quick"];
    assert_eq!(row.answered, row.sent, "{report}");
}

#[test]
fn a_response_to_another_request_reaches_no_caller() {
    let fleet = Fleet::start("crossed", ZONES);
    let mut load = fleet.load(secs(2.0), &[]);
    keep_quick_calls(&mut load);
    fleet.endpoint_faults("vm-a0", &fault::Endpoint { crossed: true, ..Default::default() });
    let report = run(load, || {});
    assert!(report.passed(), "{report}");
}

#[test]
fn a_truncated_short_response_is_retried() {
    let fleet = Fleet::start("cut", ZONES);
    let mut load = fleet.load(secs(2.0), &[]);
    keep_quick_calls(&mut load);
    fleet.endpoint_faults("vm-a0", &fault::Endpoint { cut: true, ..Default::default() });
    let report = run(load, || {});
    assert!(report.passed(), "{report}");
}

#[test]
fn an_endpoint_that_fails_every_request_is_avoided() {
    let fleet = Fleet::start("failing", ZONES);
    fleet.endpoint_faults("vm-a0", &fault::Endpoint { fail: true, ..Default::default() });
    let mut load = fleet.load(secs(3.0), &[]);
    keep_quick_calls(&mut load);
    let report = run(load, || {});
    let row = &report.rows["quick"];
    assert!(row.failed * 10 < row.sent, "{report}");
}

#[test]
fn an_order_is_refused_soon_while_the_log_is_unavailable_and_quick_calls_continue() {
    let fleet = Fleet::start("outage", ZONES);
    fleet.platform_faults(&fault::Platform { outage_ms: 60_000, ..Default::default() });
    let entry = fleet.entries[0].callers;
    let first = caller::send(&request(Class::Order, "first", 5), std::iter::once(entry), 1);
    assert_eq!(first.end, End::Refused, "{first:?}");
    sleep(secs(2.0));
    let mut long_deadline = request(Class::Order, "next", 5);
    long_deadline.deadline = secs(20.0);
    let started = Instant::now();
    let next = caller::send(&long_deadline, std::iter::once(entry), 1);
    assert_eq!(next.end, End::Refused, "{next:?}");
    assert!(
        started.elapsed() < long_deadline.deadline / 2,
        "a refusal was delayed until its deadline was near"
    );
    let quick = caller::send(&request(Class::Quick, "quick", 5), std::iter::once(entry), 1);
    assert_eq!(quick.end, End::Answered, "{quick:?}");
    fleet.platform_faults(&fault::Platform::default());
    wait("the order to run after the outage", || {
        let again = caller::send(&request(Class::Order, "first", 5), std::iter::once(entry), 1);
        again.end == End::Answered
    });
    let runs: u32 = fleet
        .endpoints
        .keys()
        .filter_map(|vm| fleet.ledger(vm).runs.get("key-first").copied())
        .sum();
    assert_eq!(runs, 1);
}

#[test]
fn orders_run_once_while_the_log_loses_responses_and_is_slow() {
    let fleet = Fleet::start("lossy", ZONES);
    let lossy =
        fault::Platform { lose_probability: 0.2, delay_ms: 20, ..fault::Platform::default() };
    fleet.platform_faults(&lossy);
    let mut load = fleet.load(secs(4.0), &[]);
    load.groups.retain(|group| group.class == Class::Order);
    let report = run(load, || {});
    assert!(report.passed(), "{report}");
    assert!(report.rows["order"].answered > 0, "{report}");
}

#[test]
fn a_change_made_before_an_outage_stays_in_force_and_the_next_applies_after_it() {
    let fleet = Fleet::start("change", ZONES);
    let before = fleet.entries[0].status().expect("a status")["version"].clone();
    fleet.platform_faults(&fault::Platform { outage_ms: 1500, ..Default::default() });
    sleep(secs(0.5));
    let during = fleet.entries[0].status().expect("a status")["version"].clone();
    assert_eq!(before, during);
    wait("the end of the outage", || fleet.operator().state().is_ok());
    let mut declaration = fleet.declaration();
    declaration.teams.insert("late".into(), Default::default());
    fleet.operator().declare(declaration).expect("declare after the outage");
    let after = fleet.entries[0].status().expect("a status")["version"].clone();
    assert!(after.as_u64() > before.as_u64(), "{after} after {before}");
}

#[test]
fn a_drain_cuts_no_request_though_the_vm_is_rebooted_after_it() {
    let fleet = Fleet::start("drain", ZONES);
    let report = run(fleet.load(secs(4.0), &[]), || {
        sleep(secs(0.5));
        fleet.operator().maintain(&String::from("vm-a0")).expect("drain, reboot and return");
    });
    assert!(report.passed(), "{report}");
    assert_eq!(fleet.ledger("vm-a0").boots, 1);
    assert_eq!(fleet.ledger("vm-a0").broken, 0);
}

#[test]
fn an_endpoint_that_announces_leaving_gets_no_further_work() {
    let fleet = Fleet::start("leaving", ZONES);
    fleet.endpoint_faults("vm-a0", &fault::Endpoint { leaving: true, ..Default::default() });
    let mut load = fleet.load(secs(1.0), &[]);
    keep_quick_calls(&mut load);
    let first = run(load.clone(), || {});
    assert!(first.passed(), "{first}");
    let served = fleet.ledger("vm-a0").served;
    let second = run(load, || {});
    assert!(second.passed(), "{second}");
    assert_eq!(fleet.ledger("vm-a0").served, served);
}

#[test]
fn a_zone_without_endpoints_is_served_through_another() {
    let fleet = Fleet::start("relay", &[("a", 1, 0), ("b", 1, 2)]);
    let mut load = fleet.load(secs(2.0), &[]);
    load.entries = vec![fleet.entries[0].callers];
    let report = run(load, || {});
    assert!(report.passed(), "{report}");
    assert!(report.rows["quick"].answered > 0, "{report}");
}

#[test]
fn a_slow_caller_times_out_and_holds_no_slot() {
    let fleet = Fleet::start("slow", &[("a", 1, 1)]);
    let address = fleet.entries[0].callers;
    let slow: Vec<_> = (0..20)
        .map(|_| {
            let mut stream = TcpStream::connect(address).expect("connect");
            let head = b"POST /quotes/x HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n1";
            stream.write_all(head).expect("send a head");
            stream
        })
        .collect();
    let trace = caller::send(&request(Class::Quick, "beside", 5), std::iter::once(address), 1);
    assert_eq!(trace.end, End::Answered, "{trace:?}");
    for mut stream in slow {
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("read until the end");
        assert!(response.contains("carobhitch-outcome: not-run"), "{response}");
    }
}

#[test]
fn an_unknown_service_is_refused_as_not_run() {
    let fleet = Fleet::start("unknown", &[("a", 1, 1)]);
    let mut unknown = request(Class::Quick, "x", 5);
    unknown.work.service = "nobody".into();
    let trace = caller::send(&unknown, std::iter::once(fleet.entries[0].callers), 1);
    assert!(matches!(trace.attempts[..], [(_, Attempt::Told(..))]), "{trace:?}");
    assert_eq!(trace.end, End::Refused);
    assert!(client::get::<serde_json::Value>(fleet.entries[0].callers, "/status").is_ok());
}
