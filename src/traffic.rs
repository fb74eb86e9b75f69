//! Counters of the control traffic of an entry.
//!
//! Only content is counted, not the headers of HTTP, TCP and IP.

use {
    serde::{Deserialize, Serialize},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Thread-safe counter of bytes in both directions.
#[derive(Debug, Default)]
pub struct Counter {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Bytes since the entry started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Volume {
    /// Sent.
    pub sent_bytes: u64,
    /// Received.
    pub received_bytes: u64,
}

impl Counter {
    /// Counts sent bytes.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts received bytes.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes counted so far.
    pub fn volume(&self) -> Volume {
        Volume {
            sent_bytes: self.sent.load(Ordering::Relaxed),
            received_bytes: self.received.load(Ordering::Relaxed),
        }
    }
}

/// Counters of an entry's control traffic, by peer.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Between entries.
    pub links: Counter,
    /// With the platform's service.
    pub platform: Counter,
}

/// Control traffic of an entry since it started, by peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Between entries.
    pub links: Volume,
    /// With the platform's service.
    pub platform: Volume,
}

impl Traffic {
    /// Returns the bytes counted so far.
    pub fn totals(&self) -> Totals {
        Totals { links: self.links.volume(), platform: self.platform.volume() }
    }
}

impl Totals {
    /// Returns the bytes exchanged with all peers.
    pub fn total(&self) -> Volume {
        Volume {
            sent_bytes: self.links.sent_bytes + self.platform.sent_bytes,
            received_bytes: self.links.received_bytes + self.platform.received_bytes,
        }
    }
}
