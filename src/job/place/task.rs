//! One attempt at running a job, and the operations that the platform carries out on it.

use {
    super::{index::Key, workers::Preemption},
    crate::{
        id::{OperationId, VmId},
        job::{JobId, Priority, Size},
        platform::Progress,
    },
    std::time::{Duration, Instant},
};

/// Time for which a worker may run a task without a renewal.
pub const LEASE: Duration = Duration::from_secs(300);
/// Number of renewals within the time of one lease.
pub const RENEWALS_PER_LEASE: u32 = 3;
/// Time without an answer after which an operation's state is read.
pub const STATE_READ_DELAY: Duration = Duration::from_millis(750);
/// Time after which a request that was sent can no longer take effect.
pub const MAX_REQUEST_DELAY: Duration = Duration::from_secs(10);
/// Time without an answer to the start of a repeatable urgent job after which a second attempt is
/// queued. Only the first attempt is given up this way.
pub const START_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for a throttle to take effect before a checkpoint is requested.
pub const THROTTLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for a checkpoint to complete before the task is stopped without it.
pub const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a preempting task gives up its worker and looks for another one.
pub const PREEMPTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Run time after which a task counts as a success of its worker.
pub const SUCCESS_AFTER: Duration = Duration::from_secs(60);
/// Part of its processors that a throttled task keeps, in percent.
pub const THROTTLED_PERCENT: u32 = 10;
/// Stands for no worker and for no task.
pub const NONE: u32 = u32::MAX;

/// Phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a worker.
    Queued,
    /// Holds resources on a worker and waits for the tasks that it preempts there.
    Reserved,
    /// Start requested.
    Starting,
    /// Runs under its lease.
    Running,
    /// Throttle requested, to preempt it.
    Throttling,
    /// Removal of the throttle requested.
    Restoring,
    /// Checkpoint requested, to preempt it.
    Checkpointing,
    /// Stop requested.
    Stopping,
    /// The lease expired and a stop is requested; the worker may still run it.
    Expired,
}

/// Kind of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Start under a lease.
    Start,
    /// Renew the lease.
    Renew,
    /// Limit the processors.
    Throttle,
    /// Save a checkpoint.
    Checkpoint,
    /// Stop.
    Stop,
}

impl Verb {
    /// Name in the platform's protocol.
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Renew => "renew",
            Self::Throttle => "throttle",
            Self::Checkpoint => "checkpoint",
            Self::Stop => "stop",
        }
    }
}

/// An operation for the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// Job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Number of the operation within the attempt.
    pub serial: u32,
    /// Kind of the operation.
    pub verb: Verb,
    /// Whether to only read the operation's state, because its answer is overdue.
    pub read: bool,
    /// Worker.
    pub worker: VmId,
    /// Processor limit in thousandths of a core.
    pub millicores: u32,
    /// Lease, counted from now.
    pub lease: Duration,
}

impl Action {
    /// Name of the task in the platform's protocol.
    pub fn task(&self) -> String {
        format!("{}.{}", self.job, self.attempt)
    }

    /// ID that makes the operation idempotent. It doesn't contain the worker, so that an attempt
    /// runs only once even if two controllers start it on different workers.
    pub fn operation(&self) -> OperationId {
        format!("{}.{}.{}.{}", self.job, self.attempt, self.serial, self.verb.name())
    }
}

/// Answer of the platform about an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The operation has this progress.
    Known(Progress),
    /// The operation never began.
    Unknown,
}

/// Final outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It completed.
    Done,
    /// It failed and isn't retried.
    Failed,
    /// Its team cancelled it.
    Cancelled,
    /// It failed on several workers and would fail on every one.
    Impossible,
    /// It may have run, and isn't retried because it isn't repeatable.
    Unknown,
}

/// Event to report to the teams or the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A job started.
    Started(JobId),
    /// A job ended and left the scheduler.
    Finished(JobId, Outcome),
    /// A worker fails the tasks that it starts and was quarantined.
    Quarantined(VmId),
    /// A quarantined worker takes tasks again.
    Readmitted(VmId),
}

/// One attempt at running a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Job.
    pub job: JobId,
    /// Number of the job's kind.
    pub kind: u32,
    /// Number of the team's account.
    pub team: u32,
    /// Number of the pool.
    pub pool: u32,
    /// Precedence.
    pub priority: Priority,
    /// Whether the job may run again after a run whose outcome isn't known.
    pub repeatable: bool,
    /// Outcome to report once this attempt has ended, if it is already decided.
    pub final_outcome: Option<Outcome>,
    /// Whether its processors are throttled.
    pub throttled: bool,
    /// Phase.
    pub phase: Phase,
    /// For which tasks it may be preempted.
    pub preemption: Preemption,
    /// Number of the attempt.
    pub attempt: u32,
    /// Number of the last operation.
    pub serial: u32,
    /// Worker, or [`NONE`].
    pub worker: Key,
    /// Worker to choose only if there is no other, or [`NONE`].
    pub avoided: Key,
    /// Task for which it is being preempted, or [`NONE`].
    pub preemptor: u32,
    /// Number of tasks being preempted for it that haven't released their resources.
    pub pending_victims: u32,
    /// Size declared by its team.
    pub declared: Size,
    /// Size to reserve for it, as estimated for its kind.
    pub size: Size,
    /// Resources that it holds on its worker now.
    pub held: Size,
    /// Position in its team's queue; rises with each submitted job.
    pub queue_position: u64,
    /// When the last operation was sent.
    pub sent_at: Instant,
    /// When the lease ends.
    pub lease_until: Instant,
    /// When its start was confirmed.
    pub started: Option<Instant>,
    /// Whether it has been counted as a success of its worker.
    pub counted_success: bool,
    /// Number of the job's attempts that were lost with their worker, or whose lease expired, since one
    /// counted as a success.
    pub lost_attempts: u32,
    /// When its timer expires.
    pub due: Option<Instant>,
}

impl Task {
    /// Operation whose answer the current phase waits for.
    pub fn verb(&self) -> Option<Verb> {
        match self.phase {
            Phase::Starting => Some(Verb::Start),
            Phase::Running => Some(Verb::Renew),
            Phase::Throttling | Phase::Restoring => Some(Verb::Throttle),
            Phase::Checkpointing => Some(Verb::Checkpoint),
            Phase::Stopping | Phase::Expired => Some(Verb::Stop),
            Phase::Queued | Phase::Reserved => None,
        }
    }

    /// Processor limit that the current phase requests.
    pub fn limit_millicores(&self) -> u32 {
        match self.phase {
            Phase::Throttling => self.size.millicores * THROTTLED_PERCENT / 100,
            _ => self.size.millicores,
        }
    }

    /// Whether the start is overdue and the job may be started a second time.
    pub fn start_overdue(&self, now: Instant) -> bool {
        self.phase == Phase::Starting
            && self.priority == Priority::Urgent
            && self.repeatable
            && self.attempt == 0
            && self.final_outcome.is_none()
            && now + LEASE >= self.lease_until + START_TIMEOUT
    }

    /// Resources that it holds once a preemption in progress has completed.
    pub fn held_after_preemption(&self) -> Size {
        match self.phase {
            Phase::Throttling => Size { millicores: self.limit_millicores(), ..self.held },
            Phase::Checkpointing | Phase::Stopping => Size::default(),
            _ => self.held,
        }
    }

    /// Whether it runs and isn't being preempted.
    pub fn is_undisturbed(&self) -> bool {
        self.phase == Phase::Running && self.preemptor == NONE
    }
}
