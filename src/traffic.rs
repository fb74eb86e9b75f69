//! Bytes that an entry sends and receives for control.
//!
//! Content is counted, without the headers of HTTP, TCP and IP.

use {
    serde::{Deserialize, Serialize},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Counts bytes in both directions, from any thread.
#[derive(Debug, Default)]
pub struct Counter {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Bytes since the entry began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Volume {
    /// Sent.
    pub sent_bytes: u64,
    /// Received.
    pub received_bytes: u64,
}

impl Counter {
    /// Counts what was sent.
    pub fn send(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts what was received.
    pub fn receive(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// What was counted so far.
    pub fn volume(&self) -> Volume {
        Volume {
            sent_bytes: self.sent.load(Ordering::Relaxed),
            received_bytes: self.received.load(Ordering::Relaxed),
        }
    }
}

/// Traffic of one entry by kind.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Between entries.
    pub links: Counter,
    /// With the platform's service.
    pub platform: Counter,
}

/// Bytes of one entry by kind, since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Between entries.
    pub links: Volume,
    /// With the platform's service.
    pub platform: Volume,
}

impl Traffic {
    /// What was counted so far.
    pub fn account(&self) -> Account {
        Account { links: self.links.volume(), platform: self.platform.volume() }
    }
}

impl Account {
    /// Bytes sent and received, of all kinds.
    pub fn total(&self) -> Volume {
        Volume {
            sent_bytes: self.links.sent_bytes + self.platform.sent_bytes,
            received_bytes: self.links.received_bytes + self.platform.received_bytes,
        }
    }
}
