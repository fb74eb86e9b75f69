//! Tests of the platform adapter: decoding and encoding of settings, bodies and log framing.

#![allow(clippy::unwrap_used)]

use {
    carobhitch::{
        adapter::{advisor, fleet, frame, front, manifest, runner, settings, store},
        job::{
            access::Key,
            answer::Answer,
            call::Reply,
            ledger::{Outcome, Record},
            manifest::Manifest,
            route::Table,
            runner::{Answer as RunnerAnswer, Exit, Poll, Rejection, Start},
            spec::{Error, Task},
            upkeep::{self, Refusal, State},
        },
    },
    proptest::prelude::*,
    std::time::Duration,
};

const SETTINGS: &str = "node=front-a-1\nzone=a\nip=10.1.0.9\nlisten.front=10.1.0.9:8624\n\
    listen.ready=10.1.0.9:8622\nportRange=7060,7075\nplatform.addr=10.200.1.7:8621\n\
    cloud.addr=10.200.0.107:8621\nadvice=\nbounds.holdMaxMs=5000\nbounds.graceS=6\nnew.key=1\n";

/// Name of the queue that a manifest has for a host and path.
fn find<'a>(manifest: &'a Manifest, host: &str, path: &str) -> Option<&'a str> {
    let position = Table::new(&manifest.queues).find(host, path)?;
    Some(&manifest.queues[position].name)
}

fn reply(status: u16, body: &str) -> Reply {
    Reply { status, body: body.as_bytes().to_vec() }
}

fn task() -> Task {
    Task { job: 0x5c0e_7a21_d94b_36f8, occurrence: 0, step: 1, index: 17 }
}

#[test]
fn settings_are_read_and_unknown_keys_are_ignored() {
    let read = settings::parse("local.conf", SETTINGS).unwrap();
    assert_eq!(read.node, "front-a-1");
    assert_eq!(read.peer, "10.1.0.9:7060".parse().unwrap());
    assert_eq!(read.advisor, None);
    assert_eq!(read.bounds.lease, Duration::from_secs(5));
    assert_eq!(read.bounds.status, Duration::from_secs(120), "a missing bound has a default");
}

#[test]
fn limits_on_callers_follow_from_the_vm_unless_they_are_set() {
    let read = |text: &str| settings::parse("local.conf", &format!("{SETTINGS}{text}"));
    let sized = read("limits.memoryMb=160\nlimits.maxFds=4100\n").unwrap();
    assert_eq!((sized.intake.connections, sized.intake.body_memory), (305, 10_000_000));
    assert_eq!((sized.intake.head_bytes, sized.intake.body_bytes), (16_384, 262_144));
    assert_eq!(sized.bounds.job_memory, 40_000_000);
    assert_eq!((sized.max_pending, sized.internal_connections), (2_441, 32));
    assert_eq!(sized.max_deadline, Duration::from_secs(60));
    let small = read("limits.memoryMb=64\nlimits.maxFds=300\n").unwrap();
    assert_eq!((small.intake.connections, small.bounds.job_memory), (50, 16_000_000));
    let set =
        read("intake.connections=7\nintake.bodyMs=900\nintake.jobMemoryBytes=5000\n").unwrap();
    assert_eq!((set.intake.connections, set.bounds.job_memory), (7, 5_000));
    assert_eq!(set.intake.body_timeout, Duration::from_millis(900));
    assert_eq!(read("").unwrap().intake.connections, 488, "a VM whose size is not told");
    let bad = "intake.connections=0\nintake.headBytes=100\nlimits.memoryMb=much\nintake.bodyMs=0\n";
    let faults = read(bad).unwrap_err();
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(
        keys,
        ["limits.memoryMb", "intake.connections", "intake.headBytes", "intake.bodyMs"]
    );
}

#[test]
fn every_fault_of_the_settings_is_reported_at_once() {
    let text = "node=front-a-1\nip=10.1.0.9\nlisten.front=here\nportRange=7060\n\
        platform.addr=10.200.1.7:8621\nbounds.graceS=soon\n";
    let faults = settings::parse("local.conf", text).unwrap_err();
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    let expected = ["portRange", "zone", "listen.front", "listen.ready", "bounds.graceS"];
    assert_eq!(keys, expected);
    let text = faults[2].to_string();
    assert_eq!(
        text,
        "local.conf: listen.front = here: must be an IP number and a port, such as 10.1.0.9:8624"
    );
}

#[test]
fn jobs_are_decoded_and_invalid_ones_are_rejected() {
    let body = br#"{"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"estMs":900},
        {"count":2,"dependsOn":[0],"daemon":true,"maxPerServer":1,"mayMiss":1,"fills":true}]}"#;
    let job = front::job(body).unwrap();
    assert_eq!((job.steps[0].tasks, job.steps[0].need.millicores), (4, 500));
    let last = &job.steps[1];
    assert!(last.endless && last.filler);
    assert_eq!((last.after.as_slice(), last.per_runner, last.max_unavailable), (&[0][..], 1, 1));
    assert!(matches!(front::job(b"{"), Err(Error::Malformed(_))));
    assert_eq!(front::job(br#"{"steps":[]}"#), Err(Error::Steps(0)));
    let gang = br#"{"steps":[{"count":2,"gang":true,"colocate":true}]}"#;
    assert!(front::job(gang).is_ok_and(|job| job.steps[0].gang && job.steps[0].same_rack));
    let timed = br#"{"steps":[{"count":2}],"firstMs":5000,"intervalMs":2000,"repeats":3}"#;
    assert_eq!(front::job(timed).unwrap().schedule.map(|schedule| schedule.at_ms(2)), Some(9_000));
    let large = br#"{"steps":[{"count":3000}],"repeats":3}"#;
    assert_eq!(front::job(large), Err(Error::Large(9_000)));
    let backwards = br#"{"steps":[{"count":1,"dependsOn":[0]}]}"#;
    assert_eq!(front::job(backwards), Err(Error::Order(0, 0)));
}

#[test]
fn a_job_of_too_many_steps_is_rejected_and_errors_quote_little() {
    let steps =
        |count: usize| format!("{{\"steps\":[{}]}}", vec!["{\"count\":1}"; count].join(","));
    assert!(front::job(steps(256).as_bytes()).is_ok());
    let error = front::job(steps(257).as_bytes()).unwrap_err().to_string();
    assert!(error.starts_with("a job has 1 to 256 steps, this one more"), "{error}");
    let quoted = format!("{{\"steps\":\"{}\"}}", "ä".repeat(100_000));
    assert!(front::job(quoted.as_bytes()).unwrap_err().to_string().len() < 300);
    assert!(front::job(b"{\"steps\":7}").unwrap_err().to_string().contains("a list of steps"));
}

#[test]
fn organisations_are_decoded_and_a_bad_one_is_named() {
    let with = |tenants: &str| {
        let text = format!(
            r#"{{"version":3,"routes":[{{"name":"a","public":true}},{{"name":"b"}}],"tenants":{tenants}}}"#
        );
        manifest::decode(text.as_bytes()).map_err(|e| e.to_string())
    };
    let good = r#"[{"name":"acme","apiKeys":["k1","k2"],"priority":1,"weight":2.5,
        "maxCount":{"cpu":5084956000,"memMb":10,"gpu":0}},{"name":"bolt"}]"#;
    let access = with(good).unwrap().access.unwrap();
    let acme = &access.organisations["acme"];
    assert_eq!(acme.keys, [Key::new("k1"), Key::new("k2")]);
    assert_eq!((acme.weight, acme.limit.millicores), (2.5, Some(5_084_956_000)));
    assert_eq!((acme.limit.memory_mib, acme.limit.accelerators), (Some(10), None));
    assert!(access.organisations["bolt"].keys.is_empty(), "absent fields are empty");
    assert!(access.open_queues.contains("a") && !access.open_queues.contains("b"));
    assert_eq!(manifest::decode(br#"{"version":3}"#).unwrap().access, None);
    let faults = [
        (r#"[{"name":"x","weight":-1}]"#, "organisation x: weight is -1"),
        (r#"[{"name":"x","maxCount":{"cpu":-5}}]"#, "organisation x: maxCount.cpu is -5"),
        (r#"[{"name":"x","maxCount":{"memMb":1e300}}]"#, "organisation x: maxCount.memMb is 1000"),
        (r#"[{"name":"x"},{"name":"x"}]"#, "organisation x: the name occurs twice"),
        (r#"[{"name":"x","apiKeys":["k","k"]}]"#, "organisation x: key "),
        (r#"[{"name":"x","apiKeys":["k"]},{"name":"y","apiKeys":["k"]}]"#, "organisations x and y"),
        (r#"[{"name":7}]"#, "invalid type: integer `7`"),
    ];
    for (tenants, expected) in faults {
        let fault = with(tenants).unwrap_err();
        assert!(fault.starts_with(expected), "{fault}");
        assert!(!fault.contains("\"k\""), "{fault}");
    }
}

#[test]
fn names_of_jobs_have_sixteen_lower_case_digits() {
    assert_eq!(front::name("5c0e7a21d94b36f8"), Some(0x5c0e_7a21_d94b_36f8));
    for wrong in ["", "5c0e", "5C0E7A21D94B36F8", "5c0e7a21d94b36f8/", "+c0e7a21d94b36f8"] {
        assert_eq!(front::name(wrong), None, "{wrong}");
    }
}

#[test]
fn job_states_are_encoded_with_the_platforms_names() {
    let shown = |outcome, started| {
        String::from_utf8(front::body(&Answer::State { outcome, started })).unwrap()
    };
    assert_eq!(shown(Outcome::Open, false), r#"{"state":"queued"}"#);
    assert_eq!(shown(Outcome::Open, true), r#"{"state":"running"}"#);
    assert_eq!(shown(Outcome::Complete, true), r#"{"state":"complete"}"#);
    assert_eq!(front::body(&Answer::Pending(12)), br#"{"pending":12}"#);
}

#[test]
fn calls_to_runners_omit_empty_fields() {
    let start = Start {
        task: task(),
        run: 2,
        text: String::from("(text)"),
        until_ms: 486_000,
        fence: 7,
        checkpoint: String::new(),
        ticket: String::new(),
    };
    let call = runner::start("i-7", &start);
    let body =
        r#"{"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"(text)","untilMs":486000,"fence":7}"#;
    assert_eq!(String::from_utf8(call.body).unwrap(), body);
    assert_eq!(call.headers, [("x-expect-instance", String::from("i-7"))]);
    let poll = runner::poll("i-7", &Poll { fence: 7, acknowledged: 57, ..Poll::default() });
    assert_eq!(String::from_utf8(poll.body).unwrap(), r#"{"fence":7,"seenUpto":57}"#);
}

#[test]
fn answers_of_runners_distinguish_rejected_from_unknown() {
    assert_eq!(runner::order(&reply(200, r#"{"clockMs":5}"#)), RunnerAnswer::Done(5));
    let rejected = |status, reason: &str| {
        runner::order(&reply(status, &format!(r#"{{"clockMs":5,"reason":"{reason}"}}"#)))
    };
    assert_eq!(rejected(409, "fence"), RunnerAnswer::Rejected(Rejection::Fence));
    assert_eq!(rejected(409, "room"), RunnerAnswer::Rejected(Rejection::Room));
    assert_eq!(rejected(421, ""), RunnerAnswer::Rejected(Rejection::Instance));
    assert_eq!(rejected(503, ""), RunnerAnswer::Rejected(Rejection::Unhealthy));
    assert!(matches!(rejected(500, ""), RunnerAnswer::Unknown(_)));
}

#[test]
fn reports_of_runners_are_decoded_and_invalid_rows_skipped() {
    let body = r#"{"clockMs":482113,"born":9,
        "running":[["5c0e7a21d94b36f8.0.1.17",2,"ck",41,320],["odd",1],[7]],
        "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"alone","c"]]}"#;
    let RunnerAnswer::Done(report) = runner::report(&reply(200, body)) else { panic!("a report") };
    assert_eq!((report.clock_ms, report.incarnation), (482_113, Some(9)));
    assert_eq!(report.running.len(), 1);
    assert_eq!((report.running[0].percent, report.running[0].usage), (41, 320));
    let ends: Vec<_> = report.ended.iter().map(|end| (end.number, end.exit)).collect();
    assert_eq!(ends, [(58, Exit::Done), (59, Exit::Stopped)]);
}

#[test]
fn registrations_by_other_programs_are_ignored() {
    let good = r#"{"service":"s","addr":"10.128.0.9:8080","zone":"z","state":"draining",
        "headroom":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"seq":4}"#;
    let registration = runner::registration(good.as_bytes()).unwrap();
    assert!(registration.draining);
    assert_eq!(registration.room.millicores, 16_000);
    for wrong in [
        good.replace("draining", "asleep"),
        good.replace("\"seq\":4", "\"seq\":\"4\""),
        good.replace("10.128.0.9:8080", "nowhere"),
        String::from("[]"),
    ] {
        assert_eq!(runner::registration(wrong.as_bytes()), None, "{wrong}");
    }
    assert_eq!(runner::registration(b"\xff\x00"), None);
}

/// Guards against a list of the store that is never followed again, as one of its entries can't be read.
#[test]
fn a_list_of_the_store_is_read_without_the_entries_that_are_unreadable() {
    let deep = "[".repeat(10_000) + &"]".repeat(10_000);
    let odd = [
        r#"{"key":"\ud800","value":"eA=="}"#,
        r#"{"key":7,"value":"eA=="}"#,
        r#"{"value":"eA=="}"#,
        r#"{"key":"b","value":"not base64"}"#,
        r#"{"key":"b","value":{}}"#,
        r#"{"key":"b","value":"eA==","offset":1e999}"#,
        "7",
        &format!(r#"{{"key":"b","value":"","more":{deep}}}"#),
        "{\"key\":\"\u{ff}\",\"value\":\"eA==\"}",
    ];
    for entry in odd {
        let mut body = br#"{"items":[{"key":"a","value":"eA=="},"#.to_vec();
        // Bytes that are no UTF-8 stand for themselves.
        body.extend(entry.chars().map(|byte| byte as u8));
        body.extend(br#",{"key":"c","value":"eA=="}],"hasMore":true,"end":9}"#);
        let newest = store::newest_page(&Reply { status: 200, body }).unwrap_or_default();
        let keys: Vec<&str> = newest.records.iter().map(|record| record.key.as_str()).collect();
        assert!(keys.starts_with(&["a"]) && keys.ends_with(&["c"]), "{entry:.40}: {keys:?}");
        assert_eq!((newest.next.as_deref(), newest.end), (Some("c"), 9));
    }
}

#[test]
fn manifests_and_waves_are_decoded() {
    let body = br#"{"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",
        "sloMs":600,"priority":1,"attempts":2,"stretch":1.6,"later":true}],
        "services":[{"name":"s","spare":true}],"limits":{"bodyBytes":10}}"#;
    let read = manifest::decode(body).unwrap();
    assert_eq!((read.version, read.body_bytes), (7, 10));
    assert_eq!(find(&read, "h", "/p/5c0e"), Some("r"));
    assert!(find(&read, "h", "/other").is_none() && find(&read, "g", "/p/").is_none());
    assert!(read.service("s").unwrap().spare);
    let wave =
        manifest::wave(br#"{"wave":1,"machines":["m"],"durationS":20,"maxCount":2}"#).unwrap();
    assert_eq!((wave.number, wave.max_at_once, wave.within), (1, 2, Duration::from_secs(20)));
    assert!(manifest::is_wave("wave/1") && !manifest::is_wave("config"));
    let (key, value) = manifest::wave_status(1, true);
    assert_eq!((key.as_str(), value.as_slice()), ("wave/1", &br#"{"state":"complete"}"#[..]));
}

#[test]
fn the_queue_with_the_longest_matching_prefix_is_chosen() {
    let body = br#"{"version":1,"routes":[{"name":"short","host":"h","pathPrefix":"/p/"},
        {"name":"long","host":"h","pathPrefix":"/p/q/"}]}"#;
    let read = manifest::decode(body).unwrap();
    assert_eq!(find(&read, "h", "/p/q/5c"), Some("long"));
    assert_eq!(find(&read, "h", "/p/5c"), Some("short"));
}

#[test]
fn answers_of_the_store_distinguish_fenced_refused_and_rejected() {
    assert_eq!(store::appended(&reply(200, r#"{"offset":840,"end":842}"#)), Ok(840));
    let fenced = store::appended(&reply(409, r#"{"reason":"fenced"}"#));
    assert_eq!(fenced, Err(store::Error::Fenced));
    let sequence = store::appended(&reply(409, r#"{"reason":"seq","seq":3}"#));
    assert_eq!(sequence, Err(store::Error::Sequence(3)));
    assert_eq!(store::appended(&reply(412, r#"{"end":5}"#)), Err(store::Error::Moved));
    assert_eq!(store::appended(&reply(503, "")), Err(store::Error::Refused(503)));
    assert_eq!(store::appended(&reply(429, "")), Err(store::Error::Refused(429)));
    assert_eq!(store::appended(&reply(400, "")), Err(store::Error::Rejected(400)));
    assert_eq!(store::appended(&reply(413, "")), Err(store::Error::Rejected(413)));
    let newest = r#"{"items":[{"key":"a","value":"AQI=","offset":4}],"hasMore":true,"end":6}"#;
    let newest = store::newest_page(&reply(200, newest)).unwrap();
    assert_eq!(newest.records, [Record { key: String::from("a"), value: vec![1, 2] }]);
    assert_eq!(newest.next.as_deref(), Some("a"));
}

#[test]
fn a_record_that_cannot_be_read_ends_no_list_of_the_newest_ones() {
    let page = r#"{"items":[{"key":"a","value":"?"},{"key":"b&c #%","value":"?"}],"hasMore":true}"#;
    let newest = store::newest_page(&reply(200, page)).unwrap();
    assert_eq!((newest.records.len(), newest.next.as_deref()), (0, Some("b&c #%")));
    let path = store::newest("keyed.servers", "b&c #%").path;
    assert!(path.ends_with("&dependsOn=b%26c%20%23%25"), "{path}");
    let path = store::newest("keyed.jobs", "5c0e7a21d94b36f8+").path;
    assert!(path.ends_with("&dependsOn=5c0e7a21d94b36f8+"), "{path}");
}

#[test]
fn vms_are_decoded_and_actions_carry_holder_and_fence() {
    let body = r#"{"machines":[{"machine":"m-1","pool":"p","state":"up","zone":"z","labels":["a"],
        "id":"i-1"},{"machine":"m-2","pool":"p","state":"odd","id":null}],"nextToken":"t"}"#;
    let page = fleet::page(&reply(200, body)).unwrap();
    assert_eq!(page.next.as_deref(), Some("t"));
    assert_eq!((page.vms[0].state, page.vms[1].state), (State::Up, State::Down));
    let action = upkeep::Action::Move { vm: "m-1".into(), pool: "q".into() };
    let call = fleet::change_vm(&action, "front-a-1", 12);
    assert_eq!(call.body, br#"{"machine":"m-1","pool":"q"}"#);
    let holder = [("x-duty-holder", "front-a-1".into()), ("x-fence-token", "12".into())];
    assert_eq!(call.headers, holder);
    assert_eq!(fleet::outcome(&reply(409, r#"{"reason":"busy"}"#)), Err(Refusal::Busy));
    assert_eq!(fleet::outcome(&reply(429, "")), Err(Refusal::Later));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), cases: 200, ..ProptestConfig::default()
    })]

    #[test]
    fn encoded_records_are_decoded_unchanged(
        records in proptest::collection::vec(("[a-z0-9+]{1,20}", proptest::collection::vec(0u8.., 0..80)), 0..8)
    ) {
        let records: Vec<Record> =
            records.into_iter().map(|(key, value)| Record { key, value }).collect();
        let mut page = [9u64.to_be_bytes(), 2u64.to_be_bytes()].concat();
        page.extend(frame::encode(&records));
        let read = frame::decode(&page).unwrap();
        prop_assert_eq!((read.end, read.first), (9, 2));
        prop_assert_eq!(read.records.into_iter().flatten().collect::<Vec<_>>(), records);
    }

    #[test]
    fn decoders_do_not_panic_on_arbitrary_bytes(bytes in proptest::collection::vec(0u8.., 0..200)) {
        let _ = frame::decode(&bytes);
        let _ = front::job(&bytes);
        let _ = runner::registration(&bytes);
        let _ = manifest::decode(&bytes);
        let _ = runner::report(&Reply { status: 200, body: bytes });
    }
}

#[test]
fn calls_to_the_advisor_name_the_step_and_tickets_are_decoded() {
    let step = Task { job: 0x5c0e_7a21_d94b_36f8, occurrence: 0, step: 1, index: 0 };
    let call = advisor::ask(&step, &["i-7f3a91c2".into()]).unwrap();
    assert_eq!(call.path, "/v1/advise");
    let expected = r#"{"step":"5c0e7a21d94b36f8.0.1","workers":["i-7f3a91c2"]}"#;
    assert_eq!(String::from_utf8(call.body).unwrap(), expected);
    let body = br#"{"good":[["i-7f3a91c2","c81e-7a21d94b"]],"validMs":3000}"#.to_vec();
    let tickets = advisor::tickets(&Reply { status: 200, body }).unwrap();
    assert_eq!(tickets.given, [("i-7f3a91c2".to_owned(), "c81e-7a21d94b".to_owned())]);
    assert_eq!(tickets.valid, Some(Duration::from_secs(3)));
    assert!(advisor::tickets(&Reply { status: 429, body: Vec::new() }).is_err());
}
