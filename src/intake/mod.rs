//! Limits on what callers may hold of an entry's memory and descriptors.
//!
//! Callers are not trusted: a connection may send a head or a body without end, stop short of an end, or
//! leave its answers unread. What an entry holds for them is therefore bounded twice:
//!
//! - A connection costs a fixed amount of memory ([`CONNECTION_BYTES`]): the buffers of the HTTP library,
//!   whose size is set here, and the bytes that the kernel has received for it. [`Connections`] bounds their
//!   number. A new connection replaces the one that has waited for its caller for longest, so that callers
//!   who send nothing keep nobody out. A connection whose request is being handled is never closed for
//!   another one.
//! - Bodies are read into one piece of memory each, whatever the size of their chunks, and [`Memory`] bounds
//!   their total. While it is used up, the body that has been arriving for longest is given up, and its
//!   request is refused as it has not been passed on. A body that is whole keeps its memory until nothing
//!   refers to it any more.
//!
//! A request that is passed on while its body is still arriving holds an endpoint and memory for its caller, as
//! does a response that is not taken. [`Pace`] tells by how much such a caller is behind, and [`Connections`]
//! closes those that are for too long, or that are too many.
//!
//! [`Connections`], [`Memory`] and [`Pace`] decide without input or output. [`Guard`] shares them among the tasks that
//! serve connections.

mod body;
mod connections;
mod guard;
mod http;
mod memory;
mod pace;
mod stream;

pub use {
    body::{Buffer, read},
    connections::Connections,
    guard::{Connection, Counts, Guard, Reservation},
    http::{builder, set_receive_buffer},
    memory::Memory,
    pace::{BODY_RATE, Pace},
    stream::Stream,
};

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Result of taking in something of a caller's.
pub type Result<T> = std::result::Result<T, Error>;

/// Why nothing more is taken in from a caller.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// all {0} connections are in use
    Connections(usize),
    /// all {0} bytes for bodies are in use
    Memory(usize),
    /// the memory of the incomplete body was needed for another request
    Displaced,
    /// the body is longer than {0} bytes
    TooLong(usize),
    /// the body did not arrive within {0:?}
    TimedOut(Duration),
    /// the body broke off: {0}
    Broken(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Whether the same request may be served later.
    pub fn is_temporary(&self) -> bool {
        matches!(self, Self::Connections(_) | Self::Memory(_) | Self::Displaced)
    }
}

/// Longest head of a request by default, in bytes.
pub const HEAD_BYTES: usize = 16 << 10;
/// Longest body of a request by default, in bytes.
const BODY_BYTES: usize = 256 << 10;
/// Largest number of header fields in a request by default.
pub const HEAD_FIELDS: usize = 512;
/// Memory for a connection: a head, the receive buffers of the library and the kernel, and its state.
pub const CONNECTION_BYTES: u64 = 128 << 10;
/// Part of a body that counts as memory of its connection, in bytes.
pub const ALLOWANCE_BYTES: usize = 8 << 10;
/// Bytes that the kernel receives for a connection before they are read.
const RECEIVE_BYTES: usize = 32 << 10;
/// Divisor of the VM's memory that gives the memory for connections.
const CONNECTIONS_SHARE: u64 = 4;
/// Divisor of the VM's memory that gives the memory for bodies.
const BODIES_SHARE: u64 = 16;
/// Descriptors that are not used for sockets.
const FILE_DESCRIPTORS: u64 = 200;
/// Divisor of the descriptors for sockets that gives those for callers.
const DESCRIPTORS_SHARE: u64 = 2;
/// Divisor of the number of connections that gives that of stalled ones.
const STALLED_SHARE: usize = 16;
/// Smallest number of connections.
const MIN_CONNECTIONS: u64 = 16;

/// Limits on what callers may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of connections whose callers neither take their responses nor send the rest of their
    /// requests.
    pub stalled_connections: usize,
    /// Memory for bodies beyond [`ALLOWANCE_BYTES`] of each, in bytes.
    pub body_memory: usize,
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest number of header fields in a request.
    pub head_fields: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time for receiving a request's head, counted from the connection's start or its last answer.
    pub head_timeout: Duration,
    /// Time for receiving a request's body. While a body is being passed on, time by which its caller may be
    /// behind `body_rate`.
    pub body_timeout: Duration,
    /// Rate below which the caller of a body that is being passed on falls behind, in bytes a second.
    pub body_rate: u64,
    /// Time without progress after which an answer that its caller does not read is given up.
    pub write_timeout: Duration,
}

impl Limits {
    /// Limits on a VM with `memory_bytes`, for a process that may open `descriptors`. `connection_bytes` is
    /// the memory that a connection takes.
    pub fn new(memory_bytes: u64, descriptors: u64, connection_bytes: u64) -> Self {
        let by_memory = memory_bytes / CONNECTIONS_SHARE / connection_bytes;
        let by_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTORS_SHARE;
        let connections = by_memory.min(by_descriptors).max(MIN_CONNECTIONS) as usize;
        Self {
            connections,
            stalled_connections: connections / STALLED_SHARE,
            body_memory: (memory_bytes / BODIES_SHARE) as usize,
            head_bytes: HEAD_BYTES,
            head_fields: HEAD_FIELDS,
            body_bytes: BODY_BYTES,
            head_timeout: Duration::from_secs(15),
            body_timeout: Duration::from_secs(5),
            body_rate: BODY_RATE,
            write_timeout: Duration::from_secs(15),
        }
    }
}
