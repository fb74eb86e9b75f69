//! What the engine is told and what it asks for in return.

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

/// A stream of the log that the entry follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Fleet records.
    Fleet,
    /// Claims to orders.
    Orders,
    /// Snapshots of the fleet's state.
    Snapshots,
}

/// Something that the engine must decide on.
#[derive(Debug)]
pub enum Event {
    /// A caller's request is complete enough to be run.
    Arrived {
        /// Its number.
        id: RequestId,
        /// The request.
        request: Request,
        /// Fingerprint of its method, path and body.
        fingerprint: u64,
        /// Whether it can be sent a second time.
        repeatable: bool,
        /// Whether another entry relayed it.
        relayed: bool,
    },
    /// The caller has gone before the answer.
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
        /// Stream they are from.
        stream: Stream,
        /// The records.
        page: Page,
    },
    /// The log could not be read.
    Unread {
        /// Stream.
        stream: Stream,
        /// Lowest offset that the log still holds, if it has dropped what was asked for.
        first: Option<Offset>,
    },
    /// A state was read from the snapshots in the log.
    Found(Box<State>),
    /// An append ended.
    Appended {
        /// Stream.
        stream: Stream,
        /// Name of the record.
        id: String,
        /// Offset, if it is known to be in the log.
        offset: Option<Offset>,
    },
    /// The platform's list of VMs was read.
    Listed(List),
    /// A probe of an endpoint over a new connection ended.
    Probed {
        /// Endpoint's VM.
        vm: VmId,
        /// Whether a connection could be opened.
        sound: bool,
    },
    /// The state of an action on the platform was read.
    Operated {
        /// Name of the action.
        operation: OperationId,
        /// How far it is; none if it was never begun.
        progress: Option<Progress>,
    },
    /// An operator's call asks for a record.
    Called {
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
    /// A link to another entry was tried.
    Linked {
        /// Address.
        peer: SocketAddr,
        /// Who answered, or why nobody did.
        contact: Contact,
    },
    /// A planned stop begins.
    Stop,
}

/// What a try at linking found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Contact {
    /// An entry answered.
    Answered {
        /// Its name.
        id: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Nothing listens at the address: the process there has ended.
    Refused,
    /// No answer in time.
    Silent,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer arrived.
    Answered {
        /// Status.
        status: u16,
        /// Whether the endpoint said that it is leaving.
        leaving: bool,
        /// Answer to keep, for an order.
        kept: Option<Answer>,
    },
    /// Another entry answered; its word on the outcome was passed on.
    Relayed,
    /// The endpoint said that it did not run the request.
    Refused {
        /// Whether the endpoint said that it is leaving.
        leaving: bool,
    },
    /// No connection could be opened: nothing was sent.
    Unsent,
    /// The connection failed after something was sent.
    Broken,
    /// The answer broke off, or its caller went, after part of it was passed on.
    Cut,
    /// No answer within the time allowed.
    Silent,
    /// The answer was another request's.
    Crossed,
    /// The caller failed to deliver its body.
    Caller,
}

/// Something that the engine asks for.
#[derive(Debug)]
pub enum Action {
    /// Run a request on an endpoint.
    Run {
        /// Number of the request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Endpoint's VM.
        vm: VmId,
        /// Endpoint's address.
        address: SocketAddr,
        /// When to give the attempt up.
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
        /// When to give the attempt up.
        until: Instant,
    },
    /// Try a new connection to an endpoint.
    Probe {
        /// Endpoint's VM.
        vm: VmId,
        /// Endpoint's address.
        address: SocketAddr,
    },
    /// Answer a request without running it (again).
    Finish {
        /// Number of the request.
        id: RequestId,
        /// What to say.
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
        /// Offset and verdict, or why there is none.
        verdict: Option<(Offset, Verdict)>,
    },
    /// Send a message to another entry.
    Send {
        /// Where.
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
        /// Name of the action.
        operation: OperationId,
    },
    /// Ask the platform how far an action is.
    Operation {
        /// Name of the action.
        operation: OperationId,
    },
    /// Everything in progress has ended.
    Stopped,
    /// The log says that this incarnation has ended: nothing it does may count any more.
    Expelled,
}

/// Final answer to a request, decided by the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// Certainly not run.
    NotRun {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// It ran and failed, or its repetition is not allowed.
    Failed {
        /// Why.
        reason: String,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: String,
        /// When to ask again.
        retry_after: Duration,
    },
    /// Answer kept from an earlier run of the same order.
    Kept(Answer),
}
