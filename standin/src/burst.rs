//! Appends a burst of configuration changes and measures the time until each is in force on every
//! entry.
//!
//! The time of a change starts just before its append. Each entry's version in force is polled, and
//! an entry's status shows a new version up to 100 ms after the entry has applied the record, so the
//! measured times are upper bounds.

use {
    crate::client,
    carobhitch::{
        change::{Change, Edit},
        engine::Status,
        fleet::Team,
        id::Offset,
        platform::{Append, Appended},
        record::{Body, FLEET_STREAM, Record},
    },
    crossbeam::thread,
    displaydoc::Display,
    std::{
        net::SocketAddr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Time between two polls of an entry.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after the last append within which every change must be in force.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Why a burst could not be measured.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Call(client::Error),
    /// encode change: {0}
    Encode(serde_json::Error),
    /// change at offset {0} was not in force on every entry before the timeout
    Late(Offset),
    /// a measuring thread panicked
    Thread,
}

impl std::error::Error for Error {}

/// Result of a burst.
pub type Result<T> = std::result::Result<T, Error>;

/// When an entry first showed a version, and the version.
type Observation = (Instant, Offset);

/// A change that was appended.
struct Sent {
    started: Instant,
    offset: Offset,
}

/// Appends `count` changes one after the other; returns, sorted, the times until each was in force on
/// every entry.
pub fn run(platform: SocketAddr, entries: &[SocketAddr], count: u64) -> Result<Vec<Duration>> {
    let (sender, receiver) = crossbeam::channel::bounded::<Offset>(entries.len());
    let measured = thread::scope(|scope| {
        let spawn_watcher = |entry: &SocketAddr| {
            let (entry, receiver) = (*entry, receiver.clone());
            scope.spawn(move |_| poll_versions(entry, &receiver))
        };
        let watchers: Vec<_> = entries.iter().map(spawn_watcher).collect();
        let sent = append_all(platform, count);
        let last = sent.as_ref().ok().and_then(|s| s.last()).map_or(0, |s| s.offset);
        // One offset for each watcher. The channel has room for all of them, and `receiver` keeps it open,
        // so no send blocks or fails. A watcher that panicked is left out of the observations.
        entries.iter().for_each(|_| _ = sender.send(last));
        let observations: Vec<_> = watchers.into_iter().filter_map(|w| w.join().ok()).collect();
        latencies(&sent?, &observations)
    });
    measured.map_err(|_| Error::Thread)?
}

fn append_all(platform: SocketAddr, count: u64) -> Result<Vec<Sent>> {
    (0..count).map(|_| append(platform)).collect()
}

fn append(platform: SocketAddr) -> Result<Sent> {
    let started = Instant::now();
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = format!("burst-{}", at.as_nanos());
    let edit = Edit { id: id.clone(), expected: None, value: Some(Team::default()) };
    let body = Body::Change { changes: vec![Change::Team(edit)] };
    let record = Record { operation: id.clone(), author: "burst".into(), at, body };
    let append = Append::new(id, &record).map_err(Error::Encode)?;
    let path = format!("/streams/{FLEET_STREAM}/records");
    let Appended { offset } = client::post(platform, &path, &append).map_err(Error::Call)?;
    Ok(Sent { started, offset })
}

/// Polls an entry until the last change, whose offset comes through `receiver`, is in force or the
/// timeout has passed.
fn poll_versions(
    entry: SocketAddr,
    receiver: &crossbeam::channel::Receiver<Offset>,
) -> Vec<Observation> {
    let mut observations: Vec<Observation> = Vec::new();
    let mut end: Option<(Offset, Instant)> = None;
    loop {
        let status: Option<Status> = client::get(entry, "/status").ok();
        let version = status.and_then(|s| s.version).unwrap_or(0);
        let now = Instant::now();
        if observations.last().is_none_or(|(_, seen)| *seen < version) {
            observations.push((now, version));
        }
        if end.is_none() {
            end = receiver.try_recv().ok().map(|last| (last, now + TIMEOUT));
        }
        if end.is_some_and(|(last, until)| version >= last || now > until) {
            return observations;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn latencies(sent: &[Sent], observations: &[Vec<Observation>]) -> Result<Vec<Duration>> {
    let latency = |s: &Sent| {
        let first_seen =
            |of: &Vec<Observation>| of.iter().find(|(_, v)| *v >= s.offset).map(|(at, _)| *at);
        let last: Option<Vec<Instant>> = observations.iter().map(first_seen).collect();
        let last = last.and_then(|at| at.into_iter().max()).ok_or(Error::Late(s.offset))?;
        Ok(last.duration_since(s.started))
    };
    let mut latencies = sent.iter().map(latency).collect::<Result<Vec<_>>>()?;
    latencies.sort_unstable();
    Ok(latencies)
}
