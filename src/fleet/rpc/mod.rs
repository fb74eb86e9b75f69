//! Operators' calls by gRPC, after the schema in `proto/`.
//!
//! The server maps each mutating call to one record, hands it to [`Backend::submit`] and answers
//! with the verdict that this entry read back from the log. A rejected record is an answer; a gRPC
//! error means that no verdict is known. Since a repeated operation id returns the first verdict,
//! the client repeats a call without an answer at the next entry.

mod body;
mod client;
pub mod json;
mod reply;
mod server;

/// Generated messages, client and server.
#[allow(missing_docs, clippy::all)]
pub mod proto {
    include!("../../generated/carobhitch.v1.rs");

    /// Encoded descriptor set of the schema, for reflection.
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

/// Longest message of a call or an answer.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Outcome of a step of a call.
pub type Result<T> = std::result::Result<T, Error>;
/// Offset and verdict of a record once they are known.
pub type Decision = Pin<Box<dyn Future<Output = Result<(Offset, Verdict)>> + Send>>;

/// A call that got no verdict.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[displaydoc("{step} at {peer}: {cause}")]
pub struct Error {
    /// What was being done.
    pub step: &'static str,
    /// Address or name of the other side.
    pub peer: String,
    /// What went wrong.
    pub cause: Cause,
}

impl std::error::Error for Error {}

/// Why a call got no verdict.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// unavailable: {0}
    Unavailable(String),
    /// outcome unknown, the call may be repeated with the same operation id: {0}
    Unknown(String),
    /// bad call: {0}
    Invalid(String),
}

/// What the daemon lends to the calls.
pub struct Backend {
    /// Name of this entry, for errors.
    pub entry: EntryId,
    /// Writes a record and resolves once this entry has read it back.
    pub submit: Box<dyn Fn(Record) -> Decision + Send + Sync>,
    /// State in force on this entry.
    pub view: Box<dyn Fn() -> Arc<State> + Send + Sync>,
    /// What this entry knows of every entry, itself included.
    pub entries: Box<dyn Fn() -> Vec<EntryStatus> + Send + Sync>,
    /// Whether this entry has a state to answer from.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
}

/// Whether an entry is there, as another entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Answers.
    Ready,
    /// Has not answered for a while.
    Suspected,
    /// Its incarnation has ended.
    Gone,
}

/// What one entry knows of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// Name.
    pub id: EntryId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Version of the declaration in force there.
    pub version: Option<Offset>,
    /// Offset of the next record that it will apply.
    pub next: Offset,
    /// Time since it said so.
    pub age: Duration,
    /// Whether it is there.
    pub health: Health,
}
