//! VMs of a cell: what the platform says of them, and the waves of upkeep due on them.

use {
    crate::id::VmId,
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of a wave.
pub type Number = u64;

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name.
    pub id: VmId,
    /// Service whose pool it is in.
    pub pool: String,
    /// What it does.
    pub state: State,
    /// Availability zone.
    pub zone: String,
    /// Its labels; its kind and its rack are among them.
    pub labels: Vec<String>,
    /// Its runner, if one is up.
    pub runner: Option<String>,
}

/// What a VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Runs.
    Up,
    /// Moves to another pool.
    Moving,
    /// Is in upkeep.
    Upkeep,
    /// Is down for another reason.
    Down,
}

/// A wave of upkeep that the operators ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Number.
    pub number: Number,
    /// VMs that are due.
    pub vms: Vec<VmId>,
    /// Time within which all of them must have had their upkeep.
    pub within: Duration,
    /// Most VMs that may be in upkeep at once.
    pub most: usize,
}

/// An action on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Puts a VM into another pool.
    Move {
        /// VM.
        vm: VmId,
        /// Service whose pool it joins.
        pool: String,
    },
    /// Takes a VM down for its upkeep.
    Upkeep {
        /// VM.
        vm: VmId,
        /// Wave.
        wave: Number,
    },
}

impl Action {
    /// VM that the action is on.
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
