//! Who owns the cell: claims in the platform's log, kept alive by beats.
//!
//! The owner appends a beat every [`BEAT`], on the condition that the log ends where it last saw it.
//! An entry that has seen no record for [`SILENCE`], while the log answered it, appends a claim on the
//! same condition. Of several, one lands; its offset is the epoch, which therefore is unique and rises.
//! A former owner finds its next beat refused, and the ledger and the runners refuse its epoch.

use {
    ::serde::{Deserialize, Serialize},
    bincode::{config, error::DecodeError, error::EncodeError, serde},
    std::{net::SocketAddr, time::Duration},
};

/// Time between two beats of an owner.
pub const BEAT: Duration = Duration::from_millis(300);
/// Time without a record after which an entry claims the cell.
pub const SILENCE: Duration = Duration::from_millis(900);

/// Name of one life of an entry's process.
pub type Incarnation = u64;
/// Number of an ownership; rises.
pub type Epoch = u64;

/// A record of an owner or of one who wants to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Name of the VM.
    pub node: String,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Where the other entries reach it.
    pub peer: SocketAddr,
    /// What the record says.
    pub kind: Kind,
}

/// What a record says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Takes the cell; the record's offset is its epoch less one.
    Claim,
    /// The owner of the epoch lives.
    Beat(Epoch),
    /// The owner of the epoch gives the cell up.
    Release(Epoch),
}

/// An ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Epoch.
    pub epoch: Epoch,
    /// Life of the owner's process.
    pub incarnation: Incarnation,
    /// Name of its VM.
    pub node: String,
    /// Where the other entries reach it.
    pub peer: SocketAddr,
    /// Whether it has given the cell up.
    pub released: bool,
}

impl Claim {
    /// Ownership that the record at `offset` tells of.
    pub fn owner(&self, offset: u64) -> Owner {
        let (epoch, released) = match self.kind {
            Kind::Claim => (offset + 1, false),
            Kind::Beat(epoch) => (epoch, false),
            Kind::Release(epoch) => (epoch, true),
        };
        let (incarnation, node, peer) = (self.incarnation, self.node.clone(), self.peer);
        Owner { epoch, incarnation, node, peer, released }
    }

    /// Encodes the record.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        serde::encode_to_vec(self, config::standard())
    }

    /// Decodes a record.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        serde::decode_from_slice(value, config::standard()).map(|(claim, _)| claim)
    }
}
