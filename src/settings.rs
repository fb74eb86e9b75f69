//! Settings of an entry, read from one TOML file.

use {
    crate::id::{EntryId, ZoneId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this entry.
    pub id: EntryId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other entries connect.
    pub link: SocketAddr,
    /// Where operators connect.
    pub rpc: SocketAddr,
    /// Where the platform's service is reached.
    pub platform: SocketAddr,
    /// Where metrics are sent as StatsD datagrams.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Lowest level of the log lines written: error, warn, info, debug or trace.
    #[serde(default = "default_log")]
    pub log: String,
    /// Links of other entries, asked for the state when the platform is out.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
}

fn default_log() -> String {
    String::from("info")
}

/// Limits of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Longest body of a request or an answer.
    pub body_bytes: u64,
    /// Callers' connections at once.
    pub connections: u32,
    /// Time for a caller to send its request's head.
    pub head_ms: u64,
    /// Time without progress after which a body transfer is given up.
    pub idle_ms: u64,
    /// Deadline of requests that name none.
    pub deadline_ms: u64,
    /// Time within which a planned stop ends.
    pub stop_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 16 << 20,
            connections: 1024,
            head_ms: 5_000,
            idle_ms: 10_000,
            deadline_ms: 30_000,
            stop_ms: 30_000,
        }
    }
}
