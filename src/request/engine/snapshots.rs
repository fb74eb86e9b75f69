//! Snapshots of the replicated state, written to the log in chunks by the holder of the control
//! lease.

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

/// Time between two checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which an unanswered append of a chunk is resent.
const RESEND_AFTER: Duration = Duration::from_secs(2);

/// State of writing snapshots.
#[derive(Default)]
pub(super) struct Writer {
    /// Lowest offset that the log keeps.
    pub(super) first_kept: Offset,
    /// Chunks of the current snapshot that are not yet known to be in the log.
    chunks: VecDeque<Chunk>,
    /// When the first of them was last sent.
    last_sent: Option<Instant>,
    /// Last snapshot begun by this entry.
    last: Option<Latest>,
    /// When it was last checked whether a snapshot is due.
    last_check: Option<Instant>,
}

impl Engine {
    /// Starts a snapshot if one is due, and sends its chunks one at a time.
    pub(super) fn write_snapshot(&mut self, now: Instant) {
        self.begin_snapshot(now);
        let Some(chunk) = self.snapshots.chunks.front() else {
            return;
        };
        if self.snapshots.last_sent.is_some_and(|at| now.duration_since(at) < RESEND_AFTER) {
            return;
        }
        let id = chunk.operation();
        match Append::new(id.clone(), chunk) {
            Ok(record) => {
                self.snapshots.last_sent = Some(now);
                self.actions.push(Action::Append { stream: Stream::Snapshots, record });
            }
            Err(error) => {
                warn!("engine: Chunk {id} can't be encoded: {error}.");
                self.snapshots.chunks.clear();
            }
        }
    }

    /// Takes a snapshot if one is due.
    fn begin_snapshot(&mut self, now: Instant) {
        let checked =
            self.snapshots.last_check.is_some_and(|at| now.duration_since(at) < CHECK_INTERVAL);
        if checked || !self.snapshots.chunks.is_empty() || !self.has_state {
            return;
        }
        self.snapshots.last_check = Some(now);
        let (state, wall) = (self.shared.state(), self.wall_time(now));
        let me = (self.me.id.as_str(), self.me.incarnation);
        let (first, last) = (self.snapshots.first_kept, self.snapshots.last);
        if !snapshot::due(&state, me, first, last, wall) {
            return;
        }
        match snapshot::chunks(&state, wall) {
            Ok(chunks) => {
                info!("engine: Writing a snapshot at offset {}.", state.next);
                self.snapshots.last = Some(Latest { at: state.next, taken: wall });
                self.snapshots.chunks = chunks.into();
            }
            Err(error) => warn!("engine: {error}."),
        }
    }

    /// Handles the answer to an append of a chunk.
    pub(super) fn appended_chunk(&mut self, id: &str, offset: Option<Offset>) {
        let current = self.snapshots.chunks.front().is_some_and(|c| c.operation() == id);
        if current {
            self.snapshots.last_sent = None;
            if offset.is_some() {
                self.snapshots.chunks.pop_front();
            }
        }
    }
}
