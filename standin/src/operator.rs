//! Operators' changes, appended directly to the platform's log, with the time that each took.

use {
    crate::client,
    carobhitch::{
        fleet::Declaration,
        id::{Offset, OperationId, VmId},
        platform::{Action, Append, Appended, Operation, Page, Progress},
        record::{Body, FLEET_STREAM, Record},
        state::{State, Verdict},
    },
    displaydoc::Display,
    oxhttp::model::Method,
    serde::Deserialize,
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of an awaited condition.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Author of the records.
const AUTHOR: &str = "local";

/// Why a change failed.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Call(client::Error),
    /// decode record {0}: {1}
    Record(Offset, serde_json::Error),
    /// operation {0}: rejected: {1}
    Rejected(OperationId, String),
    /// wait for {0}: timed out
    Timeout(String),
}

impl std::error::Error for Error {}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        Self::Call(error)
    }
}

/// Result of a change.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Addresses of the platform and the entries.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Public address of the platform.
    pub platform: SocketAddr,
    /// Addresses for callers of the running entries.
    pub entries: Vec<SocketAddr>,
}

/// Status of an entry, as far as it is needed here.
#[derive(Debug, Deserialize)]
struct Status {
    version: Option<Offset>,
}

impl Operator {
    /// Replaces the declaration in force and waits until the new one is in force on every entry.
    pub fn declare(&self, declaration: Declaration) -> Result<Duration> {
        let started = Instant::now();
        let expected = self.state()?.version;
        let body = Body::Declare { declaration: Box::new(declaration), expected };
        let offset = self.append(body)?;
        let in_force = |entry| {
            let status: Option<Status> = client::get(entry, "/status").ok();
            status.and_then(|s| s.version).is_some_and(|v| v >= offset)
        };
        let on_every_entry = || Ok(self.entries.iter().all(|e| in_force(*e)));
        wait("the declaration in force on every entry", on_every_entry)?;
        Ok(started.elapsed())
    }

    /// Drains a VM, reboots it and returns it to service; returns how long the drain took.
    pub fn maintain(&self, vm: &VmId) -> Result<Duration> {
        let started = Instant::now();
        let since = self.append(Body::Drain { vm: vm.clone() })?;
        wait("the end of the drain", || {
            let state = self.state()?;
            Ok(state.drains.get(vm).is_some_and(|d| d.since <= since && d.waiting.is_empty()))
        })?;
        let drain_time = started.elapsed();
        let operation = format!("reboot-{vm}-{since}");
        let path = format!("/vms/{vm}/reboot");
        let action = Action { operation: operation.clone() };
        client::post::<Operation>(self.platform, &path, &action)?;
        wait("the end of the reboot", || {
            let path = format!("/operations/{operation}");
            let operation: Operation = client::get(self.platform, &path)?;
            Ok(operation.progress == Progress::Done)
        })?;
        self.append(Body::Return { vm: vm.clone() })?;
        Ok(drain_time)
    }

    /// State of the fleet from all records so far.
    pub fn state(&self) -> Result<State> {
        let mut state = State::default();
        loop {
            let page = self.page(state.next)?;
            if page.records.is_empty() {
                return Ok(state);
            }
            for entry in page.records {
                let record = entry.decode();
                state.apply(entry.offset, &record.map_err(|e| Error::Record(entry.offset, e))?);
            }
        }
    }

    fn page(&self, from: Offset) -> Result<Page> {
        let path = format!("/streams/{FLEET_STREAM}/records?from={from}");
        Ok(client::get(self.platform, &path)?)
    }

    fn append(&self, body: Body) -> Result<Offset> {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let operation = format!("{AUTHOR}-{}", at.as_nanos());
        let record = Record { operation: operation.clone(), author: AUTHOR.into(), at, body };
        let append = Append::new(operation.clone(), &record).map_err(|e| Error::Record(0, e))?;
        let path = format!("/streams/{FLEET_STREAM}/records");
        let Appended { offset } = client::post(self.platform, &path, &append)?;
        match self.state()?.verdicts.get(&operation) {
            Some((_, Verdict::Rejected(reason))) => {
                Err(Error::Rejected(operation, reason.to_string()))
            }
            _ => Ok(offset),
        }
    }
}

/// Waits until an entry reports that it is ready.
pub fn wait_ready(entry: SocketAddr) -> Result<()> {
    let ready = || Ok(client::text(Method::GET, entry, "/readyz", Vec::new()).is_ok());
    wait(&format!("entry at {entry} to be ready"), ready)
}

fn wait(what: &str, condition: impl Fn() -> Result<bool>) -> Result<()> {
    let until = Instant::now() + TIMEOUT;
    while !condition()? {
        if Instant::now() > until {
            return Err(Error::Timeout(String::from(what)));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
