//! One attempt at running a job, and what the platform is asked to do with it.

use {
    super::{index::Key, roster::Class},
    crate::{
        id::{OperationId, VmId},
        job::{JobId, Priority, Size},
        platform::Progress,
    },
    std::time::{Duration, Instant},
};

/// Time for which a worker may run a task without renewal.
pub const LEASE: Duration = Duration::from_secs(300);
/// Part of the lease after which it is renewed.
pub const RENEWALS_PER_LEASE: u32 = 3;
/// Time without answer after which an operation's state is read.
pub const READ_AFTER: Duration = Duration::from_millis(750);
/// Time after which a request that was sent can take effect no more.
pub const IN_FLIGHT: Duration = Duration::from_secs(10);
/// Time without answer after which a repeatable urgent job is started elsewhere, once.
pub const START_WAIT: Duration = Duration::from_millis(1_500);
/// Time for a throttle to take effect before a checkpoint is asked.
pub const THROTTLE_WAIT: Duration = Duration::from_millis(400);
/// Time for a checkpoint before the task is stopped without one.
pub const CHECKPOINT_WAIT: Duration = Duration::from_secs(1);
/// Time after which urgent work looks for another worker.
pub const RECLAIM_WAIT: Duration = Duration::from_secs(2);
/// Run time after which a task shows that its worker is sound.
pub const PROVEN_AFTER: Duration = Duration::from_secs(60);
/// Part of its processors that a throttled task keeps, in hundredths.
pub const THROTTLED_PERCENT: u32 = 10;
/// Stands for no worker and for no task.
pub const NONE: u32 = u32::MAX;

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for room.
    Queued,
    /// Has a worker, waits for other tasks to give way.
    Reserved,
    /// Start asked.
    Starting,
    /// Runs under its lease.
    Running,
    /// Throttle asked, to give way.
    Throttling,
    /// Full speed asked again.
    Restoring,
    /// Checkpoint asked, to give way.
    Checkpointing,
    /// Stop asked.
    Stopping,
    /// Lease ran out; the worker may still run it.
    Lapsed,
}

/// What the platform is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Start under a lease.
    Start,
    /// Renew the lease.
    Renew,
    /// Limit the processors.
    Throttle,
    /// Save the progress.
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
    /// Attempt at the job.
    pub attempt: u32,
    /// Number of the operation in the attempt.
    pub serial: u32,
    /// What is asked.
    pub verb: Verb,
    /// Whether only the operation's state is read, because its answer is overdue.
    pub read: bool,
    /// Worker.
    pub worker: VmId,
    /// Processor limit in thousandths of a core.
    pub millicores: u32,
    /// Lease time from now.
    pub lease: Duration,
}

impl Action {
    /// Name of the task in the platform's protocol.
    pub fn task(&self) -> String {
        format!("{}.{}", self.job, self.attempt)
    }

    /// Name that makes the operation idempotent; the worker is no part of it, so that two
    /// controllers that start one attempt start it once.
    pub fn operation(&self) -> OperationId {
        format!("{}.{}.{}.{}", self.job, self.attempt, self.serial, self.verb.name())
    }
}

/// What the platform said of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It knows the operation.
    Known(Progress),
    /// It never began the operation.
    Unknown,
}

/// How a job left the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Ran to its end.
    Done,
    /// Ran and failed, and is not tried again.
    Failed,
    /// Cancelled by its team.
    Cancelled,
    /// Fails wherever it is tried.
    Impossible,
    /// May have run; not tried again since it is not repeatable.
    Unknown,
}

/// Something that the teams or the operators want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A job started.
    Started(JobId),
    /// A job left the scheduler.
    Left(JobId, Outcome),
    /// A worker fails whatever it starts and was closed.
    SetAside(VmId),
    /// A worker that was set aside takes work again.
    Reopened(VmId),
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
    /// Whether the job may run again after a run of unknown end.
    pub repeatable: bool,
    /// How the job leaves once this attempt has ended, if that is settled.
    pub settled: Option<Outcome>,
    /// Whether it runs throttled.
    pub throttled: bool,
    /// How far it is.
    pub phase: Phase,
    /// How its size may be reclaimed.
    pub class: Class,
    /// Number of the attempt.
    pub attempt: u32,
    /// Operations asked so far.
    pub serial: u32,
    /// Worker, or none.
    pub worker: Key,
    /// Worker that is tried last, or none.
    pub shunned: Key,
    /// Task for which it gives way, or none.
    pub claimant: u32,
    /// Tasks that still have to give way for it.
    pub waiting: u32,
    /// Size declared by its team.
    pub declared: Size,
    /// Size reserved for it.
    pub size: Size,
    /// Of this, held now.
    pub held: Size,
    /// Place in its team's queue.
    pub order: u64,
    /// When the last operation was asked.
    pub asked: Instant,
    /// When the lease ends.
    pub lease_until: Instant,
    /// When it was known to run.
    pub started: Option<Instant>,
    /// Whether it ran long enough to count for its worker.
    pub proven: bool,
    /// When it is looked at again.
    pub due: Option<Instant>,
}

impl Task {
    /// Operation that the present phase waits for.
    pub fn verb(&self) -> Option<Verb> {
        match self.phase {
            Phase::Starting => Some(Verb::Start),
            Phase::Running => Some(Verb::Renew),
            Phase::Throttling | Phase::Restoring => Some(Verb::Throttle),
            Phase::Checkpointing => Some(Verb::Checkpoint),
            Phase::Stopping | Phase::Lapsed => Some(Verb::Stop),
            Phase::Queued | Phase::Reserved => None,
        }
    }

    /// Processor limit that the present phase asks for.
    pub fn limit_millicores(&self) -> u32 {
        match self.phase {
            Phase::Throttling => self.size.millicores * THROTTLED_PERCENT / 100,
            _ => self.size.millicores,
        }
    }

    /// Whether the start is overdue and a second one elsewhere does no harm.
    pub fn start_overdue(&self, now: Instant) -> bool {
        self.phase == Phase::Starting
            && self.priority == Priority::Urgent
            && self.repeatable
            && self.attempt == 0
            && self.settled.is_none()
            && now + LEASE >= self.lease_until + START_WAIT
    }

    /// What it holds once it has given way, if it was asked to.
    pub fn held_soon(&self) -> Size {
        match self.phase {
            Phase::Throttling => Size { millicores: self.limit_millicores(), ..self.held },
            Phase::Checkpointing | Phase::Stopping => Size::default(),
            _ => self.held,
        }
    }

    /// Whether it runs and gives way to nobody.
    pub fn settled_in(&self) -> bool {
        self.phase == Phase::Running && self.claimant == NONE
    }
}
