//! Stand-ins for the platform of the job plane: its store, its runners and its list of VMs.
//!
//! They serve the platform's published protocol and keep its guarantees: the store fences producers and
//! checks conditional appends; runners keep fencing tokens, leases and lists of ended runs. A
//! [`Checker`] that all runners share records each invariant that the system under test violates.

pub mod runner;
pub mod store;
pub mod vms;

use {
    crate::server::lock,
    indexmap::{IndexMap, IndexSet},
    std::sync::{Arc, Mutex},
};

/// Number of runners that a task may crash.
const MAX_CRASHES: usize = 5;

/// Records the tasks that the runners start and end, and checks the invariants: a task runs on one
/// runner at a time, isn't started again once it is done, and fits the runner; and the tasks of an
/// organisation stay within its limit.
#[derive(Clone, Debug, Default)]
pub struct Checker(Arc<Mutex<Observations>>);

#[derive(Debug, Default)]
struct Observations {
    running: IndexMap<String, IndexSet<String>>,
    done: IndexSet<String>,
    starts: usize,
    crashes: IndexMap<String, usize>,
    violations: Vec<String>,
    limit: Option<Limit>,
}

/// Limit of an organisation.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Tasks that may run at once.
    pub tasks: usize,
    /// Whether a task belongs to the organisation.
    pub applies: fn(&str) -> bool,
}

impl Checker {
    /// Checks this limit from now on.
    pub fn set_limit(&self, limit: Limit) {
        lock(&self.0).limit = Some(limit);
    }

    /// Records that a runner has started a task.
    pub fn started(&self, task: &str, runner: &str) {
        let mut observed = lock(&self.0);
        observed.starts += 1;
        if observed.done.contains(task) {
            observed.violations.push(format!("{task} was started on {runner} after it was done"));
        }
        let hosts = observed.running.entry(String::from(task)).or_default();
        let others: Vec<String> = hosts.iter().filter(|other| *other != runner).cloned().collect();
        hosts.insert(String::from(runner));
        if !others.is_empty() {
            observed.violations.push(format!("{task} runs on {runner} and on {others:?}"));
        }
        if let Some(limit) = observed.limit.filter(|limit| (limit.applies)(task)) {
            let runs = |(task, hosts): &(&String, &IndexSet<String>)| {
                !hosts.is_empty() && (limit.applies)(task)
            };
            let count = observed.running.iter().filter(runs).count();
            if count > limit.tasks {
                observed.violations.push(format!("{task} is number {count} of its organisation"));
            }
        }
    }

    /// Records that a task has ended on a runner.
    pub fn ended(&self, task: &str, runner: &str, done: bool) {
        let mut observed = lock(&self.0);
        if let Some(hosts) = observed.running.get_mut(task) {
            hosts.swap_remove(runner);
        }
        if done {
            observed.done.insert(String::from(task));
        }
    }

    /// Records that a task has crashed the runner that started it.
    pub fn crashed(&self, task: &str) {
        let mut observed = lock(&self.0);
        let crashes = observed.crashes.entry(String::from(task)).or_default();
        *crashes += 1;
        if *crashes > MAX_CRASHES {
            let violation = format!("{task} has crashed {crashes} runners");
            observed.violations.push(violation);
        }
    }

    /// Records that a runner has restarted: it forgets what it ran, and what it has `reported` as done
    /// without a confirmation.
    pub fn restarted(&self, runner: &str, reported: &[String]) {
        let mut observed = lock(&self.0);
        observed.running.values_mut().for_each(|hosts| {
            hosts.swap_remove(runner);
        });
        observed.done.retain(|task| !reported.contains(task));
    }

    /// Records a violated invariant.
    pub fn violation(&self, description: String) {
        lock(&self.0).violations.push(description);
    }

    /// Descriptions of the violations so far.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.0).violations.clone()
    }

    /// Number of tasks that were done.
    pub fn done(&self) -> usize {
        lock(&self.0).done.len()
    }

    /// Number of starts that runners have carried out.
    pub fn starts(&self) -> usize {
        lock(&self.0).starts
    }
}
