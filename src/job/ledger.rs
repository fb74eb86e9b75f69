//! What must outlive every entry: the newest record of each job, under two keys.
//!
//! A job is written once in full when it is accepted; each later change rewrites only its progress.
//! A record is written before its effect is seen: before the caller's answer, before a start is
//! sent, and before a runner may forget an end. A new owner therefore finds in the ledger every
//! runner that may run a task.

use {
    super::{manifest::Manifest, spec, upkeep},
    crate::id::VmId,
    ::serde::{Deserialize, Serialize},
    bincode::{config, error::DecodeError, error::EncodeError, serde},
    displaydoc::Display,
    indexmap::IndexMap,
};

/// Key of the copy of the manifest in force.
const MANIFEST: &str = "manifest";
/// Key of the record of waves and pools.
const UPKEEP: &str = "upkeep";
/// Key of a record that only shows that its writer still owns the cell.
const BARRIER: &str = "barrier";
/// What follows a job's name in the key of its progress.
const PROGRESS: char = '+';

/// Outcome of a step with a record.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a record is unusable.
#[derive(Debug, Display)]
pub enum Error {
    /// encode record {0}: {1}
    Encode(String, EncodeError),
    /// decode record {0}: {1}
    Decode(String, DecodeError),
    /// record {0} has a key that names nothing
    Key(String),
}

impl std::error::Error for Error {}

/// A keyed record; an empty value removes its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Encoded content.
    pub value: Vec<u8>,
}

/// A job as accepted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Queue it was submitted to.
    pub queue: String,
    /// Service that the queue named then.
    pub service: String,
    /// When, in milliseconds since the Unix epoch by the clock of the entry that accepted it.
    pub at_ms: u64,
    /// The job.
    pub spec: spec::Spec,
}

/// How a job stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Has tasks that must still end.
    #[default]
    Open,
    /// Every task is done.
    Complete,
    /// A task has used up its attempts.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// How far a job is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// How it stands.
    pub outcome: Outcome,
    /// Runners named by the tasks.
    pub runners: Vec<String>,
    /// Tasks of each step of each occurrence, one occurrence after the other.
    pub steps: Vec<Vec<Task>>,
}

/// How far a task is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Number of its last run; 0 before the first.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Number of the last run that failed; 0 if none did.
    pub failed_run: u32,
    /// Whether it is done.
    pub done: bool,
    /// Position in the runners' list, from 1, of the runner that has its last run; 0 if none.
    pub runner: u16,
    /// Newest checkpoint, or empty.
    pub checkpoint: String,
}

/// How far the waves are, and how large the pools were at first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upkeep {
    /// VMs of each wave that have begun their upkeep.
    pub waves: IndexMap<upkeep::Number, Vec<VmId>>,
    /// VMs of each wave that may have begun it: the call is on its way.
    pub begun: IndexMap<upkeep::Number, Vec<VmId>>,
    /// VMs of each pool when the cell was first owned.
    pub sizes: IndexMap<String, usize>,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A job was accepted.
    Accepted(spec::Id, Accepted),
    /// A job's progress.
    Progress(spec::Id, Progress),
    /// The manifest in force.
    Manifest(Manifest),
    /// Waves and pools.
    Upkeep(Upkeep),
    /// Nothing.
    Barrier,
}

/// Writes the record of an accepted job.
pub fn accepted(id: spec::Id, content: &Accepted) -> Result<Record> {
    encode(format!("{id:016x}"), content)
}

/// Writes the record of a job's progress.
pub fn progress(id: spec::Id, content: &Progress) -> Result<Record> {
    encode(format!("{id:016x}{PROGRESS}"), content)
}

/// Writes the record of the manifest in force.
pub fn manifest(content: &Manifest) -> Result<Record> {
    encode(String::from(MANIFEST), content)
}

/// Writes the record of waves and pools.
pub fn upkeep(content: &Upkeep) -> Result<Record> {
    encode(String::from(UPKEEP), content)
}

/// Record that shows that its writer still owns the cell.
pub fn barrier() -> Record {
    Record { key: String::from(BARRIER), value: vec![1] }
}

/// Record that removes what was accepted, once only the outcome matters.
pub fn settled(id: spec::Id) -> Record {
    Record { key: format!("{id:016x}"), value: Vec::new() }
}

/// Records that remove a job.
pub fn removal(id: spec::Id) -> [Record; 2] {
    let key = format!("{id:016x}");
    let progress = format!("{key}{PROGRESS}");
    [key, progress].map(|key| Record { key, value: Vec::new() })
}

/// Reads a record.
pub fn read(record: &Record) -> Result<Content> {
    if record.key == MANIFEST {
        return decode(record).map(Content::Manifest);
    }
    if record.key == UPKEEP {
        return decode(record).map(Content::Upkeep);
    }
    if record.key == BARRIER {
        return Ok(Content::Barrier);
    }
    let bad_key = || Error::Key(record.key.clone());
    let (name, is_progress) = match record.key.strip_suffix(PROGRESS) {
        Some(name) => (name, true),
        None => (record.key.as_str(), false),
    };
    let id = spec::Id::from_str_radix(name, 16).map_err(|_| bad_key())?;
    if is_progress {
        return decode(record).map(|content| Content::Progress(id, content));
    }
    decode(record).map(|content| Content::Accepted(id, content))
}

/// Splits records into appends of at most `most_bytes` each, unless one record alone is larger.
pub fn split(records: Vec<Record>, most_bytes: usize) -> Vec<Vec<Record>> {
    let mut calls = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let size = record.key.len() + record.value.len();
        if bytes > 0 && bytes + size > most_bytes {
            calls.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(call) = calls.last_mut() {
            call.push(record);
        }
    }
    calls
}

fn encode(key: String, content: &impl Serialize) -> Result<Record> {
    match serde::encode_to_vec(content, config::standard()) {
        Ok(value) => Ok(Record { key, value }),
        Err(e) => Err(Error::Encode(key, e)),
    }
}

fn decode<T: for<'a> Deserialize<'a>>(record: &Record) -> Result<T> {
    serde::decode_from_slice(&record.value, config::standard())
        .map(|(content, _)| content)
        .map_err(|e| Error::Decode(record.key.clone(), e))
}
