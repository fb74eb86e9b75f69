//! Ownership of the cell: claims and heartbeats in the platform's log.
//!
//! The owner appends a heartbeat every [`HEARTBEAT_INTERVAL`], on the condition that the log still
//! ends at the last record that it knows. An entry that has seen no record for [`CLAIM_TIMEOUT`],
//! although the log answered its reads, appends a claim on the same condition; while the log is slow,
//! it waits for longer ([`Silence`]), since the owner's heartbeats are late too. Only one of several
//! concurrent claims succeeds, and the epoch follows from its offset, so that epochs are unique and
//! rise. The next heartbeat of the previous owner fails, and the ledger and the runners reject its
//! epoch.

use {
    super::runner::Fence,
    ::serde::{Deserialize, Serialize},
    bincode::{config, error::DecodeError, error::EncodeError, serde},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time between two heartbeats of the owner.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a record in the log after which an entry claims the cell.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after a heartbeat for which the owner counts as healthy; longer than [`CLAIM_TIMEOUT`], after
/// which other entries claim the cell.
pub const HEALTHY_TIME: Duration = Duration::from_millis(1_200);
/// Additional time without a record before a claim, and for which an owner counts as healthy, as a
/// multiple of the log's delay. The owner sends a heartbeat once the last one is answered, so two of
/// them are a delay apart, and this leaves room for one that takes twice as long as the last.
const DELAY_FACTOR: u32 = 2;

/// Time after a heartbeat in which no other entry can have claimed the cell; shorter than
/// [`CLAIM_TIMEOUT`].
pub const EXCLUSIVE_TIME: Duration = Duration::from_millis(650);

/// Time after a heartbeat for which the owner counts as healthy while the log answers with `delay`.
pub fn healthy_time(delay: Duration) -> Duration {
    HEALTHY_TIME + DELAY_FACTOR * delay
}

/// Time without a record in the log after which an entry claims the cell while the log answers with
/// `delay`.
pub fn claim_timeout(delay: Duration) -> Duration {
    CLAIM_TIMEOUT + DELAY_FACTOR * delay
}

/// Delay of the log that the time between two heartbeats of one owner shows; zero if they follow one
/// another as usual, or if only one answer may have been lost between them.
pub fn delay_from_gap(gap: Duration) -> Duration {
    let late = gap.saturating_sub(HEARTBEAT_INTERVAL);
    Some(late).filter(|late| *late > USUAL_LATENESS).unwrap_or_default()
}

/// Time for which an entry has waited for a record of the owner in vain. It counts as the log has
/// waited, so that the time on the way to the log and back is no silence of the owner.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    waited: Duration,
    /// Time that is added to the claim timeout, which differs between the entries.
    spread: Duration,
}

impl Silence {
    /// Begins without a wait.
    pub fn new(spread: Duration) -> Self {
        Self { waited: Duration::ZERO, spread }
    }

    /// Records that the log has waited for a record in vain.
    pub fn waited(&mut self, time: Duration) {
        self.waited += time;
    }

    /// Returns for how long the log must still wait before a claim, by its present delay.
    pub fn missing(&self, delay: Duration) -> Duration {
        (claim_timeout(delay) + self.spread).saturating_sub(self.waited)
    }
}

/// Time by which a heartbeat is late if the answer to the last one was lost.
const USUAL_LATENESS: Duration = Duration::from_millis(250);

/// Number that an entry's process draws at its start.
pub type Incarnation = u64;
/// Number of an ownership; later ones have higher numbers.
pub type Epoch = u64;

/// A record of the owner, or of an entry that claims the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Name of the writer's VM.
    pub node: String,
    /// Incarnation of the writer's process.
    pub incarnation: Incarnation,
    /// Address at which the other entries reach the writer.
    pub peer: SocketAddr,
    /// Kind of the record.
    pub kind: Kind,
}

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Claim of the cell; the new epoch is the record's offset plus one.
    Claim,
    /// Heartbeat of the owner of this epoch.
    #[serde(rename = "beat")]
    Heartbeat(Epoch),
    /// The owner of this epoch gives the cell up.
    Release(Epoch),
}

/// Ownership of the cell by one incarnation of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Epoch.
    pub epoch: Epoch,
    /// Incarnation of the owner's process.
    pub incarnation: Incarnation,
    /// Name of its VM.
    pub node: String,
    /// Address at which the other entries reach it.
    pub peer: SocketAddr,
    /// Whether it has given the cell up.
    pub released: bool,
}

impl Claim {
    /// Ownership that follows from this record at `offset`.
    pub fn owner(&self, offset: u64) -> Owner {
        let (epoch, released) = match self.kind {
            Kind::Claim => (offset + 1, false),
            Kind::Heartbeat(epoch) => (epoch, false),
            Kind::Release(epoch) => (epoch, true),
        };
        let (incarnation, node, peer) = (self.incarnation, self.node.clone(), self.peer);
        Owner { epoch, incarnation, node, peer, released }
    }

    /// Encodes the record.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        serde::encode_to_vec(self, config::standard())
    }

    /// Decodes a record.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        serde::decode_from_slice(value, config::standard()).map(|(claim, _)| claim)
    }
}

/// Confirmation of an entry's ownership: when it sent the newest claim or heartbeat that the log has
/// accepted. It counts from the sending, on a clock that counts suspensions (see [`super::clock`]),
/// so that an answer that arrives late confirms no more than one that arrived at once.
///
/// Each accepted record also gives the owner another fencing token: the epoch of any later claim is higher
/// than the offset after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    sent: Option<Instant>,
    newest_fence: Fence,
}

impl Confirmation {
    /// Records that the log has accepted a claim or heartbeat that was sent at `sent`. The log then ends at
    /// the offset `end`.
    pub fn record(&mut self, sent: Instant, end: u64) {
        self.sent = self.sent.max(Some(sent));
        self.newest_fence = self.newest_fence.max(end);
    }

    /// Highest fencing token that no other owner can have.
    pub fn newest_fence(&self) -> Fence {
        self.newest_fence
    }

    /// When the newest accepted claim or heartbeat was sent.
    pub fn sent(&self) -> Option<Instant> {
        self.sent
    }

    /// Whether the entry owns the cell at `now` and no other entry can have claimed it yet.
    pub fn is_exclusive(&self, now: Instant) -> bool {
        self.is_younger(now, EXCLUSIVE_TIME)
    }

    /// Whether the log, which answers with `delay`, has accepted a claim or heartbeat recently.
    pub fn is_recent(&self, now: Instant, delay: Duration) -> bool {
        self.is_younger(now, healthy_time(delay))
    }

    fn is_younger(&self, now: Instant, limit: Duration) -> bool {
        self.sent.is_some_and(|sent| now.saturating_duration_since(sent) < limit)
    }
}
