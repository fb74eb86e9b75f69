//! A burst of changes of configuration, and the time until each is in force on every entry.
//!
//! A change counts from just before its append. Each entry's version in force is polled, and an
//! entry shows it up to 100 ms after it has applied a record, so the times are upper bounds.

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

/// Time between two looks at an entry.
const LOOK: Duration = Duration::from_millis(10);
/// Time after the last append within which every change must be in force.
const PATIENCE: Duration = Duration::from_secs(30);

/// Why a burst could not be measured.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Call(client::Error),
    /// encode change: {0}
    Encode(serde_json::Error),
    /// change at offset {0} was not in force everywhere in time
    Late(Offset),
    /// a thread of the measurement failed
    Thread,
}

impl std::error::Error for Error {}

/// Result of a burst.
pub type Result<T> = std::result::Result<T, Error>;

/// When an entry was first seen with a version in force.
type Sight = (Instant, Offset);

/// A change in the log.
struct Sent {
    begun: Instant,
    offset: Offset,
}

/// Appends `count` changes one after the other; returns their times in force everywhere, sorted.
pub fn run(platform: SocketAddr, entries: &[SocketAddr], count: u64) -> Result<Vec<Duration>> {
    let (told, done) = crossbeam::channel::bounded::<Offset>(entries.len());
    let measured = thread::scope(|scope| {
        let watch = |entry: &SocketAddr| {
            let (entry, done) = (*entry, done.clone());
            scope.spawn(move |_| watch(entry, &done))
        };
        let watchers: Vec<_> = entries.iter().map(watch).collect();
        let sent = append_all(platform, count);
        let last = sent.as_ref().ok().and_then(|s| s.last()).map_or(0, |s| s.offset);
        // A watcher that has failed is seen when it is joined.
        entries.iter().for_each(|_| _ = told.send(last));
        let sights: Vec<_> = watchers.into_iter().filter_map(|w| w.join().ok()).collect();
        times(&sent?, &sights)
    });
    measured.map_err(|_| Error::Thread)?
}

fn append_all(platform: SocketAddr, count: u64) -> Result<Vec<Sent>> {
    (0..count).map(|_| append(platform)).collect()
}

fn append(platform: SocketAddr) -> Result<Sent> {
    let begun = Instant::now();
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = format!("burst-{}", at.as_nanos());
    let edit = Edit { id: id.clone(), expected: None, value: Some(Team::default()) };
    let body = Body::Change { changes: vec![Change::Team(edit)] };
    let record = Record { operation: id.clone(), author: "burst".into(), at, body };
    let append = Append::new(id, &record).map_err(Error::Encode)?;
    let path = format!("/streams/{FLEET_STREAM}/records");
    let Appended { offset } = client::post(platform, &path, &append).map_err(Error::Call)?;
    Ok(Sent { begun, offset })
}

/// Polls an entry until the last change, which `done` tells, is in force or is late.
fn watch(entry: SocketAddr, done: &crossbeam::channel::Receiver<Offset>) -> Vec<Sight> {
    let mut sights: Vec<Sight> = Vec::new();
    let mut end: Option<(Offset, Instant)> = None;
    loop {
        let status: Option<Status> = client::get(entry, "/status").ok();
        let version = status.and_then(|s| s.version).unwrap_or(0);
        let now = Instant::now();
        if sights.last().is_none_or(|(_, seen)| *seen < version) {
            sights.push((now, version));
        }
        if end.is_none() {
            end = done.try_recv().ok().map(|last| (last, now + PATIENCE));
        }
        if end.is_some_and(|(last, until)| version >= last || now > until) {
            return sights;
        }
        std::thread::sleep(LOOK);
    }
}

fn times(sent: &[Sent], sights: &[Vec<Sight>]) -> Result<Vec<Duration>> {
    let everywhere = |s: &Sent| {
        let seen = |of: &Vec<Sight>| of.iter().find(|(_, v)| *v >= s.offset).map(|(at, _)| *at);
        let last: Option<Vec<Instant>> = sights.iter().map(seen).collect();
        let last = last.and_then(|at| at.into_iter().max()).ok_or(Error::Late(s.offset))?;
        Ok(last.duration_since(s.begun))
    };
    let mut times = sent.iter().map(everywhere).collect::<Result<Vec<_>>>()?;
    times.sort_unstable();
    Ok(times)
}
