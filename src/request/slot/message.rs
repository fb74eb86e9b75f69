//! What the entries of an availability zone tell each other about slots.

use {
    crate::id::{EntryId, Incarnation, ServiceId, VmId},
    serde::{Deserialize, Serialize},
};

/// An incarnation of an entry.
pub type Peer = (EntryId, Incarnation);

/// A message to send over the link to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Receiver.
    pub to: Peer,
    /// Content.
    pub message: Message,
}

/// A message between two incarnations; a later incarnation of the receiver ignores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Incarnation that the message is for.
    pub to: Incarnation,
    /// Content.
    pub body: Body,
}

/// Number of a recount, unique and ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Round {
    /// Grows with each recount of a runner.
    pub number: u64,
    /// Entry that leads the recount.
    pub leader: EntryId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The sender wants to take part.
    Hello,
    /// The receiver may take part as far as the sender is concerned.
    Welcome {
        /// The sender itself takes part.
        joined: bool,
        /// Incarnations that the sender knows and that may still run.
        known: Vec<Peer>,
    },
    /// The sender has requests that wait for slots; none if `waiting` is 0.
    Want {
        /// Service they wait for.
        service: ServiceId,
        /// How many wait.
        waiting: u32,
        /// Slots of the service that the sender holds.
        held: u32,
    },
    /// Hands slots to the receiver; sent again until taken.
    Grant {
        /// Runner whose slots they are.
        runner: VmId,
        /// Round in which the sender holds them.
        round: Round,
        /// Number of the grant, growing with each of the sender's grants.
        serial: u64,
        /// How many.
        slots: u32,
    },
    /// The sender has the slots of a grant.
    Taken {
        /// Runner.
        runner: VmId,
        /// Number of the grant.
        serial: u64,
    },
    /// Begins a recount, or asks for an answer that is missing.
    Count {
        /// Runner.
        runner: VmId,
        /// Round that begins.
        round: Round,
        /// Incarnations that have ended, from which the receiver must take nothing any more.
        ended: Vec<Peer>,
    },
    /// Answers a count.
    Held {
        /// Runner.
        runner: VmId,
        /// Round of the count.
        round: Round,
        /// Slots that the sender held when it joined the round.
        slots: u32,
    },
    /// The receiver's round is over; a later one has begun.
    Outdated {
        /// Runner.
        runner: VmId,
        /// The later round.
        round: Round,
    },
    /// Asks the receiver to give up slots that the runner no longer has.
    Shed {
        /// Runner.
        runner: VmId,
        /// Round in which the slots are held.
        round: Round,
        /// How many.
        slots: u32,
    },
}
