//! Estimated memory of the jobs that the owner keeps.
//!
//! A short submission may ask for thousands of tasks, each of which has a state in memory. A new owner takes
//! over all accepted jobs, so the limit on them is the same on VMs of different sizes.

use {
    super::job::State,
    crate::job::spec::{self, Spec, Step},
    indexmap::IndexMap,
    std::mem::size_of,
};

/// Memory of a job without its specification and tasks, in bytes.
const JOB_BYTES: usize = 1 << 10;

/// Estimated memory of each job.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    bytes: IndexMap<spec::Id, usize>,
    total_bytes: usize,
    refusals: u64,
}

impl Sizes {
    /// Estimated memory of a job that has not ended, in bytes.
    pub fn estimate(spec: &Spec) -> usize {
        let times = spec.schedule.map_or(1, |schedule| schedule.times as usize);
        let tasks: usize = spec.steps.iter().map(|step| step.tasks as usize).sum();
        let steps: usize = spec.steps.iter().map(step_bytes).sum();
        let states = tasks.saturating_mul(times).saturating_mul(size_of::<State>());
        states.saturating_add(steps + spec.text.len() + JOB_BYTES)
    }

    /// Whether another job may be accepted while all may use `max` bytes; counts it if not.
    pub fn admits(&mut self, bytes: usize, max: usize) -> bool {
        let admits = self.total_bytes.saturating_add(bytes) <= max;
        self.refusals += u64::from(!admits);
        admits
    }

    /// Records the memory of a job.
    pub fn set(&mut self, id: spec::Id, bytes: usize) {
        let before = self.bytes.insert(id, bytes).unwrap_or_default();
        self.total_bytes = self.total_bytes - before + bytes;
    }

    /// Records that only a job's outcome is kept.
    pub fn shrink(&mut self, id: spec::Id) {
        self.set(id, JOB_BYTES);
    }

    /// Records that a job is not kept any more.
    pub fn remove(&mut self, id: spec::Id) {
        self.total_bytes -= self.bytes.swap_remove(&id).unwrap_or_default();
    }

    /// Number of jobs that were not admitted.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Estimated memory of all jobs, in bytes.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }
}

/// Estimated memory of a step's specification.
fn step_bytes(step: &Step) -> usize {
    let texts = step.label.len() + step.data_rack.len() + step.image.len();
    size_of::<Step>() + texts + size_of_val(step.after.as_slice())
}
