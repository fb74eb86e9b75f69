//! Messages about slots between the entries of an availability zone.

use {
    crate::id::{EntryId, Incarnation, ServiceId, VmId},
    serde::{Deserialize, Serialize},
};

/// One incarnation of an entry.
pub type Peer = (EntryId, Incarnation);

/// A message to send over the link to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Receiver.
    pub to: Peer,
    /// Content.
    pub message: Message,
}

/// A message to one incarnation; a later incarnation of the same entry ignores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Receiving incarnation.
    pub to: Incarnation,
    /// Content.
    pub body: Body,
}

/// Unique, ordered number of a recount; it fences off grants of earlier rounds.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Round {
    /// Increases with each recount of an endpoint.
    pub number: u64,
    /// Entry that leads the recount.
    pub leader: EntryId,
    /// Incarnation of the leader.
    pub incarnation: Incarnation,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The sender asks to join the group of slot holders.
    Hello,
    /// Answers [`Body::Hello`]: the sender has added the receiver as a member.
    Welcome {
        /// Whether the sender itself has joined.
        joined: bool,
        /// Incarnations known to the sender that may still run.
        known: Vec<Peer>,
    },
    /// Reports the sender's demand for slots.
    Want {
        /// Service that the waiting requests are for.
        service: ServiceId,
        /// Number of requests waiting for slots; 0 withdraws the demand.
        waiting: u32,
        /// Number of the service's slots that the sender holds.
        held: u32,
    },
    /// Transfers slots to the receiver; resent until acknowledged.
    Grant {
        /// Endpoint that the slots belong to.
        #[serde(rename = "runner")]
        endpoint: VmId,
        /// Round in which the sender holds the slots.
        round: Round,
        /// Number of the grant, increasing with each grant of the sender.
        serial: u64,
        /// Number of slots.
        slots: u32,
    },
    /// Acknowledges a grant.
    Taken {
        /// Endpoint that the slots belong to.
        #[serde(rename = "runner")]
        endpoint: VmId,
        /// Number of the grant.
        serial: u64,
    },
    /// Starts a recount, or repeats the request for a missing answer.
    Count {
        /// Endpoint whose slots are counted.
        #[serde(rename = "runner")]
        endpoint: VmId,
        /// Round of the recount.
        round: Round,
        /// Incarnations that have ended, whose messages the receiver must ignore from now on.
        ended: Vec<Peer>,
    },
    /// Answers [`Body::Count`].
    Held {
        /// Endpoint whose slots are counted.
        #[serde(rename = "runner")]
        endpoint: VmId,
        /// Round of the recount.
        round: Round,
        /// Number of slots that the sender held when it joined the round.
        slots: u32,
    },
    /// Rejects a grant or count of an earlier round.
    Outdated {
        /// Endpoint that the round belongs to.
        #[serde(rename = "runner")]
        endpoint: VmId,
        /// Later round, which the sender has joined.
        round: Round,
    },
    /// Asks the receiver to give up slots that exceed the endpoint's declared number.
    Shed {
        /// Endpoint that the slots belong to.
        #[serde(rename = "runner")]
        endpoint: VmId,
        /// Round in which the slots are held.
        round: Round,
        /// Number of slots.
        slots: u32,
    },
}
