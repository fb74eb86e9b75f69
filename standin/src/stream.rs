//! An append-only stream of records with offsets, idempotent appends and a retention.
//!
//! Pure state: the time is an argument, and no call blocks.

use {
    carobhitch::{
        id::Offset,
        platform::{Append, Page, Record},
    },
    indexmap::IndexMap,
    std::{collections::VecDeque, time::Duration},
};

/// Limits on what a stream keeps.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum age of a record.
    pub age: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        Self { records: 1_000_000, age: Duration::from_secs(7 * 24 * 3600) }
    }
}

/// Records of a stream, and the ids of their appends for deduplication.
#[derive(Debug, Default)]
pub struct Stream {
    first: Offset,
    records: VecDeque<Record>,
    ids: VecDeque<String>,
    offsets: IndexMap<String, Offset>,
}

impl Stream {
    /// Offset that the next append gets.
    pub fn end(&self) -> Offset {
        self.first + self.records.len() as Offset
    }

    /// Appends a record at `now` since the Unix epoch. If the stream holds a record of the same id,
    /// returns that record's offset instead.
    pub fn append(&mut self, now: Duration, append: Append) -> Offset {
        if let Some(offset) = self.offsets.get(&append.id) {
            return *offset;
        }
        let offset = self.end();
        self.records.push_back(Record { offset, at_ms: now.as_millis() as u64, data: append.data });
        self.ids.push_back(append.id.clone());
        self.offsets.insert(append.id, offset);
        offset
    }

    /// Removes the records that exceed the retention.
    pub fn trim(&mut self, now: Duration, retention: Retention) {
        let oldest_ms = now.saturating_sub(retention.age).as_millis() as u64;
        while let Some(oldest) = self.records.front() {
            if self.records.len() <= retention.records && oldest.at_ms >= oldest_ms {
                break;
            }
            self.records.pop_front();
            self.first += 1;
            if let Some(id) = self.ids.pop_front() {
                self.offsets.swap_remove(&id);
            }
        }
    }

    /// Returns up to `max` records from an offset on; `None` if the record at that offset was removed.
    pub fn read(&self, from: Offset, max: usize) -> Option<Page> {
        let skip = from.checked_sub(self.first)? as usize;
        let records = self.records.iter().skip(skip).take(max).cloned().collect();
        Some(Page { first: self.first, end: self.end(), records })
    }

    /// First and end offsets without records, for a reader of an offset whose record was removed.
    pub fn bounds(&self) -> Page {
        Page { first: self.first, end: self.end(), records: Vec::new() }
    }
}
