//! Events that the request engine handles, and actions that it returns.

use {
    crate::{
        id::{AttemptId, EntryId, Incarnation, Offset, OperationId, VmId},
        platform::{List, Page, Progress},
        record::{Answer, Record},
        request::Request,
        state::{State, Verdict},
        wire,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Number of a request on this entry.
pub type RequestId = u64;
/// Number of an operator's call on this entry.
pub type CallId = u64;

/// A stream of the platform's log that the entry follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Fleet records.
    Fleet,
    /// Claims to orders, and their outcomes.
    Orders,
    /// Snapshots of the fleet's state.
    Snapshots,
}

/// Input of the engine.
#[derive(Debug)]
pub enum Event {
    /// A caller's request arrived and can be run.
    Arrived {
        /// Its number.
        id: RequestId,
        /// The request.
        request: Request,
        /// Fingerprint of its method, path and body.
        fingerprint: u64,
        /// Whether it can be sent again.
        repeatable: bool,
        /// Whether it came through another entry.
        relayed: bool,
    },
    /// The caller disconnected before its request was answered.
    Cancelled {
        /// Number of its request.
        id: RequestId,
    },
    /// An attempt ended.
    Ended {
        /// Number of the request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: End,
    },
    /// Records were read from the log.
    Read {
        /// Stream of the records.
        stream: Stream,
        /// The records.
        page: Page,
    },
    /// A read of the log failed.
    ReadFailed {
        /// Stream.
        stream: Stream,
        /// Lowest offset that the log still holds, if it no longer holds the records asked for.
        first: Option<Offset>,
    },
    /// A fleet state was read from the snapshots in the log.
    SnapshotRead(Box<State>),
    /// An append ended.
    Appended {
        /// Stream.
        stream: Stream,
        /// Idempotency key of the append.
        id: String,
        /// Offset of the record; `None` if it is not known to be in the log.
        offset: Option<Offset>,
    },
    /// The platform's list of VMs was read.
    Listed(List),
    /// A probe of an endpoint over a new connection ended.
    Probed {
        /// Endpoint's VM.
        vm: VmId,
        /// Whether the endpoint responded to the probe; an open connection alone is no proof.
        reachable: bool,
    },
    /// The state of an action on the platform was read.
    OperationRead {
        /// Idempotency key of the action.
        operation: OperationId,
        /// Progress; `None` if the action was never begun.
        progress: Option<Progress>,
    },
    /// An operator's call asks for a record to be appended.
    OperatorCalled {
        /// Number of the call.
        call: CallId,
        /// The record.
        record: Record,
    },
    /// Another entry sent a message.
    Message {
        /// Sender.
        from: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Content.
        message: wire::Message,
    },
    /// An attempt to connect to another entry ended.
    LinkAttempted {
        /// Address.
        peer: SocketAddr,
        /// Outcome.
        contact: Contact,
    },
    /// A planned stop begins.
    Stop,
}

/// Outcome of an attempt to connect to another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Contact {
    /// An entry answered.
    Answered {
        /// Its name.
        id: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Connection refused: nothing listens at the address, so the process there has ended.
    Refused,
    /// No answer in time, or the connection failed in another way, which proves nothing.
    TimedOut,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole response arrived.
    Answered {
        /// Status.
        status: u16,
        /// Whether the endpoint reported that it is leaving.
        leaving: bool,
        /// Answer to store, for an order.
        kept: Option<Answer>,
    },
    /// Another entry responded; the outcome that it reported was passed on to the caller.
    Relayed,
    /// The endpoint responded that it did not run the request.
    Refused {
        /// Whether the endpoint reported that it is leaving.
        leaving: bool,
    },
    /// No connection could be opened: nothing was sent.
    NotSent,
    /// The connection failed after part of the request may have been sent.
    Broken,
    /// The response broke off or the caller disconnected after part of it was passed on.
    Truncated,
    /// No complete response before the attempt timed out.
    TimedOut,
    /// The response belongs to another attempt.
    Mismatched,
    /// The caller did not deliver the request's body.
    CallerFailed,
}

/// Output of the engine.
#[derive(Debug)]
pub enum Action {
    /// Send a request to an endpoint.
    Run {
        /// Number of the request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Endpoint's VM.
        vm: VmId,
        /// Endpoint's address.
        address: SocketAddr,
        /// Deadline of the attempt.
        until: Instant,
    },
    /// Relay a request to another entry.
    Relay {
        /// Number of the request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Link of the other entry.
        link: SocketAddr,
        /// Deadline of the attempt.
        until: Instant,
    },
    /// Probe an endpoint over a new connection.
    Probe {
        /// Endpoint's VM.
        vm: VmId,
        /// Endpoint's address.
        address: SocketAddr,
    },
    /// Answer a request without a further attempt.
    Finish {
        /// Number of the request.
        id: RequestId,
        /// The answer.
        finish: Finish,
    },
    /// Append a record to the log.
    Append {
        /// Stream.
        stream: Stream,
        /// The record.
        record: crate::platform::Append,
    },
    /// Answer an operator's call.
    Reply {
        /// Number of the call.
        call: CallId,
        /// Offset and verdict; `None` if there is no verdict.
        verdict: Option<(Offset, Verdict)>,
    },
    /// Send a message to another entry.
    Send {
        /// Receiver.
        to: EntryId,
        /// Address of its link.
        link: SocketAddr,
        /// Content.
        message: wire::Message,
    },
    /// Ask the platform to reboot a VM.
    Reboot {
        /// The VM.
        vm: VmId,
        /// Idempotency key of the action.
        operation: OperationId,
    },
    /// Ask the platform for the progress of an action.
    Operation {
        /// Idempotency key of the action.
        operation: OperationId,
    },
    /// The planned stop is complete: nothing is in progress any more.
    Stopped,
    /// The log says that this incarnation has ended, so the process must stop serving.
    Expelled,
}

/// Final answer to a request, decided by the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// Certainly not run.
    NotRun {
        /// Why.
        reason: String,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// It may not be run: the order's key was used for a different request.
    Failed {
        /// Why.
        reason: String,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: String,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// Answer that was stored by an earlier run of the same order.
    Stored(Answer),
}
