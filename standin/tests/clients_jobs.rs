//! Clients that don't behave at entries that place jobs: the processes live within their VM's memory and
//! descriptors, and ordinary callers are served. No check depends on the machine's speed.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod crowd;
mod site;

use {
    crowd::{BODY_BYTES, CLIENTS, Crowd, HEAD_BYTES, LOG_BYTES, chunks},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    site::{Site, job, scrape, wait},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread::sleep,
        time::Duration,
    },
};

/// Settings of the entries: [`crowd::MEMORY_MB`] and [`MAX_FDS`].
const SETTINGS: &str = "limits.memoryMb=64\nlimits.maxFds=4100\n";
/// Descriptors of an entry's process.
const MAX_FDS: u64 = 4_100;
/// Settings of entries that have only [`FEW_FDS`].
const FEW_FDS_SETTINGS: &str = "limits.memoryMb=64\nlimits.maxFds=400\n";
/// Descriptors of a process that has few.
const FEW_FDS: u64 = 400;
/// Lowest id of the jobs that ordinary callers submit.
const ORDINARY: u64 = 0xf000;

/// Two entries and two runners.
fn start(name: &str) -> Site {
    Site::start_with(name, 2, 2, SETTINGS)
}

/// The entries: the one that owns the cell, and the one that relays to it.
fn order(site: &Site) -> [usize; 2] {
    let owner = site.owner();
    [owner, 1 - owner]
}

/// Head of a submission.
fn head(id: u64, framing: &str) -> Vec<u8> {
    format!("POST /quotes/{id:016x} HTTP/1.1\r\nHost: desk.example\r\n{framing}\r\n\r\n")
        .into_bytes()
}

fn with_length(id: u64, length: usize) -> Vec<u8> {
    head(id, &format!("Content-Length: {length}"))
}

fn chunked(id: u64) -> Vec<u8> {
    head(id, "Transfer-Encoding: chunked")
}

/// A job of one task, padded to the longest body allowed.
fn long_job() -> Vec<u8> {
    let mut body = job(1).to_string().into_bytes();
    body.resize(BODY_BYTES, b' ');
    body
}

/// Has crowds do their worst at each entry; checks the bounds while they stay and after they have gone.
fn play(site: &Site, worst: impl Fn(&mut Crowd, u64)) {
    let entries = order(site);
    let mut crowds = Vec::new();
    for (number, entry) in entries.into_iter().enumerate() {
        let mut crowd = Crowd::open(site.entries[entry].callers, CLIENTS);
        worst(&mut crowd, 1 + (number * CLIENTS) as u64);
        check(site);
        serve_ordinary_caller(site, entry, ORDINARY + number as u64);
        crowds.push(crowd);
    }
    check(site);
    drop(crowds);
    for (number, entry) in entries.into_iter().enumerate() {
        serve_ordinary_caller(site, entry, ORDINARY + 2 + number as u64);
    }
    check(site);
}

/// Checks the processes, and that the crowd has not filled their logs.
fn check(site: &Site) {
    for (entry, name) in ["front-0", "front-1"].iter().enumerate() {
        crowd::check(site.process(entry), MAX_FDS);
        let logged = site.log(name).len();
        assert!(logged <= LOG_BYTES, "{name} has logged {logged} bytes");
    }
}

/// Submits a job at an entry until it is accepted, and waits until it is complete.
fn serve_ordinary_caller(site: &Site, entry: usize, id: u64) {
    wait("an ordinary caller's job to be accepted", || {
        let response = site.call(entry, "POST", &format!("{id:016x}"), Some(&job(1)));
        response.is_some_and(|response| response.status == 200)
    });
    site.wait_complete([id]);
}

/// Sends a request in pieces over a new connection, and returns the status of the answer.
fn status(entry: SocketAddr, pieces: &[&[u8]]) -> Option<u16> {
    answer(entry, pieces)?.split(' ').nth(1)?.parse().ok()
}

/// The same for the beginning of the answer.
fn answer(entry: SocketAddr, pieces: &[&[u8]]) -> Option<String> {
    let mut client = TcpStream::connect(entry).ok()?;
    client.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    for piece in pieces {
        // An answer may come before the whole request is sent.
        if client.write_all(piece).is_err() {
            break;
        }
    }
    let mut answer = [0; 1024];
    let count = client.read(&mut answer).ok()?;
    Some(String::from_utf8_lossy(&answer[..count]).into_owned())
}

/// Sends a request with a pause after each of 20 pieces, and returns the status of the answer.
fn slow_status(entry: SocketAddr, request: &[u8]) -> Option<u16> {
    let mut client = TcpStream::connect(entry).ok()?;
    client.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    for piece in request.chunks(request.len().div_ceil(20)) {
        client.write_all(piece).ok()?;
        sleep(Duration::from_millis(60));
    }
    let mut answer = [0; 1024];
    let count = client.read(&mut answer).ok()?;
    String::from_utf8_lossy(&answer[..count]).split(' ').nth(1)?.parse().ok()
}

#[test]
fn heads_over_the_limit_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("heads");
    let (long, longer) = (crowd::endless_head(390_000), crowd::endless_head(1 << 20));
    play(&site, |crowd, _| crowd.send_all(&long));
    play(&site, |crowd, _| crowd.send_all(&longer));
}

#[test]
fn heads_without_end_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("fields");
    let head = crowd::endless_fields(390_000);
    play(&site, |crowd, _| crowd.send_all(&head));
}

#[test]
fn empty_lines_without_end_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("empty");
    let lines = b"\r\n".repeat(1 << 18);
    play(&site, |crowd, _| crowd.send_all(&lines[..390_000]));
    play(&site, |crowd, _| crowd.send_all(&lines));
}

#[test]
fn whole_long_bodies_stay_within_a_jobs_entry_and_answers_are_true() {
    let _turn = crowd::turn();
    let site = start("whole-bodies");
    let body = long_job();
    let (last, most) = body.split_last().unwrap();
    for (number, entry) in order(&site).into_iter().enumerate() {
        let first = 1 + (number * CLIENTS) as u64;
        let mut crowd = Crowd::open(site.entries[entry].callers, CLIENTS);
        crowd.send(|client| with_length(first + client as u64, BODY_BYTES));
        crowd.send_all(most);
        crowd.send_all(&[*last]);
        let answers = crowd.answers();
        check(&site);
        check_answers(&site, first, &answers);
        serve_ordinary_caller(&site, entry, ORDINARY + number as u64);
    }
    check(&site);
}

/// Checks that accepted jobs complete, and that refused ones do not exist.
fn check_answers(site: &Site, first: u64, answers: &[String]) {
    let mut accepted = 0;
    for (id, answer) in (first..).zip(answers) {
        match answer.split(' ').nth(1) {
            Some("200") => {
                accepted += 1;
                site.wait_complete([id]);
            }
            Some("503" | "429") => {
                let response = site.call(0, "GET", &format!("{id:016x}"), None).unwrap();
                assert_eq!(response.status, 410, "job {id:016x} was refused: {answer}");
            }
            _ => {}
        }
    }
    assert!(accepted > 0, "no job of {} was accepted", answers.len());
}

#[test]
fn long_bodies_short_of_their_end_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("short-bodies");
    let body = long_job();
    play(&site, |crowd, first| {
        crowd.send(|client| with_length(first + client as u64, BODY_BYTES));
        crowd.send_all(&body[..BODY_BYTES - 1]);
    });
}

#[test]
fn large_chunks_short_of_their_end_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("large-chunks");
    let body = chunks(&long_job(), 64 << 10);
    play(&site, |crowd, first| {
        crowd.send(|client| chunked(first + client as u64));
        crowd.send_all(&body);
    });
}

#[test]
fn chunks_of_one_byte_short_of_their_end_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("small-chunks");
    let body = chunks(&long_job()[..32 << 10], 1);
    play(&site, |crowd, first| {
        crowd.send(|client| chunked(first + client as u64));
        crowd.send_all(&body);
    });
}

#[test]
fn bodies_that_are_large_once_parsed_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("parsed");
    let mut body = b"{\"steps\":[".to_vec();
    while body.len() < BODY_BYTES - 8 {
        body.extend_from_slice(b"{},");
    }
    body.extend_from_slice(b"{}]}");
    play(&site, |crowd, first| {
        crowd.send(|client| with_length(first + client as u64, body.len()));
        crowd.send_all(&body);
    });
}

#[test]
fn bodies_that_are_long_in_an_error_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("errors");
    let body = format!("{{\"steps\":\"{}\"}}", "\\u0001".repeat(40_000)).into_bytes();
    play(&site, |crowd, first| {
        crowd.send(|client| with_length(first + client as u64, body.len()));
        crowd.send_all(&body);
    });
}

#[test]
fn jobs_of_many_tasks_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("tasks");
    let body = job(6_000).to_string().into_bytes();
    let entries = order(&site);
    let mut answers = Vec::new();
    for (number, entry) in entries.into_iter().enumerate() {
        let first = 1 + (number * CLIENTS) as u64;
        let mut crowd = Crowd::open(site.entries[entry].callers, CLIENTS);
        crowd
            .send(|client| [with_length(first + client as u64, body.len()), body.clone()].concat());
        answers.extend(crowd.answers());
        check(&site);
    }
    for (id, answer) in (1..).zip(&answers) {
        if !answer.starts_with("HTTP/1.1 503") && !answer.starts_with("HTTP/1.1 429") {
            wait("a job to be cancelled", || {
                let response = site.call(entries[0], "DELETE", &format!("{id:016x}"), None);
                response.is_some_and(|response| matches!(response.status, 200 | 410))
            });
        }
    }
    for (number, entry) in entries.into_iter().enumerate() {
        serve_ordinary_caller(&site, entry, ORDINARY + number as u64);
    }
    check(&site);
}

#[test]
fn answers_that_nobody_reads_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("unread");
    let request =
        b"GET /quotes/00000000000000ff HTTP/1.1\r\nHost: desk.example\r\n\r\n".repeat(4_000);
    play(&site, |crowd, _| crowd.send_all(&request));
}

#[test]
fn idle_connections_leave_descriptors_of_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = Site::start_with("idle-clients", 2, 2, FEW_FDS_SETTINGS);
    let crowds = [0, 1].map(|entry| Crowd::open(site.entries[entry].callers, CLIENTS));
    for entry in 0..2 {
        serve_ordinary_caller(&site, entry, ORDINARY + entry as u64);
        crowd::check(site.process(entry), FEW_FDS);
    }
    drop(crowds);
    serve_ordinary_caller(&site, 0, ORDINARY + 2);
}

#[test]
fn deadlines_without_end_hold_no_request_of_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("deadlines");
    let deadline = format!("X-Deadline-Ms: {}\r\nContent-Length: 2", u64::MAX);
    site.store.start_outage(Duration::from_secs(4));
    sleep(Duration::from_secs(1));
    play(&site, |crowd, first| {
        crowd.send(|client| [head(first + client as u64, &deadline), b"{}".to_vec()].concat());
    });
}

#[test]
fn slow_clients_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("slow-clients");
    let body = long_job();
    play(&site, |crowd, first| {
        crowd.send(|client| with_length(first + client as u64, BODY_BYTES));
        for piece in body[..BODY_BYTES - 1].chunks(32 << 10) {
            crowd.send_all(piece);
            sleep(Duration::from_millis(100));
        }
    });
}

#[test]
fn trailers_without_end_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("trailers");
    let trailers = [b"2\r\n{}\r\n0\r\n".to_vec(), crowd::endless_trailers(390_000)].concat();
    play(&site, |crowd, first| {
        crowd.send(|client| chunked(first + client as u64));
        crowd.send_all(&trailers);
    });
}

#[test]
fn requests_one_behind_the_other_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    let site = start("pipelined");
    let body = long_job();
    play(&site, |crowd, first| {
        crowd.send(|client| {
            let request = [with_length(first + client as u64, BODY_BYTES), body.clone()].concat();
            request.repeat(3)
        });
    });
}

/// The callers' connections are all in use: by clients that send nothing, then by requests that wait for an
/// owner that is paused.
#[test]
fn other_listeners_of_a_jobs_entry_answer_while_callers_connections_are_in_use() {
    let _turn = crowd::turn();
    let mut site = start("listeners");
    let [owner, other] = order(&site);
    let answers = |site: &Site, entry: usize| {
        let entry = &site.entries[entry];
        let ready = status(entry.ready, &[b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n"]);
        assert!(matches!(ready, Some(200 | 503)), "the readiness check: {ready:?}");
        let metrics = status(entry.metrics(), &[b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"]);
        assert_eq!(metrics, Some(200), "the metrics");
    };
    let idle = [0, 1].map(|entry| Crowd::open(site.entries[entry].callers, CLIENTS));
    for entry in 0..2 {
        answers(&site, entry);
        serve_ordinary_caller(&site, entry, ORDINARY + entry as u64);
    }
    drop(idle);
    site.signal(owner, "-STOP");
    let mut handled = Crowd::open(site.entries[other].callers, CLIENTS);
    handled.send(|client| {
        let head = head(1 + client as u64, "X-Deadline-Ms: 60000\r\nContent-Length: 2");
        [head, b"{}".to_vec()].concat()
    });
    answers(&site, other);
    wait("the other entry to take over", || site.owner() == other);
    answers(&site, other);
    let metrics = scrape(site.entries[other].metrics());
    assert!(metrics.contains("carobhitch_intake{value=\"closed_connections\"}"), "{metrics}");
    site.signal(owner, "-CONT");
    for entry in 0..2 {
        serve_ordinary_caller(&site, entry, ORDINARY + 2 + entry as u64);
        answers(&site, entry);
    }
    check(&site);
}

/// A job that is stored runs. Without memory for its repetition it is not said that nothing will run.
#[test]
fn a_repetition_without_memory_is_not_called_refused() {
    let _turn = crowd::turn();
    let site = Site::start_with("repetition", 2, 2, "intake.bodyMemoryBytes=1024\n");
    let body = long_job();
    for (number, entry) in order(&site).into_iter().enumerate() {
        let (stored, new) = (1 + 2 * number as u64, 2 + 2 * number as u64);
        site.submit(stored, 1);
        for id in [stored, new] {
            let answer =
                answer(site.entries[entry].callers, &[&with_length(id, BODY_BYTES), &body]);
            let answer = answer.expect("an answer").to_ascii_lowercase();
            assert!(answer.starts_with("http/1.1 504"), "{answer}");
            assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
        }
        site.wait_complete([stored]);
        let response = site.call(entry, "GET", &format!("{new:016x}"), None).unwrap();
        assert_eq!(response.status, 410, "what was not looked at is not stored");
    }
}

/// Requests for jobs that are not known wait for the store, also when their callers have gone.
#[test]
fn requests_that_wait_for_the_store_are_bounded_at_the_owner() {
    let _turn = crowd::turn();
    let site = Site::start_with("pending", 2, 2, "limits.memoryMb=64\nintake.pendingRequests=20\n");
    let [owner, other] = order(&site);
    site.submit(1, 1);
    site.wait_complete([1]);
    site.store.start_outage(Duration::from_secs(6));
    let mut crowd = Crowd::open(site.entries[owner].callers, 100);
    crowd.send(|client| {
        let path = format!("/quotes/{:016x}", 100 + client);
        format!("GET {path} HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 100\r\n\r\n")
            .into_bytes()
    });
    drop(crowd);
    let metrics = || scrape(site.entries[owner].metrics());
    wait("requests to be refused", || metrics().contains("event=\"refuse_pending\""));
    for entry in [owner, other] {
        serve_ordinary_caller(&site, entry, ORDINARY + entry as u64);
    }
    check(&site);
}

/// Crowds at both entries that come and go while entries are killed and started again.
#[test]
fn random_crowds_and_restarts_stay_within_a_jobs_entry() {
    let _turn = crowd::turn();
    for seed in crowd::seeds() {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut site = start(&format!("random-{seed}"));
        let mut crowds = Vec::new();
        for round in 0..4 {
            let entry = rng.random_range(0..2);
            let mut crowd = Crowd::open(site.entries[entry].callers, CLIENTS);
            crowd.send(|client| {
                let mut rng = SmallRng::seed_from_u64(seed << 32 | round << 16 | client as u64);
                let id = 1 + round * CLIENTS as u64 + client as u64;
                crowd::random_message(&mut rng, |fields| head(id, fields))
            });
            check(&site);
            crowds.push(crowd);
            match rng.random_range(0..4) {
                0 => crowds.clear(),
                1 => {
                    let killed = rng.random_range(0..2);
                    site.kill(killed);
                    site.launch(killed);
                }
                2 => site.signal(entry, "-HUP"),
                _ => {}
            }
            serve_ordinary_caller(&site, entry, ORDINARY + round);
        }
        check(&site);
    }
}

#[test]
fn requests_at_the_limits_are_served_in_calm() {
    let _turn = crowd::turn();
    let site = start("calm");
    let body = long_job();
    for (number, entry) in order(&site).into_iter().enumerate() {
        let (entry, id) = (site.entries[entry].callers, 1 + 8 * number as u64);
        let plain = with_length(id, BODY_BYTES);
        assert_eq!(status(entry, &[&plain, &body]), Some(200), "a long body");
        let pieces: Vec<&[u8]> = body.chunks(1_000).collect();
        let plain = with_length(id + 1, BODY_BYTES);
        assert_eq!(status(entry, &[&[&plain[..]], &pieces[..]].concat()), Some(200), "in pieces");
        let small = [chunked(id + 2), chunks(&body, 1), b"0\r\n\r\n".to_vec()].concat();
        assert_eq!(status(entry, &[&small]), Some(200), "in chunks of one byte");
        let padding = HEAD_BYTES - with_length(id + 3, BODY_BYTES).len() - "X-Padding: \r\n".len();
        let padded = format!("Content-Length: {BODY_BYTES}\r\nX-Padding: {}", "p".repeat(padding));
        let long_head = head(id + 3, &padded);
        assert_eq!(long_head.len(), HEAD_BYTES);
        assert_eq!(status(entry, &[&long_head, &body]), Some(200), "a long head");
        let fields: String = (0..300).map(|field| format!("X-Field-{field}: value\r\n")).collect();
        let many = head(id + 4, &format!("{fields}Content-Length: {BODY_BYTES}"));
        assert!(many.len() < HEAD_BYTES);
        assert_eq!(status(entry, &[&many, &body]), Some(200), "many header fields");
        let slow = [with_length(id + 5, BODY_BYTES), body.clone()].concat();
        assert_eq!(slow_status(entry, &slow), Some(200), "slowly, by length");
        let slow = [chunked(id + 6), chunks(&body, 4_096), b"0\r\n\r\n".to_vec()].concat();
        assert_eq!(slow_status(entry, &slow), Some(200), "slowly, by chunks");
    }
    check(&site);
}
