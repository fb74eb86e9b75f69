//! VMs of a cell: the platform's list of them, maintenance waves, and actions on them.
//!
//! Maintenance is called `upkeep` on the wire and in log lines.

use {
    crate::id::VmId,
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Number of a wave.
pub type Number = u64;

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name.
    pub id: VmId,
    /// Service whose pool it belongs to.
    pub pool: String,
    /// State.
    pub state: State,
    /// Availability zone.
    pub zone: String,
    /// Labels; the kind of the VM and its rack are among them.
    pub labels: Vec<String>,
    /// Name of its runner, if one is up.
    pub runner: Option<String>,
}

/// The platform's list of VMs, complete as far as the platform shows.
#[derive(Clone, Debug)]
pub struct Listing {
    /// VMs.
    pub vms: Vec<Vm>,
    /// When the read of the list was sent.
    pub sent: Instant,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Up,
    /// It moves to another pool.
    Moving,
    /// It is in maintenance.
    Upkeep,
    /// It is down for another reason.
    Down,
}

/// A maintenance wave that the operators request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Number.
    pub number: Number,
    /// VMs to maintain.
    pub vms: Vec<VmId>,
    /// Time within which the maintenance of all of them must be complete.
    pub within: Duration,
    /// Maximum number of VMs that may be in maintenance at once.
    #[serde(rename = "most")]
    pub max_at_once: usize,
}

/// An action on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Moves a VM to another pool.
    Move {
        /// VM.
        vm: VmId,
        /// Service whose pool it joins.
        pool: String,
    },
    /// Takes a VM down for maintenance.
    Upkeep {
        /// VM.
        vm: VmId,
        /// Wave that the VM belongs to.
        wave: Number,
    },
}

impl Action {
    /// VM that the action changes.
    pub fn vm(&self) -> &str {
        match self {
            Self::Move { vm, .. } | Self::Upkeep { vm, .. } => vm,
        }
    }
}

/// Why an action was not carried out.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// a newer holder has acted on the VM
    Fence,
    /// the VM is not up or is leaving
    Busy,
    /// the VM is not of this wave
    Wave,
    /// the platform takes no more calls now
    Later,
    /// there is no such VM, or it can not join that pool
    Impossible,
    /// no answer: {0}
    Unknown(String),
}
