//! Messages between a cell's owner and the runners, and the runners' registrations.

use {
    super::spec::{Resources, Task},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Name of a runner.
pub type Id = String;
/// Number of an incarnation of a runner: the time of its start.
pub type Incarnation = u64;
/// Fencing token of an owner; runners reject a request whose token is lower than one they have
/// seen.
pub type Fence = u64;
/// Sequence number of an ended run on a runner, from 1.
pub type EndNumber = u64;

/// A runner's registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// Service.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// VM that it runs on, or empty.
    pub vm: String,
    /// Incarnation, if it is given.
    #[serde(rename = "born")]
    pub incarnation: Option<Incarnation>,
    /// Whether it is draining and takes no new tasks.
    pub draining: bool,
    /// All its resources.
    pub room: Resources,
    /// Labels; the kind of the VM and its rack are among them.
    pub labels: Vec<String>,
    /// Rack of its VM, or empty.
    pub rack: String,
    /// Sequence number of this registration among those of the runner.
    pub sequence: u64,
}

/// Request to start a task.
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
    /// Fencing token of the sender.
    pub fence: Fence,
    /// Checkpoint to resume from, or empty.
    pub checkpoint: String,
    /// Ticket of the advisor, or empty.
    pub ticket: String,
}

/// Request that renews the lease and asks for the running tasks and the ended runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Poll {
    /// Fencing token of the sender.
    pub fence: Fence,
    /// New end of the lease, on the runner's clock in milliseconds, if it is to be extended.
    pub until_ms: Option<u64>,
    /// Last ended run that the sender has recorded; the runner may discard it and those before.
    pub acknowledged: EndNumber,
    /// Time for which the runner waits for a run to end before it answers.
    pub wait: Duration,
}

/// Answer to a [`Poll`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The runner's clock in milliseconds.
    pub clock_ms: u64,
    /// Incarnation of the runner.
    pub incarnation: Option<Incarnation>,
    /// Running tasks.
    pub running: Vec<Running>,
    /// Ended runs that the runner may not discard yet.
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
    /// CPU share that it may use, in percent; 100 is full speed.
    pub percent: u32,
    /// Tail latency in milliseconds if the task serves users; otherwise processor use in
    /// thousandths of a core.
    pub usage: u64,
}

/// An ended run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Sequence number.
    pub number: EndNumber,
    /// Task.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub exit: Exit,
    /// Newest checkpoint, or empty.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The task is done.
    Done,
    /// The task or its runner failed.
    Failed,
    /// It ended for another reason: it was stopped, its lease expired, or its gang broke up.
    Stopped,
}

/// Why a runner rejected a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The runner has seen a higher fencing token.
    Fence,
    /// The runner has already stopped or ended this run of the task or a later one.
    Old,
    /// The lease had expired before the request arrived.
    Late,
    /// The task doesn't fit into the free resources.
    Room,
    /// The ticket isn't valid.
    Ticket,
    /// The runner is unhealthy and has done nothing.
    Unhealthy,
    /// Another incarnation answers at the runner's address.
    Instance,
    /// The runner found the request malformed.
    Malformed,
}

/// Outcome of a request to a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<T> {
    /// Carried out.
    Done(T),
    /// Rejected; nothing was done.
    Rejected(Rejection),
    /// No answer: the request may have been carried out, or may still be.
    Unknown(String),
}
