//! Specification of a submitted job: steps, each of which consists of a number of like tasks.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Name of a submitted job, chosen by its caller.
pub type Id = u64;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 256;
/// Maximum number of tasks of a step.
const MAX_TASKS: u32 = 10_000;
/// Maximum number of tasks of all steps and occurrences, because their progress is stored in one
/// record.
const MAX_ALL_TASKS: u64 = 6_000;
/// Longest text that describes the work, in bytes.
const MAX_TEXT_BYTES: usize = 4_000;

/// Result of checking a specification.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a job can't be accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// a job has 1 to 256 steps, this one {0}
    Steps(usize),
    /// a job has 1 to 256 steps, this one more
    ManySteps,
    /// step {0} has {1} tasks: must be 1 to 10000
    Tasks(usize, u32),
    /// step {0} depends on step {1}, which is not before it
    Order(usize, u16),
    /// the text has {0} bytes, at most 4000 are allowed
    Text(usize),
    /// the job has {0} tasks in all, at most 6000 are run
    Large(u64),
    /// {0}
    Malformed(String),
}

impl std::error::Error for Error {}

/// A submitted job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Text that is passed to each task unchanged.
    pub text: String,
    /// Steps, in the submitted order.
    pub steps: Vec<Step>,
    /// Times at which the steps run; if none, they run once as soon as possible.
    pub schedule: Option<Schedule>,
}

/// Occurrences of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// First occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

impl Schedule {
    /// Time of an occurrence, in milliseconds since the Unix epoch.
    pub fn at_ms(&self, occurrence: u64) -> u64 {
        self.first_ms.saturating_add(self.interval_ms.saturating_mul(occurrence))
    }
}

/// A step: a number of like tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs on a runner.
    pub need: Resources,
    /// Rough estimate of a task's run time.
    pub estimate: Duration,
    /// Steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether a task can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks make progress only while all of them run (gang scheduling).
    pub gang: bool,
    /// Whether the tasks run slower if they are spread over several racks.
    pub same_rack: bool,
    /// Label that a runner must have, or empty.
    pub label: String,
    /// Rack where the data is, or empty.
    pub data_rack: String,
    /// Maximum number of tasks of this step on one runner; 0 means no limit.
    pub per_runner: u32,
    /// Whether duplicates of a task may run in parallel.
    pub duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    pub endless: bool,
    /// Name of the program; tasks of one image use similar resources.
    pub image: String,
    /// Latency objective towards the users of an endless task; 0 means none.
    pub latency_target: Duration,
    /// Whether the tasks are best-effort and use only processor time that others leave.
    pub filler: bool,
    /// Maximum number of tasks that may be unavailable at once through our own actions.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

/// Resources of a runner, or needed on one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether `other` fits into these resources.
    pub fn holds(&self, other: &Self) -> bool {
        self.millicores >= other.millicores
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    /// How many times `need` fits into these resources.
    pub fn count(&self, need: &Self) -> usize {
        let dimensions = [
            (self.millicores, need.millicores),
            (self.memory_mib, need.memory_mib),
            (self.accelerators, need.accelerators),
        ];
        let fits = dimensions.into_iter().filter_map(|(have, each)| have.checked_div(each));
        fits.min().unwrap_or(u32::MAX) as usize
    }

    /// Sum of two amounts.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// These resources less `other`; each dimension is at least 0.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl Step {
    /// Whether a task takes processors of a runner.
    pub fn needs_cores(&self) -> bool {
        self.reserved().millicores > 0
    }

    /// Resources that placement reserves for a task. It reserves no processors for a filler, which
    /// uses only processor time that is left over.
    pub fn reserved(&self) -> Resources {
        let millicores = if self.filler { 0 } else { self.need.millicores };
        Resources { millicores, ..self.need }
    }
}

impl Spec {
    /// Checks the number of steps and tasks, the length of the text, and that steps depend only on
    /// earlier ones.
    pub fn check(&self) -> Result<()> {
        if self.text.len() > MAX_TEXT_BYTES {
            return Err(Error::Text(self.text.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::Steps(self.steps.len()));
        }
        self.steps.iter().enumerate().try_for_each(|(number, step)| step.check(number))?;
        let times = self.schedule.map_or(1, |schedule| u64::from(schedule.times));
        let tasks = self.steps.iter().map(|step| u64::from(step.tasks)).sum::<u64>() * times;
        if tasks > MAX_ALL_TASKS { Err(Error::Large(tasks)) } else { Ok(()) }
    }

    /// Whether the tasks run until the job is cancelled.
    pub fn endless(&self) -> bool {
        self.steps.iter().any(|step| step.endless)
    }

    /// Estimated time of the critical path: the longest chain of dependent steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|&a| ends.get(usize::from(a))).max();
            ends.push(before.copied().unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Estimated work of all tasks, in core-seconds.
    pub fn work(&self) -> f64 {
        self.steps.iter().map(Step::work).sum()
    }
}

impl Step {
    fn check(&self, number: usize) -> Result<()> {
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(Error::Tasks(number, self.tasks));
        }
        if let Some(&late) = self.after.iter().find(|&&before| usize::from(before) >= number) {
            return Err(Error::Order(number, late));
        }
        Ok(())
    }

    fn work(&self) -> f64 {
        f64::from(self.tasks) * self.cores() * self.estimate.as_secs_f64()
    }

    /// Cores that a task needs.
    pub fn cores(&self) -> f64 {
        f64::from(self.need.millicores) / 1_000.0
    }
}

/// One task of an occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Job.
    pub job: Id,
    /// Occurrence, counted from 0.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u16,
    /// Index in its step.
    pub index: u16,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}
