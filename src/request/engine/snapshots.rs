//! Snapshots of the state, written to the log chunk by chunk by the holder of the control lease.

use {
    super::Engine,
    crate::{
        event::{Action, Stream},
        id::Offset,
        platform::Append,
        snapshot::{self, Chunk, Latest},
    },
    log::{info, warn},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time between two looks at whether a snapshot is due.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a chunk without an answer is appended again.
const REPEAT: Duration = Duration::from_secs(2);

/// What is being written, and what was.
#[derive(Default)]
pub(super) struct Writer {
    /// Lowest offset that the log keeps.
    pub(super) first_kept: Offset,
    chunks: VecDeque<Chunk>,
    sent: Option<Instant>,
    last: Option<Latest>,
    looked: Option<Instant>,
}

impl Engine {
    /// Begins a snapshot when one is due, and sends its chunks one after the other.
    pub(super) fn write_snapshot(&mut self, now: Instant) {
        self.begin_snapshot(now);
        let Some(chunk) = self.snapshots.chunks.front() else {
            return;
        };
        if self.snapshots.sent.is_some_and(|at| now.duration_since(at) < REPEAT) {
            return;
        }
        let id = chunk.operation();
        match Append::new(id.clone(), chunk) {
            Ok(record) => {
                self.snapshots.sent = Some(now);
                self.actions.push(Action::Append { stream: Stream::Snapshots, record });
            }
            Err(error) => {
                warn!("engine: Chunk {id} can't be encoded: {error}.");
                self.snapshots.chunks.clear();
            }
        }
    }

    fn begin_snapshot(&mut self, now: Instant) {
        let looked = self.snapshots.looked.is_some_and(|at| now.duration_since(at) < LOOK_INTERVAL);
        if looked || !self.snapshots.chunks.is_empty() || !self.sourced {
            return;
        }
        self.snapshots.looked = Some(now);
        let (state, wall) = (self.shared.state(), self.wall(now));
        let me = (self.me.id.as_str(), self.me.incarnation);
        let (first, last) = (self.snapshots.first_kept, self.snapshots.last);
        if !snapshot::due(&state, me, first, last, wall) {
            return;
        }
        match snapshot::chunks(&state, wall) {
            Ok(chunks) => {
                info!("engine: Writes a snapshot at offset {}.", state.next);
                self.snapshots.last = Some(Latest { at: state.next, taken: wall });
                self.snapshots.chunks = chunks.into();
            }
            Err(error) => warn!("engine: {error}."),
        }
    }

    pub(super) fn appended_chunk(&mut self, id: &str, offset: Option<Offset>) {
        let current = self.snapshots.chunks.front().is_some_and(|c| c.operation() == id);
        if current {
            self.snapshots.sent = None;
            if offset.is_some() {
                self.snapshots.chunks.pop_front();
            }
        }
    }
}
