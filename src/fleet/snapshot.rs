//! Snapshots of the state, kept in the platform's log ahead of its retention.
//!
//! The log keeps its records for a limited time and no VM has a disk, so the holder of the control
//! lease writes the whole state from time to time, in chunks, to a stream of its own. A fresh entry
//! takes the newest complete snapshot, or the state of a peer, and applies the records after it. It
//! is ready once it has applied every record that the log held when it began; while the log cannot
//! be reached, once it has the newest state of the peers that answer. Without a source it is not
//! ready.
//!
//! A snapshot that a paused holder writes late is only older than another: readers take the newest
//! one that is complete and whose digest fits.

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

/// Stream of the snapshots' chunks.
pub const STREAM: &str = "fleet-snapshots";
/// Longest text of a chunk in bytes.
pub const CHUNK_BYTES: usize = 48 << 10;
/// Records after a snapshot at which the next one is due.
pub const MAX_TAIL: u64 = 20_000;
/// Records after a snapshot below which only its age makes the next one due.
pub const MIN_TAIL: u64 = 1_000;
/// Age of a snapshot at which the next one is due; the log must keep records for longer.
pub const MAX_AGE: Duration = Duration::from_secs(3600);
/// Snapshots of which chunks are collected at once.
const MAX_PARTIAL: usize = 4;
/// Chunks of a snapshot at most.
const MAX_CHUNKS: u32 = 4096;

/// Result of reading a snapshot.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a snapshot cannot be read.
#[derive(Debug, Display)]
pub enum Error {
    /// write the state as a snapshot: {0}
    Write(serde_json::Error),
    /// read the snapshot at offset {at}: {source}
    Read {
        /// Offset after the last record in it.
        at: Offset,
        /// Cause.
        source: serde_json::Error,
    },
    /// read the snapshot at offset {at}: the digest is {found:016x}, not {expected:016x}
    Digest {
        /// Offset after the last record in it.
        at: Offset,
        /// Digest that the chunks name.
        expected: u64,
        /// Digest of the text.
        found: u64,
    },
    /// read a snapshot: chunk {index} of {count} cannot be
    Chunk {
        /// Number of the chunk.
        index: u32,
        /// Number of chunks.
        count: u32,
    },
}

impl std::error::Error for Error {}

/// A part of a snapshot, one record of [`STREAM`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    /// Offset after the last record in the snapshot.
    pub at: Offset,
    /// When the snapshot was taken, since the Unix epoch.
    pub taken: Duration,
    /// Number of the chunk, from 0.
    pub index: u32,
    /// Number of chunks.
    pub count: u32,
    /// Digest of the whole text.
    pub digest: u64,
    /// Part of the state's JSON text.
    pub text: String,
}

impl Chunk {
    /// Name of the append that makes repeating it idempotent.
    pub fn operation(&self) -> String {
        format!("snapshot/{}/{}/{}", self.at, self.taken.as_millis(), self.index)
    }
}

/// A state at an offset, for comparison between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checksum {
    /// Offset after the last record applied.
    pub at: Offset,
    /// Digest of the state.
    pub digest: u64,
}

/// Hashes what is written.
struct Digest(SipHasher13);

impl io::Write for Digest {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Digest of a state. Entries at the same offset have the same, whatever their sources.
pub fn checksum(state: &State) -> Result<Checksum> {
    let mut digest = Digest(SipHasher13::new());
    serde_json::to_writer(&mut digest, state).map_err(Error::Write)?;
    Ok(Checksum { at: state.next, digest: digest.0.finish() })
}

fn digest(text: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// Writes a state as chunks.
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

/// Splits a text at character boundaries.
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

/// Puts snapshots together from chunks in any order, each any number of times.
#[derive(Debug, Default)]
pub struct Collector {
    partial: IndexMap<(Offset, Duration), IndexMap<u32, Chunk>>,
    newest: Option<State>,
}

impl Collector {
    /// Adds a chunk.
    pub fn push(&mut self, chunk: Chunk) -> Result<()> {
        if chunk.index >= chunk.count || chunk.count > MAX_CHUNKS {
            return Err(Error::Chunk { index: chunk.index, count: chunk.count });
        }
        if self.newest.as_ref().is_some_and(|s| s.next >= chunk.at) {
            return Ok(());
        }
        let (key, count) = ((chunk.at, chunk.taken), chunk.count as usize);
        let parts = self.partial.entry(key).or_default();
        parts.insert(chunk.index, chunk);
        if parts.len() == count {
            let parts = self.partial.shift_remove(&key).unwrap_or_default();
            self.newest = Some(join(parts)?);
        } else if self.partial.len() > MAX_PARTIAL {
            self.partial.shift_remove_index(0);
        }
        Ok(())
    }

    /// Newest complete snapshot.
    pub fn newest(self) -> Option<State> {
        self.newest
    }
}

fn join(mut parts: IndexMap<u32, Chunk>) -> Result<State> {
    parts.sort_unstable_keys();
    let (at, expected) = parts.first().map_or((0, 0), |(_, c)| (c.at, c.digest));
    let text: String = parts.into_values().map(|c| c.text).collect();
    let found = digest(&text);
    if found != expected {
        return Err(Error::Digest { at, expected, found });
    }
    serde_json::from_str(&text).map_err(|source| Error::Read { at, source })
}

/// The last snapshot that was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latest {
    /// Offset after the last record in it.
    pub at: Offset,
    /// When it was taken, since the Unix epoch.
    pub taken: Duration,
}

/// Whether an entry should write a snapshot: it holds the control lease, and the records after the
/// last snapshot are many, or half of what the log keeps, or the snapshot is old.
pub fn due(
    state: &State,
    (entry, incarnation): (&str, Incarnation),
    first_kept: Offset,
    last: Option<Latest>,
    now: Duration,
) -> bool {
    if !state.holds(CONTROL, entry, incarnation, now) {
        return false;
    }
    let Some(last) = last else { return true };
    let tail = state.next.saturating_sub(last.at);
    let kept = state.next.saturating_sub(first_kept);
    let half = tail >= MIN_TAIL && 2 * tail >= kept;
    tail >= MAX_TAIL || half || now >= last.taken + MAX_AGE
}

/// Offsets that the platform's log keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retained {
    /// Lowest offset still kept.
    pub first: Offset,
    /// Offset that the next append gets.
    pub end: Offset,
}

/// How a fresh entry comes to its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Begin with the state at offset `from`, the empty one at 0, and be ready at offset `until`.
    From {
        /// Offset after the last record of the state to begin with.
        from: Offset,
        /// Offset after the last record to apply before the entry is ready.
        until: Offset,
    },
    /// No source leads to a state that may be in force: ask again.
    NotReady,
}

/// Chooses how to start from states at the offsets `found`, of snapshots and peers, and the log;
/// none while the log cannot be reached.
pub fn start(found: &[Offset], log: Option<Retained>) -> Start {
    let newest = found.iter().copied().max();
    match (log, newest) {
        (Some(kept), newest) => {
            let from = newest.unwrap_or(0);
            match from >= kept.first {
                true => Start::From { from, until: kept.end.max(from) },
                false => Start::NotReady,
            }
        }
        (None, Some(from)) => Start::From { from, until: from },
        (None, None) => Start::NotReady,
    }
}
