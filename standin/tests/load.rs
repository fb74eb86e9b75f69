//! The load generator detects the faults of endpoints.

use {
    carobhitch::request::Class,
    carobhitch_standin::{
        client,
        endpoint::{self, Endpoint},
        fault,
        load::{self, Config, Group},
        totals::Report,
    },
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

fn endpoint() -> Endpoint {
    let listen: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    endpoint::spawn(endpoint::Config {
        id: String::from("v1"),
        service: String::from("quotes"),
        zone: String::from("a"),
        rack: String::from("r1"),
        listen,
        control: listen,
        slots: 8,
        max_connections: 64,
        platform: None,
        faults: fault::Endpoint::default(),
    })
    .expect("an endpoint")
}

/// Runs a load, one attempt per request, directly on an endpoint with faults.
fn run(faults: fault::Endpoint, class: Class) -> Report {
    let endpoint = endpoint();
    client::post::<Value>(endpoint.control.address, "/faults", &faults).expect("faults");
    let group =
        Group { class, callers: 4, work_ms: (1, 5), deadline: Duration::from_secs(5), think_ms: 5 };
    load::run(&Config {
        entries: vec![endpoint.public.address],
        killed: Vec::new(),
        endpoints: vec![endpoint.control.address],
        services: vec![String::from("quotes")],
        teams: 1,
        groups: vec![group],
        duration: Duration::from_millis(300),
        max_attempts: 1,
        seed: 1,
    })
    .expect("a report")
}

#[test]
fn an_endpoint_without_faults_answers_every_request() {
    let report = run(fault::Endpoint::default(), Class::Quick);
    let row = &report.rows["quick"];
    assert!(report.passed() && row.sent > 0 && row.answered == row.sent, "{report}");
}

#[test]
fn an_order_that_ran_twice_is_counted_as_doubled() {
    let report = run(fault::Endpoint { double: true, ..Default::default() }, Class::Order);
    // A tenth of the orders is sent twice; an endpoint by itself doesn't detect the repetition.
    let bound = report.rows["order"].sent / 2;
    assert!(report.audit.doubled > bound && !report.passed(), "{report}");
}

#[test]
fn a_response_to_another_request_is_counted_as_cut() {
    let report = run(fault::Endpoint { crossed: true, ..Default::default() }, Class::Quick);
    assert!(report.rows["quick"].cut > 0 && !report.passed(), "{report}");
}

#[test]
fn a_truncated_response_is_counted_as_cut() {
    let report = run(fault::Endpoint { cut: true, ..Default::default() }, Class::Quick);
    let row = &report.rows["quick"];
    assert!(row.cut > 0 && row.answered < row.sent && !report.passed(), "{report}");
}

#[test]
fn a_class_whose_every_request_fails_does_not_pass() {
    let report = run(fault::Endpoint { fail: true, ..Default::default() }, Class::Quick);
    assert!(!report.passed(), "{report}");
}
