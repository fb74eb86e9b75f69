//! Stand-ins of the users' platform: its store, its runners and its list of VMs.
//!
//! They speak the platform's published protocol and keep its promises: the store fences writers and
//! checks conditions, runners keep fences, leases and lists of ends. A [`Judge`] that all runners
//! share notes every broken promise of the system under test.

pub mod machines;
pub mod runner;
pub mod store;

use {
    crate::server::lock,
    indexmap::{IndexMap, IndexSet},
    std::sync::{Arc, Mutex},
};

/// What the runners have seen, and what was wrong in it.
#[derive(Clone, Debug, Default)]
pub struct Judge(Arc<Mutex<Seen>>);

#[derive(Debug, Default)]
struct Seen {
    running: IndexMap<String, IndexSet<String>>,
    done: IndexSet<String>,
    starts: usize,
    broken: Vec<String>,
}

impl Judge {
    /// A runner has begun a task.
    pub fn begun(&self, task: &str, runner: &str) {
        let mut seen = lock(&self.0);
        seen.starts += 1;
        if seen.done.contains(task) {
            seen.broken.push(format!("{task} was started on {runner} after it was done"));
        }
        let on = seen.running.entry(String::from(task)).or_default();
        let others: Vec<String> = on.iter().filter(|other| *other != runner).cloned().collect();
        on.insert(String::from(runner));
        if !others.is_empty() {
            seen.broken.push(format!("{task} runs on {runner} and on {others:?}"));
        }
    }

    /// A task has ended on a runner.
    pub fn ended(&self, task: &str, runner: &str, done: bool) {
        let mut seen = lock(&self.0);
        if let Some(on) = seen.running.get_mut(task) {
            on.swap_remove(runner);
        }
        if done {
            seen.done.insert(String::from(task));
        }
    }

    /// Notes a broken promise.
    pub fn broken(&self, what: String) {
        lock(&self.0).broken.push(what);
    }

    /// Broken promises so far.
    pub fn findings(&self) -> Vec<String> {
        lock(&self.0).broken.clone()
    }

    /// Tasks that were done.
    pub fn done(&self) -> usize {
        lock(&self.0).done.len()
    }

    /// Starts that runners have carried out.
    pub fn starts(&self) -> usize {
        lock(&self.0).starts
    }
}
