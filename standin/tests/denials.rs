//! Requests whose first attempt was stored by an owner that is killed before it can answer, while the
//! operators' next manifest denies the second attempt: no caller is told that its job can't be served.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod site;

use {
    serde_json::{Value, json},
    site::{Site, exchange_within, job, keyed_manifest, manifest, wait},
    std::{
        thread::{scope, sleep},
        time::Duration,
    },
};

/// Time for which the store holds its answers back, so that what it has stored is not answered yet.
const STORE_DELAY: Duration = Duration::from_millis(600);
/// Time after a request was sent at which the owner is killed: it is stored then, and not answered yet. The
/// store is fast again from then on, so that the next owner soon goes by the next manifest.
const KILL_DELAY: Duration = Duration::from_millis(450);
/// Deadline of the requests. While the store takes [`STORE_DELAY`], other entries wait for 2.1 s after the owner's
/// last heartbeat before one claims the cell, so that a takeover may end about 3 s after the request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Number of times that each submission is played.
const ROUNDS: usize = 2;
const KEY: &str = "acme-1";
const JOB: &str = "/quotes/00000000000000aa";

/// Sends a request to an entry that relays it, and kills the owner before the store has answered it. Returns
/// the status of the answer, with `denying` as the manifest from the kill on.
fn send_and_kill(site: &mut Site, method: &str, body: Option<&Value>, denying: &Value) -> u16 {
    let owner = site.owner();
    let relaying = site.entries[(owner + 1) % site.entries.len()].callers;
    site.store.delay_answers(STORE_DELAY, KILL_DELAY);
    let response = scope(|scope| {
        let request =
            scope.spawn(move || exchange_within(DEADLINE, relaying, method, JOB, KEY, body));
        sleep(KILL_DELAY);
        site.kill(owner);
        site.store.put("keyed.op", "config", denying.to_string().as_bytes());
        request.join().unwrap()
    });
    response.map_or(504, |response| response.status)
}

/// Plays submissions that are denied by `denying`: none is, and the job runs. The next owner may also have
/// accepted the second attempt before it has read that manifest.
fn check_submission(name: &str, denying: &Value) {
    for round in 0..ROUNDS {
        let status = submit_denied(&format!("{name}-{round}"), denying);
        assert!([200, 504].contains(&status), "round {round}: {status} for a job that runs");
    }
}

/// Plays a submission that is denied by `denying`; returns the status that the caller gets.
fn submit_denied(name: &str, denying: &Value) -> u16 {
    let mut site = Site::start(name, 3, 3);
    let keyed = keyed_manifest(4, &[KEY], 5);
    site.store.put("keyed.op", "config", keyed.to_string().as_bytes());
    wait("the key to be in force", || {
        let answers = |entry| site.call_with(KEY, entry, "GET", "", None);
        (0..3).all(|entry| answers(entry).is_some_and(|response| response.status == 200))
    });
    let status = send_and_kill(&mut site, "POST", Some(&job(2)), denying);
    wait("the stored job to run", || site.checker.starts() >= 2);
    println!("{name}: {status}");
    status
}

/// The manifest with keys, changed in one field of its queue.
fn with_queue(field: &str, value: &str) -> Value {
    let mut manifest = keyed_manifest(5, &[KEY], 5);
    manifest["routes"][0][field] = json!(value);
    manifest
}

/// Guards against 404 for a job that runs: its route is dropped between two attempts.
#[test]
fn a_job_whose_route_goes_after_it_was_stored_is_not_denied() {
    check_submission("denied-route", &with_queue("host", "other.example"));
}

/// Guards against 400 for a job that runs: a queue with a shorter prefix takes its path.
#[test]
fn a_job_whose_path_is_taken_over_after_it_was_stored_is_not_denied() {
    check_submission("denied-path", &with_queue("pathPrefix", "/"));
}

/// Guards against 401 for a job that runs: its caller's key is withdrawn between two attempts.
#[test]
fn a_job_whose_key_is_withdrawn_after_it_was_stored_is_not_denied() {
    check_submission("denied-key", &keyed_manifest(5, &["acme-2"], 5));
}

/// Guards against 403 for a job that runs: its caller's key moves to another organisation in between.
#[test]
fn a_job_whose_key_moves_after_it_was_stored_is_not_denied() {
    let mut moved = keyed_manifest(5, &["acme-2"], 5);
    moved["tenants"][1]["apiKeys"] = json!(["bolt-1", KEY]);
    check_submission("denied-move", &moved);
}

/// Guards against 404 for a cancellation that was stored, and against 410 for a job that is known.
#[test]
fn a_cancellation_whose_route_goes_after_it_was_stored_is_not_denied() {
    for drops in [true, false] {
        let mut site = Site::start(&format!("denied-cancel-{drops}"), 3, 3);
        site.submit_endless(0xaa, 2);
        let mut next = manifest(4);
        if drops {
            next["routes"][0]["host"] = json!("other.example");
        }
        let status = send_and_kill(&mut site, "DELETE", None, &next);
        assert!(status == 200 || drops && status == 504, "{status} for a job that is cancelled");
    }
}
