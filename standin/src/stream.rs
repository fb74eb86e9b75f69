//! An append-only stream of records with offsets and a retention.
//!
//! Plain data: the time is an argument, and nothing waits.

use {
    carobhitch::{
        id::Offset,
        platform::{Append, Page, Record},
    },
    indexmap::IndexMap,
    std::{collections::VecDeque, time::Duration},
};

/// What a stream keeps.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Records kept, at most.
    pub records: usize,
    /// Age of the records kept, at most.
    pub age: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        Self { records: 1_000_000, age: Duration::from_secs(7 * 24 * 3600) }
    }
}

/// A stream.
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

    /// Appends a record at `now` since the Unix epoch, unless the stream holds its id.
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

    /// Forgets what is past the retention.
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

    /// Up to `max` records from an offset on; none if records from there are forgotten.
    pub fn read(&self, from: Offset, max: usize) -> Option<Page> {
        let skip = from.checked_sub(self.first)? as usize;
        let records = self.records.iter().skip(skip).take(max).cloned().collect();
        Some(Page { first: self.first, end: self.end(), records })
    }

    /// What a reader of forgotten records is told.
    pub fn bounds(&self) -> Page {
        Page { first: self.first, end: self.end(), records: Vec::new() }
    }
}
