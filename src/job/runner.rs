//! What a cell's owner and the runners tell each other, and what a runner says of itself.

use {
    super::spec::{Need, Task},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Name of a runner.
pub type Id = String;
/// Number of an incarnation: the time of its start.
pub type Born = u64;
/// Number by which a runner tells the newest owner; rises.
pub type Fence = u64;
/// Position of an end in a runner's list, from 1.
pub type EndNumber = u64;

/// A runner's registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Service.
    pub service: String,
    /// Where it is called.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// VM whose life it is, or empty.
    pub vm: String,
    /// Incarnation, if it says so.
    pub born: Option<Born>,
    /// Whether it is leaving.
    pub draining: bool,
    /// Its whole room.
    pub room: Need,
    /// Its labels; the kind of the VM and its rack are among them.
    pub labels: Vec<String>,
    /// Rack of its VM, or empty.
    pub rack: String,
    /// Position in the runner's own sequence of registrations.
    pub sequence: u64,
}

/// A start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Task.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// Text of the job.
    pub text: String,
    /// End of the runner's lease, on the runner's clock in milliseconds.
    pub until_ms: u64,
    /// Fence of the sender.
    pub fence: Fence,
    /// Checkpoint to resume from, or empty.
    pub checkpoint: String,
    /// Ticket of the advisor, or empty.
    pub ticket: String,
}

/// A renewal of the lease, and a look at what runs and what has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hold {
    /// Fence of the sender.
    pub fence: Fence,
    /// End of the lease, on the runner's clock in milliseconds, if it is to be extended.
    pub until_ms: Option<u64>,
    /// Last end that may be forgotten.
    pub seen: EndNumber,
    /// Time for which the runner waits for an end before it answers.
    pub wait: Duration,
}

/// Answer to a look.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The runner's clock in milliseconds.
    pub clock_ms: u64,
    /// Incarnation.
    pub born: Option<Born>,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and may not be forgotten yet.
    pub ended: Vec<End>,
}

/// A running task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Task.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint, or empty.
    pub checkpoint: String,
    /// Share at which it may work, in percent.
    pub percent: u32,
    /// Tail latency in milliseconds of a task that serves users; else thousandths of a core in use.
    pub usage: u64,
}

/// An ended run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Position in the runner's list.
    pub number: EndNumber,
    /// Task.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub how: How,
    /// Newest checkpoint, or empty.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// Done.
    Done,
    /// Failed through its own fault or the runner's.
    Failed,
    /// Ended for another reason: stopped, lease lapsed, or its gang broke.
    Stopped,
}

/// Why a runner rejected an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It has seen a newer owner.
    Fence,
    /// It has stopped or ended a run that is not lower.
    Old,
    /// The lease had ended before the order arrived.
    Late,
    /// It has no room.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// It is unhealthy and has done nothing.
    Unhealthy,
    /// Another incarnation answers at its address.
    Instance,
    /// It found the order malformed.
    Malformed,
}

/// What came of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<T> {
    /// Carried out.
    Done(T),
    /// Rejected; nothing was done.
    Rejected(Reason),
    /// No answer: it may have been carried out, or may be yet.
    Unknown(String),
}
