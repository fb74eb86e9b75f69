//! Durable state of the cell: keyed records, of which the newest of each key counts.
//!
//! A job has two keys. Its specification is written once, when the job is accepted; each later
//! change rewrites only its progress. A record is written before its effect can be observed: before
//! the caller gets its answer, before a start is sent, and before a runner may discard the end of a
//! run. A new owner therefore finds in the ledger every runner that may run a task.

pub mod fragment;

use {
    super::{
        extension,
        manifest::{Manifest, Queue},
        spec,
        suspicion::History,
        upkeep,
    },
    crate::id::VmId,
    bincode::error::{DecodeError, EncodeError},
    displaydoc::Display,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// Key of the copy of the manifest in force.
const MANIFEST: &str = "manifest";
/// Key of the queues that the manifest in force no longer has and that open jobs belong to.
const FORMER_QUEUES: &str = "former-queues";
/// Key of the record of waves and pools.
const UPKEEP: &str = "upkeep";
/// Key of a record that only shows that its writer still owns the cell.
const BARRIER: &str = "barrier";
/// Size in bytes of what surrounds the key and the value of a record in the store.
const OVERHEAD_BYTES: usize = 5;
/// Suffix that turns the key of a job into the key of its progress.
const PROGRESS: char = '+';

/// Result of encoding or decoding a record.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a record is unusable.
#[derive(Debug, Display)]
pub enum Error {
    /// encode record {0}: {1}
    Encode(String, EncodeError),
    /// decode record {0}: {1}
    Decode(String, DecodeError),
    /// record {0} has an unknown key
    Key(String),
}

impl std::error::Error for Error {}

/// A keyed record; one with an empty value removes its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Encoded content.
    pub value: Vec<u8>,
}

impl Record {
    /// Size that counts for the limits of the store, in bytes.
    pub fn stored_bytes(&self) -> usize {
        OVERHEAD_BYTES + self.key.len() + self.value.len()
    }
}

/// An accepted job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Queue it was submitted to.
    pub queue: String,
    /// Service that ran the queue's tasks at that time.
    pub service: String,
    /// Time of acceptance, in milliseconds since the Unix epoch on the clock of the accepting
    /// entry.
    pub at_ms: u64,
    /// Specification of the job.
    pub spec: spec::Spec,
    /// Organisation that submitted it, if its queue is not open to everyone. It is stored as an
    /// extension of the record.
    #[serde(skip)]
    pub origin: Option<Origin>,
}

/// Organisation that a job belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Its name.
    pub organisation: String,
    /// Whether the job was within the rate that the organisation is owed.
    pub within_rate: bool,
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Some tasks haven't ended.
    #[default]
    Open,
    /// Every task is done.
    Complete,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// Progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// Outcome so far.
    pub outcome: Outcome,
    /// Runners to which the tasks refer by index.
    pub runners: Vec<String>,
    /// Tasks of each step, for all steps of the first occurrence, then of the second, and so on.
    pub steps: Vec<Vec<Task>>,
    /// Organisation of a job whose specification was removed. It is stored as an extension of the
    /// record.
    #[serde(skip)]
    pub organisation: Option<String>,
    /// Crashes that are held against tasks, by the position of the task in all [`Progress::steps`]
    /// one after the other. They are stored as a second extension.
    #[serde(skip)]
    pub suspects: IndexMap<u32, History>,
}

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Number of its last run; 0 before the first.
    pub run: u32,
    /// Number of runs that failed.
    pub failures: u32,
    /// Number of the last run that failed; 0 if none did.
    pub failed_run: u32,
    /// Whether it is done.
    pub done: bool,
    /// Runner of its last run, as an index into [`Progress::runners`] plus 1; 0 if none.
    pub runner: u16,
    /// Newest checkpoint, or empty.
    pub checkpoint: String,
}

/// Progress of the maintenance waves, and initial sizes of the pools.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upkeep {
    /// VMs of each wave whose maintenance was carried out, or which are not of that wave.
    pub waves: IndexMap<upkeep::Number, IndexSet<VmId>>,
    /// VMs of each wave for which a call may have been carried out, but was not answered yet.
    pub begun: IndexMap<upkeep::Number, IndexSet<VmId>>,
    /// Number of VMs in each pool when the cell got its first owner.
    pub sizes: IndexMap<String, usize>,
    /// VMs of each wave that the platform does not have. They are stored as an extension of the record.
    #[serde(skip)]
    pub gone: IndexMap<upkeep::Number, IndexSet<VmId>>,
    /// Time of day at which an owner first learned of each wave, in milliseconds since the Unix epoch. It is
    /// stored as a second extension.
    #[serde(skip)]
    pub ordered_ms: IndexMap<upkeep::Number, u64>,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A job was accepted.
    Accepted(spec::Id, Accepted),
    /// Progress of a job.
    Progress(spec::Id, Progress),
    /// The manifest in force.
    Manifest(Manifest),
    /// Queues that the manifest in force no longer has and that open jobs belong to.
    Former(Vec<Queue>),
    /// State of waves and pools.
    Upkeep(Upkeep),
    /// A barrier, which has no content.
    Barrier,
}

/// Encodes the record of an accepted job.
pub fn accepted(id: spec::Id, content: &Accepted) -> Result<Record> {
    encode_extended(format!("{id:016x}"), content, content.origin.as_ref())
}

/// Encodes the record of a job's progress.
pub fn progress(id: spec::Id, content: &Progress) -> Result<Record> {
    let key = format!("{id:016x}{PROGRESS}");
    if content.suspects.is_empty() {
        return encode_extended(key, content, content.organisation.as_ref());
    }
    let organisation = content.organisation.as_deref().unwrap_or_default();
    match extension::encode_all(content, &organisation, &content.suspects) {
        Ok(value) => Ok(Record { key, value }),
        Err(e) => Err(Error::Encode(key, e)),
    }
}

/// Encodes the record of the manifest in force.
pub fn manifest(content: &Manifest) -> Result<Record> {
    encode_extended(String::from(MANIFEST), content, content.access.as_ref())
}

/// Encodes the record of former queues.
pub fn former_queues(content: &[Queue]) -> Result<Record> {
    encode(String::from(FORMER_QUEUES), &content)
}

/// Encodes the record of waves and pools.
pub fn upkeep(content: &Upkeep) -> Result<Record> {
    let key = String::from(UPKEEP);
    if content.ordered_ms.is_empty() {
        let gone = Some(&content.gone).filter(|gone| !gone.is_empty());
        return encode_extended(key, content, gone);
    }
    match extension::encode_all(content, &content.gone, &content.ordered_ms) {
        Ok(value) => Ok(Record { key, value }),
        Err(e) => Err(Error::Encode(key, e)),
    }
}

/// Record without content. Its successful append shows that the writer still owns the cell.
pub fn barrier() -> Record {
    Record { key: String::from(BARRIER), value: vec![1] }
}

/// Record that removes the specification of a job whose outcome is final; the progress stays.
pub fn spec_removal(id: spec::Id) -> Record {
    Record { key: format!("{id:016x}"), value: Vec::new() }
}

/// Records that remove both keys of a job.
pub fn job_removal(id: spec::Id) -> [Record; 2] {
    let key = format!("{id:016x}");
    let progress = format!("{key}{PROGRESS}");
    [key, progress].map(|key| Record { key, value: Vec::new() })
}

/// Decodes a record.
pub fn read(record: &Record) -> Result<Content> {
    if record.key == MANIFEST {
        let (manifest, access) = decode_extended(record)?;
        return Ok(Content::Manifest(Manifest { access, ..manifest }));
    }
    if record.key == FORMER_QUEUES {
        return decode(record).map(Content::Former);
    }
    if record.key == UPKEEP {
        let (upkeep, gone, ordered_ms) = extension::decode_all(&record.value)
            .map_err(|e| Error::Decode(record.key.clone(), e))?;
        let (gone, ordered_ms) = (gone.unwrap_or_default(), ordered_ms.unwrap_or_default());
        return Ok(Content::Upkeep(Upkeep { gone, ordered_ms, ..upkeep }));
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
        let (progress, organisation, suspects) = extension::decode_all(&record.value)
            .map_err(|e| Error::Decode(record.key.clone(), e))?;
        let suspects = suspects.unwrap_or_default();
        return Ok(Content::Progress(id, Progress { organisation, suspects, ..progress }));
    }
    let (accepted, origin) = decode_extended(record)?;
    Ok(Content::Accepted(id, Accepted { origin, ..accepted }))
}

/// Splits the records of a batch into groups of at most `max_bytes` each, for one append each; a
/// single larger record is a group of its own.
pub fn split(records: Vec<Record>, max_bytes: usize) -> Vec<Vec<Record>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let size = record.stored_bytes();
        if bytes > 0 && bytes + size > max_bytes {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(record);
        }
    }
    parts
}

fn encode(key: String, content: &impl Serialize) -> Result<Record> {
    encode_extended(key, content, None::<&()>)
}

fn encode_extended(
    key: String,
    content: &impl Serialize,
    extension: Option<&impl Serialize>,
) -> Result<Record> {
    match extension::encode(content, extension) {
        Ok(value) => Ok(Record { key, value }),
        Err(e) => Err(Error::Encode(key, e)),
    }
}

fn decode<T: DeserializeOwned>(record: &Record) -> Result<T> {
    decode_extended::<T, ()>(record).map(|(content, _)| content)
}

fn decode_extended<T: DeserializeOwned, E: DeserializeOwned>(
    record: &Record,
) -> Result<(T, Option<E>)> {
    extension::decode(&record.value).map_err(|e| Error::Decode(record.key.clone(), e))
}
