//! Events of the simulation.

use carobhitch::slot::{Message, Peer};

/// Fault injected one second into the first burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Entry 0 suspects entry 1, and entry 1 suspects entry 2.
    Disagreement,
    /// Entry 1 is paused for a time, and is suspected by the others.
    Pause,
    /// Entry 1 is paused, fenced off by the others, and restarts as a new incarnation.
    PauseFenced,
    /// Entry 1 is killed.
    Kill,
}

/// An exchange of an entry with an endpoint.
#[derive(Clone, Copy)]
pub struct Exchange {
    pub id: u64,
    pub entry: usize,
    pub endpoint: usize,
}

/// An event with its parameters.
pub enum Event {
    /// A request arrives at the availability zone.
    Arrive,
    /// A request reaches the queue of an entry.
    Offer { entry: usize, id: u64 },
    /// An exchange reaches its endpoint.
    AtEndpoint(Exchange),
    /// The run of an exchange ends.
    RunEnd(Exchange),
    /// The answer reaches the entry; `ran` is false if the endpoint refused the exchange.
    Answer { exchange: Exchange, ran: bool },
    /// An entry retries a refused exchange.
    Resend { entry: usize, id: u64 },
    /// A message of another entry arrives.
    Deliver { from: Peer, to: usize, message: Message },
    /// Periodic work of an entry.
    Tick { entry: usize },
    /// The fault begins.
    StartFault,
    /// The other entries detect the fault.
    NoticeFault,
    /// The paused entry continues.
    EndPause,
}
