//! Settings of an entry that serves requests, read from one TOML file.
//!
//! The whole file is validated before anything starts. Every fault is reported with its key, the value
//! found and the values allowed.

use {
    crate::{
        fault::{self, Found, Reader},
        id::{EntryId, ZoneId},
        intake,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        ops::RangeInclusive,
        path::Path,
        time::Duration,
    },
};

/// Log levels, the least verbose first.
pub const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
/// Upper bound of `body_bytes`.
const MAX_BODY_BYTES: u64 = 1 << 30;
/// Values allowed for `memory_mb`.
const MEMORY_MB: RangeInclusive<u64> = 32..=1 << 20;
/// Values allowed for `descriptors`.
const DESCRIPTORS: RangeInclusive<u32> = 256..=1 << 20;
/// Divisor of `memory_mb` that gives `body_memory_mb` by default.
const BODIES_SHARE: u64 = 16;
/// Values allowed for `head_bytes`.
const HEAD_BYTES: RangeInclusive<u64> = 8_192..=1 << 20;
/// Values allowed for `head_fields`.
const HEAD_FIELDS: RangeInclusive<u32> = 16..=4_096;
/// Upper bound of `connections`.
const MAX_CONNECTIONS: u32 = 65_536;
/// Bytes in a megabyte.
const MB: u64 = 1_000_000;
/// Memory for a caller's connection and the one to the endpoint, in bytes.
const CONNECTION_BYTES: u64 = 192 << 10;
/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;
/// Milliseconds in a day.
const DAY_MS: u64 = 24 * HOUR_MS;
/// Placeholder for an address that is missing or invalid.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this entry.
    pub id: EntryId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address at which it accepts callers.
    pub callers: SocketAddr,
    /// Address at which it accepts other entries.
    pub link: SocketAddr,
    /// Address at which it accepts operators' calls.
    pub rpc: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Address to which metrics are sent as StatsD datagrams; `None` sends none.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_log")]
    pub log: String,
    /// Links of other entries from which the state is fetched when the platform is unavailable.
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
    /// Memory of this VM, in MB.
    pub memory_mb: u64,
    /// Descriptors that the process may open.
    pub descriptors: u32,
    /// Memory for bodies that are buffered, in MB.
    pub body_memory_mb: u64,
    /// Longest head of a request, in bytes.
    pub head_bytes: u64,
    /// Largest number of header fields in a request.
    pub head_fields: u32,
    /// Longest body of a request, in bytes.
    pub body_bytes: u64,
    /// Maximum number of concurrent connections of callers; it is lower if memory or descriptors allow
    /// only fewer.
    pub connections: u32,
    /// Maximum number of connections whose callers neither take their responses nor send the rest of their
    /// requests.
    pub stalled_connections: u32,
    /// Timeout for receiving a request's head, in milliseconds.
    pub head_ms: u64,
    /// Time without progress after which a body transfer is aborted, in milliseconds. Time by which the caller
    /// of a long body may be behind `body_rate`.
    pub idle_ms: u64,
    /// Rate below which the caller of a long body falls behind, in bytes a second.
    pub body_rate: u64,
    /// Time without progress after which a response that its caller does not read is given up, in
    /// milliseconds.
    pub write_ms: u64,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Longest duration of a planned stop, in milliseconds.
    pub stop_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 1_024,
            descriptors: 4_096,
            body_memory_mb: 64,
            head_bytes: 16_384,
            head_fields: 512,
            body_bytes: 16 << 20,
            connections: 1024,
            stalled_connections: 64,
            head_ms: 5_000,
            idle_ms: 10_000,
            body_rate: intake::BODY_RATE,
            write_ms: 15_000,
            deadline_ms: 30_000,
            stop_ms: 30_000,
        }
    }
}

impl Settings {
    /// Reads and validates a file.
    pub fn load(path: &Path) -> fault::Result<Self> {
        let (file, table) = fault::load(path)?;
        Self::read(&file, &table)
    }

    /// Validates text; `file` is its name in faults.
    pub fn parse(file: &str, text: &str) -> fault::Result<Self> {
        Self::read(file, &fault::parse(file, text)?)
    }

    fn read(file: &str, table: &toml::Table) -> fault::Result<Self> {
        let mut reader = Reader::new(file, table);
        let mut addresses = Addresses::default();
        let settings = Self {
            id: reader.name("id"),
            zone: reader.name("zone"),
            callers: addresses.listener(&mut reader, "callers"),
            link: addresses.peer_listener(&mut reader, "link"),
            rpc: addresses.peer_listener(&mut reader, "rpc"),
            platform: addresses.remote(&mut reader, "platform"),
            metrics: reader.optional_address("metrics"),
            log: level(&mut reader),
            seeds: addresses.seeds(&mut reader),
            limits: reader.table("limits", Limits::read),
        };
        let faults = reader.finish();
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }
}

fn level(reader: &mut Reader<'_>) -> String {
    let wanted = format!("one of {}", LEVELS.join(", "));
    let read = |value: &toml::Value| {
        value.as_str().filter(|level| LEVELS.contains(level)).map(String::from)
    };
    reader.optional("log", &wanted, read).unwrap_or_else(default_log)
}

/// Addresses read so far with their keys, to report one that is used twice.
#[derive(Default)]
struct Addresses(IndexMap<SocketAddr, &'static str>);

impl Addresses {
    /// Reads an address to listen at; port 0 (any free port) may be used more than once.
    fn listener(&mut self, reader: &mut Reader<'_>, key: &'static str) -> SocketAddr {
        let Some(address) = reader.address(key) else { return PLACEHOLDER_ADDRESS };
        if address.port() != 0 {
            self.register(reader, key, address);
        }
        address
    }

    /// Reads an address to listen at to which the other entries connect, so it can't be a wildcard.
    fn peer_listener(&mut self, reader: &mut Reader<'_>, key: &'static str) -> SocketAddr {
        let address = self.listener(reader, key);
        if address != PLACEHOLDER_ADDRESS && address.ip().is_unspecified() {
            let wanted = "must be an IP number at which the other entries reach this one";
            reader.bad_value(key, &address, wanted);
        }
        address
    }

    /// Reads an address to connect to.
    fn remote(&mut self, reader: &mut Reader<'_>, key: &'static str) -> SocketAddr {
        let Some(address) = reader.address(key) else { return PLACEHOLDER_ADDRESS };
        if address.port() == 0 || address.ip().is_unspecified() {
            reader.bad_value(
                key,
                &address,
                "must be an IP number and a port that can be connected to",
            );
        }
        self.register(reader, key, address);
        address
    }

    /// Reads the links of other entries. All entries may have the same list, so this entry's own link
    /// may be in it.
    fn seeds(&mut self, reader: &mut Reader<'_>) -> Vec<SocketAddr> {
        let seeds = reader.addresses("seeds");
        for seed in &seeds {
            if self.0.get(seed) != Some(&"link") {
                self.register(reader, "seeds", *seed);
            }
        }
        seeds
    }

    /// Records an address and reports a fault if another key has it too.
    fn register(&mut self, reader: &mut Reader<'_>, key: &'static str, address: SocketAddr) {
        if let Some(other) = self.0.insert(address, key) {
            let wanted = format!("must differ from every other address; {other} has it too");
            reader.fault(key, Found::Value(address.to_string()), wanted);
        }
    }
}

impl Limits {
    /// Limits on what callers may hold.
    pub fn intake(&self) -> intake::Limits {
        let memory = self.memory_mb * MB;
        let sized = intake::Limits::new(memory, self.descriptors.into(), CONNECTION_BYTES);
        intake::Limits {
            connections: sized.connections.min(self.connections as usize),
            stalled_connections: sized.stalled_connections.min(self.stalled_connections as usize),
            body_memory: (self.body_memory_mb * MB) as usize,
            head_bytes: self.head_bytes as usize,
            head_fields: self.head_fields as usize,
            body_bytes: self.body_bytes as usize,
            head_timeout: Duration::from_millis(self.head_ms),
            body_timeout: Duration::from_millis(self.idle_ms),
            body_rate: self.body_rate,
            write_timeout: Duration::from_millis(self.write_ms),
        }
    }

    fn read(reader: &mut Reader<'_>) -> Self {
        let default = Self::default();
        let memory_mb = reader.number("memory_mb", MEMORY_MB, default.memory_mb);
        let share = memory_mb / BODIES_SHARE;
        Self {
            memory_mb,
            body_memory_mb: reader.number("body_memory_mb", 1..=memory_mb, share),
            head_bytes: reader.number("head_bytes", HEAD_BYTES, default.head_bytes),
            descriptors: reader.count("descriptors", DESCRIPTORS, default.descriptors),
            head_fields: reader.count("head_fields", HEAD_FIELDS, default.head_fields),
            body_bytes: reader.number("body_bytes", 1..=MAX_BODY_BYTES, default.body_bytes),
            connections: reader.count("connections", 1..=MAX_CONNECTIONS, default.connections),
            stalled_connections: reader.count(
                "stalled_connections",
                0..=MAX_CONNECTIONS,
                default.stalled_connections,
            ),
            head_ms: reader.number("head_ms", 1..=HOUR_MS, default.head_ms),
            idle_ms: reader.number("idle_ms", 1..=HOUR_MS, default.idle_ms),
            body_rate: reader.number("body_rate", 1..=MAX_BODY_BYTES, default.body_rate),
            write_ms: reader.number("write_ms", 1..=HOUR_MS, default.write_ms),
            deadline_ms: reader.number("deadline_ms", 1..=DAY_MS, default.deadline_ms),
            stop_ms: reader.number("stop_ms", 0..=HOUR_MS, default.stop_ms),
        }
    }
}
