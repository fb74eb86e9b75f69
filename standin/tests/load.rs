//! The load tool sees what endpoints do wrong.

use {
    carobhitch::request::Class,
    carobhitch_standin::{
        client, fault,
        load::{self, Config, Group},
        runner::{self, Runner},
        tally::Report,
    },
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

fn endpoint() -> Runner {
    let listen: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    runner::spawn(runner::Config {
        id: String::from("v1"),
        service: String::from("quotes"),
        zone: String::from("a"),
        rack: String::from("r1"),
        listen,
        control: listen,
        slots: 8,
        connections: 64,
        platform: None,
        faults: fault::Runner::default(),
    })
    .expect("a runner")
}

/// Asks an endpoint with a fault directly, without repetitions of answered orders.
fn run(faults: fault::Runner, class: Class) -> Report {
    let runner = endpoint();
    client::post::<Value>(runner.control.address, "/faults", &faults).expect("faults");
    let group =
        Group { class, callers: 4, work_ms: (1, 5), deadline: Duration::from_secs(5), think_ms: 5 };
    load::run(&Config {
        entries: vec![runner.public.address],
        killed: Vec::new(),
        runners: vec![runner.control.address],
        services: vec![String::from("quotes")],
        teams: 1,
        groups: vec![group],
        time: Duration::from_millis(300),
        tries: 1,
        seed: 1,
    })
    .expect("a report")
}

#[test]
fn a_sound_endpoint_answers_everything() {
    let report = run(fault::Runner::default(), Class::Quick);
    let row = &report.rows["quick"];
    assert!(report.holds() && row.sent > 0 && row.answered == row.sent, "{report}");
}

#[test]
fn an_order_that_ran_twice_is_counted_as_doubled() {
    let report = run(fault::Runner { double: true, ..Default::default() }, Class::Order);
    // A tenth of the orders is asked for twice, which the endpoint alone doesn't notice.
    let most = report.rows["order"].sent / 2;
    assert!(report.audit.doubled > most && !report.holds(), "{report}");
}

#[test]
fn an_answer_to_another_request_is_counted_as_cut() {
    let report = run(fault::Runner { crossed: true, ..Default::default() }, Class::Quick);
    assert!(report.rows["quick"].cut > 0 && !report.holds(), "{report}");
}

#[test]
fn an_answer_that_breaks_off_is_counted_as_cut() {
    let report = run(fault::Runner { cut: true, ..Default::default() }, Class::Quick);
    let row = &report.rows["quick"];
    assert!(row.cut > 0 && row.answered < row.sent && !report.holds(), "{report}");
}

#[test]
fn an_endpoint_that_fails_everything_is_not_taken_for_served() {
    let report = run(fault::Runner { fail: true, ..Default::default() }, Class::Quick);
    assert!(!report.holds(), "{report}");
}
