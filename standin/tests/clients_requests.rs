//! Clients that don't behave at entries that pass requests on to endpoints: the processes live within their
//! VM's memory and descriptors, and ordinary callers are served. No check depends on the machine's speed.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod crowd;
mod fleet;

use {
    crowd::{CLIENTS, Crowd, Trickle, chunks},
    fleet::{Fleet, wait},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread::sleep,
        time::Duration,
    },
};

/// Limits of the entries: [`crowd::MEMORY_MB`] and [`MAX_FDS`].
const LIMITS: &str = "memory_mb = 64\ndescriptors = 4100\n";
/// Descriptors of an entry's process.
const MAX_FDS: u64 = 4_100;
/// Limits of entries that have only [`FEW_FDS`].
const FEW_FDS_LIMITS: &str = "memory_mb = 64\ndescriptors = 400\n";
/// Descriptors of a process that has few.
const FEW_FDS: u64 = 400;
/// Name, entries and endpoints of each availability zone; the second zone's entry relays to the first.
const ZONES: &[(&str, usize, usize)] = &[("a", 1, 2), ("b", 1, 0)];
/// Longest body that the entries accept by default, in bytes.
const BODY_BYTES: usize = 16 << 20;
/// Length of a body that is too long to be buffered before it is passed on, in bytes.
const LONG_BYTES: usize = 1 << 20;

/// Number of clients that send long bodies a byte at a time.
const TRICKLES: usize = 40;
/// Pause after the beginning of each, in which the entry reads it.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);
/// Time between two of their bytes.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(500);

/// Head of a request of which the endpoint responds with `answer_bytes`.
fn head(client: usize, answer_bytes: usize, framing: &str) -> Vec<u8> {
    let path = format!("/quotes/work?id=c{client}&work_ms=1&answer_bytes={answer_bytes}");
    format!("POST {path} HTTP/1.1\r\nHost: desk.example\r\n{framing}\r\n\r\n").into_bytes()
}

fn with_length(client: usize, length: usize) -> Vec<u8> {
    head(client, 0, &format!("Content-Length: {length}"))
}

fn chunked(client: usize) -> Vec<u8> {
    head(client, 0, "Transfer-Encoding: chunked")
}

/// Has crowds do their worst at each entry; checks the bounds while they stay and after they have gone.
fn play(fleet: &Fleet, worst: impl Fn(&mut Crowd)) {
    let mut crowds = Vec::new();
    for entry in &fleet.entries {
        let mut crowd = Crowd::open(entry.callers, CLIENTS);
        worst(&mut crowd);
        check(fleet, MAX_FDS);
        serve_ordinary_caller(entry.callers);
        crowds.push(crowd);
    }
    check(fleet, MAX_FDS);
    drop(crowds);
    fleet.entries.iter().for_each(|entry| serve_ordinary_caller(entry.callers));
    check(fleet, MAX_FDS);
}

fn check(fleet: &Fleet, max_fds: u64) {
    fleet.entries.iter().for_each(|entry| crowd::check(entry.process(), max_fds));
}

/// Sends a request until it is served.
fn serve_ordinary_caller(entry: SocketAddr) {
    wait("an ordinary caller to be served", || {
        exchange(entry, &[&with_length(0, 4), b"work"]).is_some_and(|answer| is_served(&answer, 0))
    });
}

/// Whether an answer is the endpoint's, with a body of at least `length` bytes.
fn is_served(answer: &[u8], length: usize) -> bool {
    let text = String::from_utf8_lossy(answer);
    text.split_once("\r\n\r\n")
        .is_some_and(|(head, body)| head.starts_with("HTTP/1.1 200") && body.len() >= length)
}

/// Sends a request in pieces over a new connection, and returns the whole answer.
fn exchange(entry: SocketAddr, pieces: &[&[u8]]) -> Option<Vec<u8>> {
    let mut client = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
    client.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    client.set_write_timeout(Some(Duration::from_secs(10))).ok()?;
    for piece in pieces {
        client.write_all(piece).ok()?;
    }
    let mut answer = Vec::new();
    let mut buffer = [0; 65_536];
    loop {
        let text = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1)?.split("\r\n").next()?;
            if answer.len() >= head.len() + 4 + length.parse::<usize>().ok()? {
                return Some(answer);
            }
        }
        match client.read(&mut buffer).ok()? {
            0 => return None,
            count => answer.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Sends a request with a pause after each piece; returns whether it was served.
fn slow_exchange(entry: SocketAddr, head: &[u8], pieces: &[&[u8]]) -> bool {
    let mut client = TcpStream::connect(entry).expect("connect");
    client.set_read_timeout(Some(Duration::from_secs(10))).expect("set a timeout");
    client.write_all(head).expect("send a head");
    for piece in pieces {
        client.write_all(piece).expect("send a piece");
        sleep(Duration::from_millis(100));
    }
    let mut answer = [0; 1024];
    let count = client.read(&mut answer).expect("read an answer");
    is_served(&answer[..count], 0)
}

#[test]
fn heads_over_the_limit_stay_within_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-heads", ZONES, LIMITS);
    let (long, longer) = (crowd::endless_head(390_000), crowd::endless_head(1 << 20));
    play(&fleet, |crowd| crowd.send_all(&long));
    play(&fleet, |crowd| crowd.send_all(&longer));
}

#[test]
fn heads_without_end_stay_within_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-fields", ZONES, LIMITS);
    let head = crowd::endless_fields(390_000);
    play(&fleet, |crowd| crowd.send_all(&head));
}

#[test]
fn empty_lines_without_end_stay_within_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-empty", ZONES, LIMITS);
    let lines = b"\r\n".repeat(1 << 18);
    play(&fleet, |crowd| crowd.send_all(&lines[..390_000]));
    play(&fleet, |crowd| crowd.send_all(&lines));
}

#[test]
fn whole_long_bodies_stay_within_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-whole", ZONES, LIMITS);
    let body = vec![b'q'; LONG_BYTES];
    play(&fleet, |crowd| {
        crowd.send(|client| with_length(client, LONG_BYTES));
        crowd.send_all(&body);
    });
}

#[test]
fn long_bodies_short_of_their_end_stay_within_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-short", ZONES, LIMITS);
    let body = vec![b'q'; LONG_BYTES];
    for length in [64_000, 500_000, LONG_BYTES] {
        play(&fleet, |crowd| {
            crowd.send(|client| with_length(client, length));
            crowd.send_all(&body[..length - 1]);
        });
    }
}

/// Bodies that are too long to be buffered hold memory and endpoints from when they are passed on, so these
/// arrive a byte at a time from then on.
#[test]
fn long_bodies_that_trickle_keep_no_ordinary_caller_out() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-trickle", ZONES, LIMITS);
    let framing = format!("Content-Length: {BODY_BYTES}\r\nCarobhitch-Deadline-Ms: 3600000");
    let begun = vec![b'q'; LONG_BYTES];
    for entry in &fleet.entries {
        // One after the other, so that each finds the memory that is left.
        let trickle = |_| {
            let mut client = Crowd::open(entry.callers, 1);
            client.send(|_| head(0, 0, &framing));
            client.send_all(&begun);
            sleep(TRICKLE_PAUSE);
            client.trickle(TRICKLE_INTERVAL)
        };
        let trickles: Vec<_> = (0..TRICKLES).map(trickle).collect();
        check(&fleet, MAX_FDS);
        serve_ordinary_caller(entry.callers);
        let body = [b'q'; 100_000];
        wait("an ordinary caller with a longer body to be served", || {
            let answer = exchange(entry.callers, &[&with_length(0, body.len()), &body]);
            answer.is_some_and(|answer| is_served(&answer, 0))
        });
        trickles.into_iter().for_each(Trickle::stop);
    }
}

#[test]
fn large_chunks_short_of_their_end_stay_within_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-large-chunks", ZONES, LIMITS);
    let body = chunks(&vec![b'q'; LONG_BYTES], 64 << 10);
    play(&fleet, |crowd| {
        crowd.send(chunked);
        crowd.send_all(&body);
    });
}

#[test]
fn chunks_of_one_byte_short_of_their_end_stay_within_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-small-chunks", ZONES, LIMITS);
    let body = chunks(&vec![b'q'; 60 << 10], 1);
    play(&fleet, |crowd| {
        crowd.send(chunked);
        crowd.send_all(&body);
    });
}

#[test]
fn answers_that_nobody_reads_stay_within_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-unread", ZONES, LIMITS);
    for answer_bytes in [250_000, 2 << 20] {
        play(&fleet, |crowd| {
            crowd.send(|client| head(client, answer_bytes, "Content-Length: 0").repeat(8));
        });
    }
}

#[test]
fn trailers_without_end_stay_within_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-trailers", ZONES, LIMITS);
    let trailers = [b"4\r\nwork\r\n0\r\n".to_vec(), crowd::endless_trailers(390_000)].concat();
    play(&fleet, |crowd| {
        crowd.send(chunked);
        crowd.send_all(&trailers);
    });
}

#[test]
fn requests_one_behind_the_other_stay_within_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-pipelined", ZONES, LIMITS);
    let body = vec![b'q'; 60_000];
    play(&fleet, |crowd| {
        crowd.send(|client| [with_length(client, body.len()), body.clone()].concat().repeat(6));
    });
}

/// What is kept of a team outlasts its requests, so its name is as short as declared ones.
#[test]
fn long_names_of_teams_are_rejected() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-teams", ZONES, LIMITS);
    for entry in &fleet.entries {
        let named = |length: usize| {
            let team = "t".repeat(length);
            let head = head(1, 0, &format!("Carobhitch-Team: {team}\r\nContent-Length: 0"));
            exchange(entry.callers, &[&head]).expect("an answer")
        };
        assert!(is_served(&named(64), 0));
        let long = String::from_utf8_lossy(&named(65)).into_owned();
        assert!(long.starts_with("HTTP/1.1 400"), "{long}");
        assert!(long.contains("carobhitch-outcome: not-run"), "{long}");
    }
}

#[test]
fn other_listeners_of_an_entry_answer_while_callers_connections_are_in_use() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-listeners", ZONES, FEW_FDS_LIMITS);
    let mut crowds: Vec<_> =
        fleet.entries.iter().map(|entry| Crowd::open(entry.callers, CLIENTS)).collect();
    for crowd in &mut crowds {
        crowd.send(|client| with_length(client, 100));
    }
    // Operators' calls, the platform's log, and links: a request that is relayed.
    fleet.command(&["status"]);
    fleet.declare();
    fleet.entries.iter().for_each(|entry| serve_ordinary_caller(entry.callers));
    check(&fleet, FEW_FDS);
}

#[test]
fn idle_connections_leave_descriptors_of_an_entry() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-idle", ZONES, FEW_FDS_LIMITS);
    let crowds: Vec<_> =
        fleet.entries.iter().map(|entry| Crowd::open(entry.callers, CLIENTS)).collect();
    fleet.entries.iter().for_each(|entry| serve_ordinary_caller(entry.callers));
    check(&fleet, FEW_FDS);
    drop(crowds);
    fleet.entries.iter().for_each(|entry| serve_ordinary_caller(entry.callers));
}

/// Requests that the entry has no memory for, or whose body stops, are refused. Of a repeated order that
/// says nothing about its earlier requests.
#[test]
fn a_refused_repetition_of_an_order_is_not_called_not_run() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-repeats", ZONES, "memory_mb = 64\nbody_memory_mb = 1\n");
    let order = "Idempotency-Key: k\r\nContent-Length: 60000";
    for (repeat, outcome) in [("", "not-run"), ("Carobhitch-Repeat: 1\r\n", "unknown")] {
        let mut crowd = Crowd::open(fleet.entries[0].callers, 40);
        crowd.send(|client| head(client, 0, &format!("{repeat}{order}")));
        crowd.send_all(&[b'q'; 59_999]);
        let refused = crowd.answers();
        let refused: Vec<_> = refused.iter().filter(|answer| !answer.is_empty()).collect();
        assert!(!refused.is_empty(), "40 bodies of 60 kB need more than 1 MB");
        for answer in refused {
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.contains(&format!("carobhitch-outcome: {outcome}\r\n")), "{answer}");
            assert!(answer.contains("retry-after: "), "{answer}");
        }
    }
}

/// Crowds at both entries that come and go.
#[test]
fn random_crowds_stay_within_an_entry() {
    let _turn = crowd::turn();
    for seed in crowd::seeds() {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let fleet = Fleet::with_limits(&format!("crowd-random-{seed}"), ZONES, LIMITS);
        let mut crowds = Vec::new();
        for round in 0..4 {
            let entry = &fleet.entries[rng.random_range(0..2)];
            let mut crowd = Crowd::open(entry.callers, CLIENTS);
            crowd.send(|client| {
                let mut rng = SmallRng::seed_from_u64(seed << 32 | round << 16 | client as u64);
                let answer_bytes = rng.random_range(0..400_000);
                crowd::random_message(&mut rng, |fields| head(client, answer_bytes, fields))
            });
            check(&fleet, MAX_FDS);
            crowds.push(crowd);
            if rng.random_bool(0.3) {
                crowds.clear();
            }
            serve_ordinary_caller(entry.callers);
        }
        check(&fleet, MAX_FDS);
    }
}

#[test]
fn long_requests_and_responses_are_served_in_calm() {
    let _turn = crowd::turn();
    let fleet = Fleet::with_limits("crowd-calm", ZONES, LIMITS);
    let body = vec![b'q'; BODY_BYTES];
    for entry in &fleet.entries {
        let served = |pieces: &[&[u8]], length| {
            exchange(entry.callers, pieces).is_some_and(|answer| is_served(&answer, length))
        };
        assert!(served(&[&with_length(1, BODY_BYTES), &body], 0), "a long body");
        let pieces: Vec<_> = body.chunks(100_000).collect();
        assert!(served(&[&[&with_length(2, BODY_BYTES)[..]], &pieces[..]].concat(), 0), "pieces");
        let small = [chunked(3), chunks(&body[..100_000], 1), b"0\r\n\r\n".to_vec()].concat();
        assert!(served(&[&small], 0), "chunks of one byte");
        let slow: Vec<_> = body.chunks(BODY_BYTES / 8).collect();
        assert!(slow_exchange(entry.callers, &with_length(5, BODY_BYTES), &slow), "slowly");
        let slow = [chunks(&body[..1 << 20], 65_536), b"0\r\n\r\n".to_vec()].concat();
        let slow: Vec<_> = slow.chunks(100_000).collect();
        assert!(slow_exchange(entry.callers, &chunked(6), &slow), "slowly, by chunks");
        let long_answer = head(4, 2 << 20, "Content-Length: 0");
        assert!(served(&[&long_answer], 2 << 20), "a long response");
    }
    check(&fleet, MAX_FDS);
}
