//! Snapshots of the state in the platform's log, written before the log drops the records.
//!
//! The log retains its records for a limited time only, and no VM has a disk. Therefore the holder
//! of the control lease writes the whole state from time to time, in chunks, to a separate stream.
//! A starting entry takes the newest complete snapshot, or the state of a peer, and applies the
//! records after it. It is ready once it has applied every record that the log held when it started
//! or, while the log is unreachable, once it has the newest state of the peers that answer. Without
//! any source it does not become ready.
//!
//! A snapshot that a paused holder writes late does no harm, since it is only older than others:
//! readers take the newest one that is complete and whose digest matches.

use {
    crate::{
        id::{Incarnation, Offset},
        lease::CONTROL,
        state::State,
    },
    displaydoc::Display,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher13,
    std::{hash::Hasher, io, time::Duration},
};

/// Stream of [`Chunk`]s.
pub const STREAM: &str = "fleet-snapshots";
/// Maximum length of the text in a chunk in bytes.
pub const CHUNK_BYTES: usize = 48 << 10;
/// Number of records after a snapshot at which the next one is due.
pub const MAX_TAIL: u64 = 20_000;
/// Number of records after a snapshot below which only its age makes the next one due.
pub const MIN_TAIL: u64 = 1_000;
/// Age of a snapshot at which the next one is due. The log must retain records for longer than
/// this.
pub const MAX_AGE: Duration = Duration::from_secs(3600);
/// Maximum number of incomplete snapshots whose chunks are kept while reading.
const MAX_PARTIAL: usize = 4;
/// Maximum number of chunks of a snapshot.
const MAX_CHUNKS: u32 = 4096;

/// Result of reading or writing a snapshot.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a snapshot cannot be read or written.
#[derive(Debug, Display)]
pub enum Error {
    /// write a snapshot of the state: {0}
    Write(serde_json::Error),
    /// read the snapshot at offset {at}: {source}
    Read {
        /// Offset after the last record in it.
        at: Offset,
        /// Cause of the failure.
        source: serde_json::Error,
    },
    /// read the snapshot at offset {at}: digest is {found:016x}, expected {expected:016x}
    Digest {
        /// Offset after the last record in it.
        at: Offset,
        /// Digest stated in the chunks.
        expected: u64,
        /// Digest of the text that was read.
        found: u64,
    },
    /// read a snapshot: invalid chunk {index} of {count}
    Chunk {
        /// Index of the chunk, from 0.
        index: u32,
        /// Number of chunks.
        count: u32,
    },
}

impl std::error::Error for Error {}

/// One part of a snapshot, which is one record of [`STREAM`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    /// Offset after the last record in the snapshot.
    pub at: Offset,
    /// Time at which the snapshot was taken, since the Unix epoch.
    pub taken: Duration,
    /// Index of the chunk, from 0.
    pub index: u32,
    /// Number of chunks of the snapshot.
    pub count: u32,
    /// Digest of the text of all chunks together.
    pub digest: u64,
    /// This part of the state's JSON text.
    pub text: String,
}

impl Chunk {
    /// Idempotency key of the append.
    pub fn operation(&self) -> String {
        format!("snapshot/{}/{}/{}", self.at, self.taken.as_millis(), self.index)
    }
}

/// Digest of the state at an offset, to compare entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checksum {
    /// Offset after the last record applied.
    pub at: Offset,
    /// Digest of the state.
    pub digest: u64,
}

/// Writer that hashes what is written to it.
struct Writer(SipHasher13);

impl io::Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Computes the checksum of a state. Entries at the same offset have the same one, whether they
/// started from a snapshot, a peer or the first record.
pub fn checksum(state: &State) -> Result<Checksum> {
    let mut digest = Writer(SipHasher13::new());
    serde_json::to_writer(&mut digest, state).map_err(Error::Write)?;
    Ok(Checksum { at: state.next, digest: digest.0.finish() })
}

fn digest(text: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// Serialises a state and splits it into chunks.
pub fn chunks(state: &State, taken: Duration) -> Result<Vec<Chunk>> {
    let text = serde_json::to_string(state).map_err(Error::Write)?;
    let (at, digest) = (state.next, digest(&text));
    let parts = split(&text);
    let count = parts.len() as u32;
    let chunk = |(index, part): (usize, &str)| Chunk {
        at,
        taken,
        index: index as u32,
        count,
        digest,
        text: part.into(),
    };
    Ok(parts.into_iter().enumerate().map(chunk).collect())
}

/// Splits a text into parts of up to [`CHUNK_BYTES`], at character boundaries.
fn split(mut text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    while text.len() > CHUNK_BYTES {
        let (part, rest) = text.split_at(text.floor_char_boundary(CHUNK_BYTES));
        parts.push(part);
        text = rest;
    }
    parts.push(text);
    parts
}

/// Reassembles snapshots from chunks, which may arrive in any order and more than once.
#[derive(Debug, Default)]
pub struct Collector {
    partial: IndexMap<(Offset, Duration), IndexMap<u32, Chunk>>,
    newest: Option<State>,
}

impl Collector {
    /// Adds a chunk. Chunks of a snapshot that is no newer than the newest complete one are
    /// ignored.
    pub fn push(&mut self, chunk: Chunk) -> Result<()> {
        if chunk.index >= chunk.count || chunk.count > MAX_CHUNKS {
            return Err(Error::Chunk { index: chunk.index, count: chunk.count });
        }
        if self.newest.as_ref().is_some_and(|state| state.next >= chunk.at) {
            return Ok(());
        }
        let (key, count) = ((chunk.at, chunk.taken), chunk.count as usize);
        let parts = self.partial.entry(key).or_default();
        parts.insert(chunk.index, chunk);
        if parts.len() == count {
            let parts = self.partial.shift_remove(&key).unwrap_or_default();
            self.newest = Some(assemble(parts)?);
        } else if self.partial.len() > MAX_PARTIAL {
            self.partial.shift_remove_index(0);
        }
        Ok(())
    }

    /// Returns the newest complete snapshot.
    pub fn newest(self) -> Option<State> {
        self.newest
    }
}

fn assemble(mut parts: IndexMap<u32, Chunk>) -> Result<State> {
    parts.sort_unstable_keys();
    let (at, expected) = parts.first().map_or((0, 0), |(_, c)| (c.at, c.digest));
    let text: String = parts.into_values().map(|c| c.text).collect();
    let found = digest(&text);
    if found != expected {
        return Err(Error::Digest { at, expected, found });
    }
    serde_json::from_str(&text).map_err(|source| Error::Read { at, source })
}

/// The latest snapshot that was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latest {
    /// Offset after the last record in it.
    pub at: Offset,
    /// Time at which it was taken, since the Unix epoch.
    pub taken: Duration,
}

/// Whether an entry should write a snapshot now: it holds the control lease, and there is no
/// snapshot yet, or many records follow the latest one, or they are half of what the log retains,
/// or the latest snapshot is old.
pub fn due(
    state: &State,
    (entry, incarnation): (&str, Incarnation),
    first_retained: Offset,
    last: Option<Latest>,
    now: Duration,
) -> bool {
    if !state.holds(CONTROL, entry, incarnation, now) {
        return false;
    }
    let Some(last) = last else { return true };
    let tail = state.next.saturating_sub(last.at);
    let retained = state.next.saturating_sub(first_retained);
    let half = tail >= MIN_TAIL && 2 * tail >= retained;
    tail >= MAX_TAIL || half || now >= last.taken + MAX_AGE
}

/// Range of offsets that the platform's log retains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retained {
    /// Lowest retained offset.
    pub first: Offset,
    /// Offset of the next append.
    pub end: Offset,
}

/// How a starting entry obtains its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Start from the state at offset `from`, which is empty at 0, and be ready at offset `until`.
    From {
        /// Offset after the last record in the state to start from.
        from: Offset,
        /// Offset after the last record to apply before becoming ready.
        until: Offset,
    },
    /// No source leads to the current state; try again.
    NotReady,
}

/// Chooses how to start, given the offsets of the states found in snapshots and at peers, and what
/// the log retains; `log` is none while the log is unreachable.
pub fn choose_start(found: &[Offset], log: Option<Retained>) -> Start {
    let newest = found.iter().copied().max();
    match (log, newest) {
        (Some(retained), newest) => {
            let from = newest.unwrap_or(0);
            match from >= retained.first {
                true => Start::From { from, until: retained.end.max(from) },
                false => Start::NotReady,
            }
        }
        (None, Some(from)) => Start::From { from, until: from },
        (None, None) => Start::NotReady,
    }
}
