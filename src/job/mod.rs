//! Jobs: specifications, placement on workers or runners, and stored progress.
//!
//! [`cell`] contains the decisions of a cell's owner about submitted jobs; [`daemon`] connects them
//! to callers, runners and the platform. [`place`] schedules jobs of teams on workers, with quotas,
//! learned resource estimates and fault diagnosis.

pub mod access;
pub mod answer;
pub mod attempt;
pub mod call;
pub mod cell;
pub mod claim;
pub mod clock;
pub mod daemon;
pub mod diagnose;
pub mod extension;
pub mod handover;
pub mod latency;
pub mod learn;
pub mod ledger;
pub mod manifest;
pub mod place;
pub mod quota;
pub mod replies;
pub mod route;
pub mod runner;
pub mod settings;
pub mod spec;
pub mod suspicion;
pub mod upkeep;

use {
    crate::id::{PoolId, TeamId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Name of a job.
pub type JobId = String;
/// Name of a kind of job. Jobs of one kind use similar resources and are spread over racks and
/// zones.
pub type KindId = String;

/// Priority of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Starts within seconds even on a full fleet, if its team is within its quota.
    Urgent,
    /// Starts when there is room.
    Normal,
    /// Comes after all other jobs and is preempted before them.
    Low,
}

/// Amounts of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Size {
    /// Thousandths of a core.
    pub millicores: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Memory.
    pub memory_bytes: u64,
}

impl Size {
    /// Whether `need` fits into this size.
    pub fn holds(&self, need: &Self) -> bool {
        self.millicores >= need.millicores
            && self.accelerators >= need.accelerators
            && self.memory_bytes >= need.memory_bytes
    }

    /// Sum of two sizes.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            accelerators: self.accelerators.saturating_add(other.accelerators),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
        }
    }

    /// The larger of two sizes in each dimension.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            accelerators: self.accelerators.max(other.accelerators),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
        }
    }

    /// The smaller of two sizes in each dimension.
    pub fn min(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            accelerators: self.accelerators.min(other.accelerators),
            memory_bytes: self.memory_bytes.min(other.memory_bytes),
        }
    }

    /// This size less `other`; each dimension is at least 0.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
        }
    }
}

/// A job as declared by its team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Name.
    pub id: JobId,
    /// Kind.
    pub kind: KindId,
    /// Team that submitted it.
    pub team: TeamId,
    /// Pool whose workers run it.
    pub pool: PoolId,
    /// Declared size, which may be far from the actual use.
    pub size: Size,
    /// Declared run time, which may be far from the actual one.
    pub run_time: Duration,
    /// Priority.
    pub priority: Priority,
    /// Whether it may run again after a run whose outcome isn't known.
    pub repeatable: bool,
}
