//! Tasks that the platform's workers run under leases.
//!
//! A task uses what it was last told to use, or its limit if it was told nothing. One whose lease
//! lapses has failed.

use {
    carobhitch::{
        id::OperationId,
        platform::{Operation, Progress, Task, Usage},
    },
    indexmap::IndexMap,
    serde::Deserialize,
    std::time::Duration,
};

/// What a task is made to do, whatever its limit.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Behavior {
    /// Processor use in thousandths of a core, if not throttled below it.
    pub millicores: Option<u64>,
    /// Memory use.
    pub memory_bytes: u64,
    /// How it ended.
    pub ended: Option<Progress>,
}

/// What is asked of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Begin to run.
    Start,
    /// Keep its progress.
    Checkpoint,
    /// Change its processor limit.
    Throttle,
    /// End.
    Stop,
    /// Lengthen its lease.
    Renew,
}

impl Verb {
    /// Verb of the last segment of a path.
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

/// Tasks by name; times count from the Unix epoch.
#[derive(Debug, Default)]
pub struct Tasks {
    runs: IndexMap<String, Run>,
    behaviors: IndexMap<String, Behavior>,
    operations: IndexMap<OperationId, Progress>,
}

impl Tasks {
    /// Does what is asked, once for each operation.
    pub fn act(&mut self, now: Duration, name: &str, verb: Verb, task: Task) -> Operation {
        let operation = task.operation.clone();
        if let Some(progress) = self.operations.get(&operation) {
            return Operation { operation, progress: *progress };
        }
        self.tick(now);
        let done = match verb {
            Verb::Start => self.start(now, name, task),
            _ => self.change(now, name, verb, &task),
        };
        let progress = if done { Progress::Done } else { Progress::Failed };
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

    /// Makes a task behave in some way.
    pub fn behave(&mut self, name: &str, behavior: Behavior) {
        if let Some(run) = self.runs.get_mut(name).filter(|r| r.ended.is_none()) {
            run.ended = behavior.ended;
        }
        self.behaviors.insert(String::from(name), behavior);
    }

    /// An operation that was done.
    pub fn operation(&self, operation: &OperationId) -> Option<Operation> {
        let progress = *self.operations.get(operation)?;
        Some(Operation { operation: operation.clone(), progress })
    }

    /// Usage of every task.
    pub fn usage(&mut self, now: Duration) -> Vec<Usage> {
        self.tick(now);
        self.runs.iter().map(|(name, run)| self.measure(name, run)).collect()
    }

    fn measure(&self, name: &str, run: &Run) -> Usage {
        let behavior = self.behaviors.get(name).copied().unwrap_or_default();
        let wanted = behavior.millicores.unwrap_or(run.task.millicores);
        let millicores = if run.ended.is_none() { wanted.min(run.task.millicores) } else { 0 };
        Usage {
            task: String::from(name),
            worker: run.task.worker.clone(),
            millicores,
            memory_bytes: behavior.memory_bytes,
            ended: run.ended,
        }
    }

    fn tick(&mut self, now: Duration) {
        let lapsed = |run: &&mut Run| run.ended.is_none() && run.lease_until <= now;
        self.runs.values_mut().filter(lapsed).for_each(|run| run.ended = Some(Progress::Failed));
    }
}
