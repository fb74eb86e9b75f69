//! Jobs submitted to real entry processes, while entries and the store fail.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod site;

use {
    carobhitch_standin::job::Limit,
    site::{Site, exchange, job, keyed_manifest, large_manifest, manifest, wait},
    std::{io::Write, net::TcpStream, thread::sleep, time::Duration},
};

#[test]
fn a_job_submitted_at_any_entry_is_shown_complete_at_every_entry() {
    let site = Site::start("whole", 3, 3);
    for id in 1..=9 {
        site.submit(id, 4);
    }
    site.wait_complete(1..=9);
    assert_eq!(site.checker.done(), 36);
    assert_eq!(site.checker.starts(), 36);
    for entry in 0..3 {
        let response = site.call(entry, "GET", "00000000000000ff", None).unwrap();
        assert_eq!(response.status, 410, "no such job");
        let response = site.call(entry, "GET", "", None).unwrap();
        assert_eq!((response.status, response.body["pending"].as_u64()), (200, Some(0)));
        let response =
            site.call(entry, "POST", "00000000000000fe", Some(&serde_json::json!({}))).unwrap();
        assert_eq!(response.status, 400, "a job has steps");
    }
}

#[test]
fn a_killed_owner_is_replaced_and_no_task_runs_twice() {
    let mut site = Site::start("killed", 3, 3);
    for id in 1..=8 {
        site.submit(id, 6);
    }
    let owner = site.owner();
    site.kill(owner);
    for id in 9..=12 {
        site.submit(id, 6);
    }
    site.launch(owner);
    site.wait_complete(1..=12);
    assert_eq!(site.checker.done(), 72);
}

#[test]
fn a_paused_owner_that_resumes_after_a_takeover_changes_nothing() {
    let mut site = Site::start("paused", 3, 3);
    for id in 1..=4 {
        site.submit(id, 6);
    }
    let owner = site.owner();
    site.signal(owner, "-STOP");
    wait("another owner", || site.owner() != owner);
    let other = (owner + 1) % 3;
    wait("a job to be accepted", || {
        let response = site.call(other, "POST", "0000000000000005", Some(&job(6)));
        response.is_some_and(|response| response.status == 200)
    });
    site.signal(owner, "-CONT");
    for id in 6..=8 {
        site.submit(id, 6);
    }
    site.wait_complete(1..=8);
    assert_eq!(site.checker.done(), 48);
}

#[test]
fn accepted_jobs_survive_the_kill_of_every_entry() {
    let mut site = Site::start("all", 3, 3);
    for id in 1..=6 {
        site.submit(id, 8);
    }
    for entry in 0..3 {
        site.kill(entry);
    }
    site.store.drop_history("keyed.jobs");
    for entry in 0..3 {
        site.launch(entry);
    }
    site.wait_ready();
    site.wait_complete(1..=6);
    assert_eq!(site.checker.done(), 48);
}

#[test]
fn without_the_store_new_jobs_are_refused_and_accepted_ones_continue() {
    let site = Site::start("away", 2, 2);
    for id in 1..=4 {
        site.submit(id, 4);
    }
    site.store.start_outage(Duration::from_secs(3));
    sleep(Duration::from_millis(1_200));
    let response = site.call(0, "POST", "0000000000000009", Some(&job(1))).unwrap();
    assert_eq!((response.status, response.retry_after), (503, true));
    sleep(Duration::from_secs(2));
    site.wait_complete(1..=4);
    site.submit(10, 2);
    site.wait_complete([10]);
    assert_eq!(site.checker.done(), 18, "the refused job has not run");
}

#[test]
fn entries_are_not_ready_while_the_store_confirms_no_owner() {
    let site = Site::start("unready", 3, 1);
    site.store.start_outage(Duration::from_secs(4));
    wait("all entries to be not ready", || (0..3).all(|entry| !site.is_ready(entry)));
    site.wait_ready();
    site.submit(1, 1);
    site.wait_complete([1]);
}

#[test]
fn a_restarted_owner_is_replaced_without_waiting_for_its_timeout() {
    let mut site = Site::start("again", 3, 1);
    let owner = site.owner();
    site.kill(owner);
    site.launch(owner);
    let claims = |entry: usize| {
        let log = site.log(&format!("front-{entry}"));
        log.lines().filter(|line| line.contains("claim: at=")).map(String::from).collect::<Vec<_>>()
    };
    let second = || (0..3).flat_map(claims).any(|line| !line.contains("at=0 "));
    wait("a second claim", second);
    let timeouts = (0..3).flat_map(claims).filter(|line| line.contains("vacant=false")).count();
    assert_eq!(timeouts, 0, "an entry waited for the timeout of an owner that had ended");
    site.wait_ready();
    site.submit(1, 1);
    site.wait_complete([1]);
}

#[test]
fn lost_responses_of_the_store_and_of_runners_repeat_nothing() {
    let site = Site::start("lost", 2, 3);
    for id in 1..=10 {
        site.store.lose_responses(1);
        for runner in &site.runners {
            runner.lose_responses(1);
        }
        site.submit(id, 3);
    }
    site.wait_complete(1..=10);
    assert_eq!(site.checker.done(), 30);
}

#[test]
fn a_planned_stop_of_the_owner_hands_over_and_cuts_no_request() {
    let mut site = Site::start("stop", 2, 2);
    let owner = site.owner();
    site.submit(1, 4);
    site.signal(owner, "-TERM");
    for id in 2..=8 {
        let name = format!("{id:016x}");
        let response = site.call(owner, "POST", &name, Some(&job(2)));
        assert!(response.is_some(), "an entry that still listens sends a complete response");
        sleep(Duration::from_millis(200));
    }
    site.wait_end(owner);
    site.launch(owner);
    site.wait_ready();
    for id in 2..=8 {
        site.submit(id, 2);
    }
    site.wait_complete(1..=8);
    assert_eq!(site.checker.done(), 18);
}

#[test]
fn an_owner_that_stops_goes_on_until_another_has_taken_over() {
    let mut site = Site::start("last", 1, 1);
    site.submit(1, 1);
    site.wait_complete([1]);
    site.signal(0, "-TERM");
    wait("the cell to be given up", || site.log("front-0").contains("released=true"));
    let response = site.call(0, "GET", "0000000000000001", None).unwrap();
    assert_eq!((response.status, response.body["state"].as_str()), (200, Some("complete")));
    site.wait_end(0);
}

#[test]
fn a_removed_manifest_stays_in_force_after_all_entries_restart() {
    let mut site = Site::start("manifest", 2, 1);
    site.submit(1, 1);
    site.store.put("keyed.op", "config", manifest(7).to_string().as_bytes());
    sleep(Duration::from_millis(900));
    site.store.put("keyed.op", "config", b"");
    for entry in 0..2 {
        site.kill(entry);
    }
    for entry in 0..2 {
        site.launch(entry);
    }
    site.wait_ready();
    site.submit(2, 1);
    site.wait_complete([1, 2]);
    let owner = site.owner();
    assert!(site.log(&format!("front-{owner}")).contains("version=7"));
}

#[test]
fn a_manifest_larger_than_a_record_of_the_store_holds_up_no_job() {
    let mut site = Site::start("large", 3, 3);
    site.submit(1, 4);
    let manifest = large_manifest(4, 1_000).to_string();
    site.store.put("keyed.op", "config", manifest.as_bytes());
    sleep(Duration::from_secs(1));
    site.submit(2, 4);
    site.wait_complete([1, 2]);
    for entry in 0..3 {
        site.kill(entry);
    }
    site.store.put("keyed.op", "config", b"");
    for entry in 0..3 {
        site.launch(entry);
    }
    site.wait_ready();
    let response = exchange(site.entries[0].callers, "GET", "/unused999/", "", None).unwrap();
    assert_eq!(response.status, 200, "the whole manifest is in force again");
    site.submit(3, 4);
    site.wait_complete(1..=3);
    assert_eq!(site.checker.done(), 12);
}

#[test]
fn the_last_of_several_manifests_that_fill_more_than_a_page_is_put_in_force() {
    let site = Site::start("pages", 1, 1);
    for version in 4..8 {
        let manifest = large_manifest(version, 5_000 + version as usize).to_string();
        site.store.put("keyed.op", "config", manifest.as_bytes());
    }
    wait("the last manifest to be in force", || {
        let response = exchange(site.entries[0].callers, "GET", "/unused5006/", "", None);
        response.is_some_and(|response| response.status == 200)
    });
}

#[test]
fn a_withdrawn_key_stays_refused_after_all_entries_restart_without_a_manifest() {
    let mut site = Site::start("keys", 3, 2);
    let status = |site: &Site, key: &str, entry: usize, id: u64| {
        let name = format!("{id:016x}");
        site.call_with(key, entry, "POST", &name, Some(&job(1))).map(|response| response.status)
    };
    let put = |site: &Site, version, keys: &[&str]| {
        let manifest = keyed_manifest(version, keys, 4).to_string();
        site.store.put("keyed.op", "config", manifest.as_bytes());
    };
    put(&site, 5, &["acme-1", "acme-2"]);
    wait("the manifest to be in force", || status(&site, "", 0, 9) == Some(401));
    for (number, key) in ["acme-1", "acme-2", "bolt-1"].into_iter().enumerate() {
        wait("a key to be in force", || status(&site, key, number, number as u64 + 1) == Some(200));
    }
    assert_eq!(status(&site, "acme-3", 0, 9), Some(401));
    assert_eq!(status(&site, "", 1, 9), Some(401));
    put(&site, 6, &["acme-2"]);
    wait("the key to be withdrawn", || status(&site, "acme-1", 2, 9) == Some(401));
    put(&site, 5, &["acme-1", "acme-2"]);
    sleep(Duration::from_millis(900));
    site.store.put("keyed.op", "config", b"");
    for entry in 0..3 {
        site.kill(entry);
    }
    for entry in 0..3 {
        site.launch(entry);
    }
    site.wait_ready();
    for entry in 0..3 {
        let answer = site.call_with("acme-1", entry, "GET", "0000000000000001", None).unwrap();
        assert_eq!(answer.status, 401);
        let answer = site.call_with("acme-2", entry, "GET", "0000000000000001", None).unwrap();
        assert_eq!(answer.status, 200, "the other key of the organisation sees its jobs");
        let answer = site.call_with("bolt-1", entry, "GET", "0000000000000001", None).unwrap();
        assert_eq!(answer.status, 410, "another organisation doesn't");
    }
    let logs: String = (0..3).map(|entry| site.log(&format!("front-{entry}"))).collect();
    assert!(!["acme-1", "acme-2", "acme-3", "bolt-1"].iter().any(|key| logs.contains(key)));
}

#[test]
fn an_owner_killed_with_an_organisation_at_its_limit_is_replaced_without_exceeding_it() {
    let mut site = Site::start("limit", 3, 3);
    site.key_of = |_| "acme-1";
    site.checker.set_limit(Limit { tasks: 3, applies: |_| true });
    let manifest = keyed_manifest(5, &["acme-1"], 3).to_string();
    site.store.put("keyed.op", "config", manifest.as_bytes());
    sleep(Duration::from_millis(900));
    for id in 1..=6 {
        site.submit(id, 4);
    }
    let owner = site.owner();
    site.kill(owner);
    for id in 7..=8 {
        site.submit(id, 4);
    }
    site.launch(owner);
    site.wait_complete(1..=8);
    assert_eq!(site.checker.done(), 32);
}

#[test]
fn foreign_and_malformed_registrations_are_ignored() {
    let mut site = Site::start("foreign", 2, 1);
    for (key, value) in [("x", &b"\xff\xfe"[..]), ("y", b"{}"), ("z", b"{\"state\":\"odd\"}")] {
        site.store.put("keyed.servers", key, value);
    }
    for (number, value) in odd_registrations().iter().enumerate() {
        site.store.put("keyed.servers", &format!("odd-{number}"), value.as_bytes());
        site.store.put("keyed.op", &format!("odd-{number}"), value.as_bytes());
        site.store.put("keyed.op", &format!("wave/9{number}"), value.as_bytes());
    }
    sleep(Duration::from_millis(700));
    site.submit(1, 2);
    site.wait_complete([1]);
    // A new owner reads the complete lists, with the odd entries in them.
    let owner = site.owner();
    site.kill(owner);
    site.submit(2, 2);
    site.wait_complete([2]);
}

/// Entries that are hard to read: nested deeply, with numbers that are too large, or with addresses that
/// can't be called.
fn odd_registrations() -> Vec<String> {
    let sound = r#"{"service":"desk","addr":"127.0.0.1:9","zone":"zone-a","machine":"m-odd","state":"ready",
        "born":5,"seq":1,"labels":["a","r1"],"headroom":{"cpu":1000,"memMb":1000,"gpu":0}}"#;
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let with = |from: &str, to: &str| sound.replace(from, to);
    vec![
        nested(100_000),
        "[".repeat(100_000),
        with(r#""seq":1"#, &format!(r#""seq":1,"extra":{}"#, nested(100_000))),
        with(r#"["a","r1"]"#, &nested(100_000)),
        with(r#""born":5"#, r#""born":18446744073709551615"#),
        with(r#""born":5"#, r#""born":18446744073709551616"#),
        with(r#""born":5"#, r#""born":1e999"#),
        with(r#""seq":1"#, r#""seq":18446744073709551615"#),
        with(r#""cpu":1000"#, r#""cpu":4294967295"#),
        with(r#""cpu":1000"#, r#""cpu":99999999999999999999999"#),
        with(r#""cpu":1000"#, r#""cpu":-1"#),
        with("127.0.0.1:9", "127.0.0.1:70000"),
        with("127.0.0.1:9", "127.0.0.1:0"),
        with("127.0.0.1:9", "0.0.0.0:65535"),
        with("127.0.0.1:9", "[::]:1"),
        with("127.0.0.1:9", "255.255.255.255:9"),
        with(r#""machine":"m-odd""#, &format!(r#""machine":"{}""#, "m".repeat(200_000))),
    ]
}

/// The caller leaves while its request waits for the store.
#[test]
fn a_caller_that_disconnects_does_not_count_as_open_at_a_planned_stop() {
    let mut site = Site::start("left", 1, 1);
    site.store.start_outage(Duration::from_millis(1_000));
    let mut stream = TcpStream::connect(site.entries[0].callers).unwrap();
    let body = job(1).to_string();
    let request = format!(
        "POST /quotes/0000000000000007 HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 3000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    sleep(Duration::from_millis(300));
    drop(stream);
    sleep(Duration::from_millis(1_500));
    site.wait_ready();
    site.signal(0, "-TERM");
    site.wait_end(0);
    assert!(site.log("front-0").contains("stop: done requests=0"), "{}", site.log("front-0"));
}

#[test]
fn a_job_that_crashes_every_runner_fails_although_its_owners_are_killed() {
    let mut site = Site::start("crash", 3, 4);
    site.submit_crashing(0x700);
    for round in 0..3 {
        site.submit(0x701 + round, 4);
        sleep(Duration::from_millis(1_200));
        let owner = site.owner();
        site.kill(owner);
        site.launch(owner);
    }
    site.wait_failed(0x700);
    site.wait_complete(0x701..0x704);
}

#[test]
fn a_slow_store_changes_no_owner_and_stops_no_endless_task() {
    let site = Site::start("slow", 3, 3);
    site.submit_endless(0x900, 6);
    let starts = site.checker.starts();
    site.store.delay_answers(Duration::from_millis(800), Duration::from_secs(8));
    for _ in 0..16 {
        sleep(Duration::from_millis(500));
        assert!((0..3).all(|entry| site.is_ready(entry)), "an entry is not ready");
    }
    site.submit(0x901, 2);
    site.wait_complete([0x901]);
    let logs: String = (0..3).map(|entry| site.log(&format!("front-{entry}"))).collect();
    assert_eq!(logs.matches("taking_over=true").count(), 1, "the owner has changed:\n{logs}");
    assert_eq!(site.checker.starts(), starts + 2, "a endless task has started again");
}

#[test]
fn an_owner_killed_while_the_store_is_slow_is_replaced_and_no_task_runs_twice() {
    let mut site = Site::start("slowkill", 3, 3);
    for id in 1..=4 {
        site.submit(id, 6);
    }
    site.store.delay_answers(Duration::from_millis(800), Duration::from_secs(10));
    sleep(Duration::from_millis(1_500));
    let owner = site.owner();
    site.kill(owner);
    wait("another owner", || site.owner() != owner);
    site.submit(5, 6);
    site.launch(owner);
    site.wait_complete(1..=5);
    assert_eq!(site.checker.done(), 30);
}
