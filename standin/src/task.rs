//! Tasks that the platform's workers run under leases.
//!
//! A task uses as much processor time as its behavior says, or its limit if its behavior says nothing.
//! A task whose lease expires has failed.

use {
    carobhitch::{
        id::OperationId,
        platform::{Operation, Progress, Task, Usage},
    },
    indexmap::IndexMap,
    serde::Deserialize,
    std::time::Duration,
};

/// Simulated behavior of a task, set by the control server.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Behavior {
    /// Processor use in thousandths of a core, capped by the task's limit; none means the limit.
    pub millicores: Option<u64>,
    /// Memory use in bytes.
    pub memory_bytes: u64,
    /// How the task ended; none while it runs.
    pub ended: Option<Progress>,
}

/// Action on a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Starts the task.
    Start,
    /// Stores the task's progress; it has no effect in this stand-in.
    Checkpoint,
    /// Changes the task's processor limit.
    Throttle,
    /// Ends the task.
    Stop,
    /// Extends the task's lease.
    Renew,
}

impl Verb {
    /// Parses the last segment of a path.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "start" => Some(Self::Start),
            "checkpoint" => Some(Self::Checkpoint),
            "throttle" => Some(Self::Throttle),
            "stop" => Some(Self::Stop),
            "renew" => Some(Self::Renew),
            _ => None,
        }
    }
}

#[derive(Debug)]
struct Run {
    task: Task,
    lease_until: Duration,
    ended: Option<Progress>,
}

/// Tasks by name; times are since the Unix epoch.
#[derive(Debug, Default)]
pub struct Tasks {
    runs: IndexMap<String, Run>,
    behaviors: IndexMap<String, Behavior>,
    operations: IndexMap<OperationId, Progress>,
}

impl Tasks {
    /// Applies an action to a task. Idempotent: a repeated operation id returns the first result.
    pub fn apply(&mut self, now: Duration, name: &str, verb: Verb, task: Task) -> Operation {
        let operation = task.operation.clone();
        if let Some(progress) = self.operations.get(&operation) {
            return Operation { operation, progress: *progress };
        }
        self.expire_leases(now);
        let succeeded = match verb {
            Verb::Start => self.start(now, name, task),
            _ => self.change(now, name, verb, &task),
        };
        let progress = if succeeded { Progress::Done } else { Progress::Failed };
        self.operations.insert(operation.clone(), progress);
        Operation { operation, progress }
    }

    fn start(&mut self, now: Duration, name: &str, task: Task) -> bool {
        if self.runs.get(name).is_some_and(|r| r.ended.is_none()) {
            return false;
        }
        let lease_until = now + Duration::from_millis(task.lease_ms);
        let ended = self.behaviors.get(name).and_then(|b| b.ended);
        self.runs.insert(String::from(name), Run { task, lease_until, ended });
        true
    }

    fn change(&mut self, now: Duration, name: &str, verb: Verb, task: &Task) -> bool {
        let Some(run) = self.runs.get_mut(name).filter(|r| r.ended.is_none()) else {
            return false;
        };
        match verb {
            Verb::Stop => run.ended = Some(Progress::Done),
            Verb::Throttle => run.task.millicores = task.millicores,
            Verb::Renew => run.lease_until = now + Duration::from_millis(task.lease_ms),
            Verb::Start | Verb::Checkpoint => (),
        }
        true
    }

    /// Sets how a task behaves, now and each time it is started.
    pub fn set_behavior(&mut self, name: &str, behavior: Behavior) {
        if let Some(run) = self.runs.get_mut(name).filter(|r| r.ended.is_none()) {
            run.ended = behavior.ended;
        }
        self.behaviors.insert(String::from(name), behavior);
    }

    /// Result of an operation, if it was applied.
    pub fn operation(&self, operation: &OperationId) -> Option<Operation> {
        let progress = *self.operations.get(operation)?;
        Some(Operation { operation: operation.clone(), progress })
    }

    /// Current usage of every task.
    pub fn usage(&mut self, now: Duration) -> Vec<Usage> {
        self.expire_leases(now);
        self.runs.iter().map(|(name, run)| self.usage_of(name, run)).collect()
    }

    fn usage_of(&self, name: &str, run: &Run) -> Usage {
        let behavior = self.behaviors.get(name).copied().unwrap_or_default();
        let used = behavior.millicores.unwrap_or(run.task.millicores);
        let millicores = if run.ended.is_none() { used.min(run.task.millicores) } else { 0 };
        Usage {
            task: String::from(name),
            worker: run.task.worker.clone(),
            millicores,
            memory_bytes: behavior.memory_bytes,
            ended: run.ended,
        }
    }

    /// Marks running tasks whose lease has expired as failed.
    fn expire_leases(&mut self, now: Duration) {
        let expired = |run: &&mut Run| run.ended.is_none() && run.lease_until <= now;
        self.runs.values_mut().filter(expired).for_each(|run| run.ended = Some(Progress::Failed));
    }
}
