//! Operators' calls over gRPC, defined by the schema in `proto/`.
//!
//! The server maps each mutating call to one record, hands it to [`Backend::submit`] and answers
//! with the verdict that this entry read back from the log. A rejected record is a normal reply; a
//! gRPC error means that no verdict is known. Since a repeated operation id returns the first
//! verdict, the client repeats a call without a reply at the next entry.

mod body;
mod client;
pub mod json;
mod reply;
mod server;

/// Messages, client and server generated from the schema.
#[allow(missing_docs, clippy::all)]
pub mod proto {
    include!("../../generated/carobhitch.v1.rs");

    /// Encoded descriptor set of the schema, for gRPC server reflection.
    pub const DESCRIPTOR: &[u8] = include_bytes!("../../generated/descriptor.bin");
}

pub use {
    client::{Client, Stub},
    server::{run, serve},
};

use {
    crate::{
        id::{EntryId, Incarnation, Offset, ZoneId},
        record::Record,
        state::{State, Verdict},
    },
    displaydoc::Display,
    std::{future::Future, pin::Pin, sync::Arc, time::Duration},
};

/// Maximum size of a request or a reply in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Result of a call, or of starting the server.
pub type Result<T> = std::result::Result<T, Error>;
/// Future of the offset and the verdict of a record.
pub type Decision = Pin<Box<dyn Future<Output = Result<(Offset, Verdict)>> + Send>>;

/// Failure of a call without a verdict.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[displaydoc("{step} at {peer}: {cause}")]
pub struct Error {
    /// Step that failed.
    pub step: &'static str,
    /// Address or name of the other side.
    pub peer: String,
    /// Cause of the failure.
    pub cause: Cause,
}

impl std::error::Error for Error {}

/// Why there is no verdict.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// unavailable: {0}
    Unavailable(String),
    /// outcome unknown, the call may be repeated with the same operation id: {0}
    Unknown(String),
    /// invalid call: {0}
    Invalid(String),
}

/// Functions of the daemon that the server calls.
pub struct Backend {
    /// Name of this entry, for error messages.
    pub entry: EntryId,
    /// Appends a record to the log; resolves with the verdict once this entry has read it back.
    pub submit: Box<dyn Fn(Record) -> Decision + Send + Sync>,
    /// Returns the current state of this entry.
    pub view: Box<dyn Fn() -> Arc<State> + Send + Sync>,
    /// Returns what this entry knows about every entry, itself included.
    pub entries: Box<dyn Fn() -> Vec<Entry> + Send + Sync>,
    /// Whether this entry is ready, that is, has a state to answer from.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
}

/// Health of an entry as seen by the entry that answers the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Ready, or alive if it is another entry.
    Ready,
    /// Not ready, or without a heartbeat for too long if it is another entry.
    Suspected,
    /// Its incarnation has ended.
    Gone,
}

/// An entry, as the answering entry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name.
    pub id: EntryId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Version of the declaration in force there; `None` if there is none.
    pub version: Option<Offset>,
    /// Offset of the next record that it is going to apply.
    pub next: Offset,
    /// Age of this information.
    pub age: Duration,
    /// Health of the entry.
    pub health: Health,
}
