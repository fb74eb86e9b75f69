//! What happens.

use carobhitch::slot::{Message, Peer};

/// What goes wrong at the start of the second burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    Disagreement,
    Pause,
    PauseFenced,
    Kill,
}

/// An exchange at a runner.
#[derive(Clone, Copy)]
pub struct Exchange {
    pub id: u64,
    pub entry: usize,
    pub runner: usize,
}

/// What happens at one time.
pub enum Event {
    Arrive,
    Offer { entry: usize, id: u64 },
    AtRunner(Exchange),
    RunEnd(Exchange),
    Answer { exchange: Exchange, ran: bool },
    Resend { entry: usize, id: u64 },
    Link { from: Peer, to: usize, message: Message },
    Tick { entry: usize },
    Begin,
    Noticed,
    Resume,
}
