//! Simulated platform with delays, lost answers and lost requests, for tests of the scheduler.
//!
//! At every start it counts an overcommit if the tasks on the worker use more than the worker has.

#![allow(dead_code, reason = "each test uses a part")]

use {
    carobhitch::{
        fleet::{Team, Vm},
        id::{OperationId, VmId},
        job::{Job, JobId, Priority, Size},
        place::{Action, Answer, Event, Outcome, Scheduler, Verb},
        platform::{Progress, Usage},
    },
    indexmap::IndexMap,
    proptest::test_runner::{Config as ProptestConfig, RngSeed},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time between two periodic calls of the scheduler.
pub const TICK: Duration = Duration::from_millis(200);
pub const GIB: u64 = 1 << 30;

/// How an action is delivered.
#[derive(Clone, Copy)]
pub enum Delivery {
    /// It takes effect and is answered after this time.
    After(Duration),
    /// It takes effect after this time, but the answer is lost.
    AnswerLost(Duration),
    /// The request is lost and has no effect.
    Lost,
}

/// Message on its way.
enum Message {
    /// An action reaches the platform; the flag is whether it is answered.
    Effect(Action, bool),
    /// An answer reaches the scheduler.
    Answer(Action, Answer),
    /// An attempt ends on its worker.
    End(JobId, u32, Progress),
    /// The report of an end reaches the scheduler.
    Ended(JobId, u32, Progress),
}

/// Returns how long a job runs on a worker and how it ends.
type Run = dyn FnMut(&str, &str) -> (Duration, Progress);

/// Simulated platform together with the scheduler under test.
pub struct Fake {
    pub now: Instant,
    pub scheduler: Scheduler,
    /// Number of starts of each job that took effect.
    pub starts: IndexMap<JobId, u32>,
    /// When the scheduler reported the first start of each job.
    pub started: IndexMap<JobId, Instant>,
    /// Outcomes of the jobs that left the scheduler.
    pub outcomes: IndexMap<JobId, Outcome>,
    /// All actions that the scheduler returned.
    pub actions: Vec<Action>,
    /// Workers in the order in which they were quarantined.
    pub quarantined: Vec<VmId>,
    /// Number of starts after which a worker's tasks used more than the worker has.
    pub overcommits: u32,
    /// Time between the end of an attempt and its report.
    pub report_delay: Duration,
    running: IndexMap<(JobId, u32), (VmId, Size)>,
    /// Operations carried out, so that a repeated one has no further effect.
    known: IndexMap<OperationId, Progress>,
    inbox: BTreeMap<(Instant, u64), Message>,
    sequence: u64,
    sizes: IndexMap<JobId, Size>,
    delivery: Box<dyn FnMut(&Action) -> Delivery>,
    run: Box<Run>,
}

impl Fake {
    /// `delivery` decides how each action is delivered, `run` how long a job runs on a worker and
    /// how it ends.
    pub fn new(
        delivery: impl FnMut(&Action) -> Delivery + 'static,
        run: impl FnMut(&str, &str) -> (Duration, Progress) + 'static,
    ) -> Self {
        Self {
            now: Instant::now(),
            scheduler: Scheduler::default(),
            starts: IndexMap::new(),
            started: IndexMap::new(),
            outcomes: IndexMap::new(),
            actions: Vec::new(),
            quarantined: Vec::new(),
            overcommits: 0,
            report_delay: Duration::from_secs(1),
            running: IndexMap::new(),
            known: IndexMap::new(),
            inbox: BTreeMap::new(),
            sequence: 0,
            sizes: IndexMap::new(),
            delivery: Box::new(delivery),
            run: Box::new(run),
        }
    }

    /// Changes how actions are delivered from now on.
    pub fn set_delivery(&mut self, delivery: impl FnMut(&Action) -> Delivery + 'static) {
        self.delivery = Box::new(delivery);
    }

    pub fn submit(&mut self, job: &Job) {
        self.sizes.insert(job.id.clone(), job.size);
        self.scheduler.submit(self.now, job);
    }

    pub fn cancel(&mut self, jobs: &[JobId]) -> Vec<Action> {
        let actions = self.scheduler.cancel(self.now, jobs);
        self.carry_out(actions.clone());
        actions
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of a job's attempts that run now.
    pub fn copies(&self, job: &str) -> usize {
        self.running.keys().filter(|(id, _)| id == job).count()
    }

    /// Usage reports of the running tasks.
    pub fn reports(&self) -> Vec<Usage> {
        let report = |((job, attempt), (worker, size)): (&(JobId, u32), &(VmId, Size))| Usage {
            task: format!("{job}.{attempt}"),
            worker: worker.clone(),
            millicores: u64::from(size.millicores / 2),
            memory_bytes: size.memory_bytes,
            ended: None,
        };
        self.running.iter().map(report).collect()
    }

    /// Passes the usage reports to the scheduler.
    pub fn report(&mut self) {
        let reports = self.reports();
        let actions = self.scheduler.usage(self.now, &reports);
        self.carry_out(actions);
    }

    /// Declares a worker dead.
    pub fn kill(&mut self, worker: &VmId) {
        self.running.retain(|_, (found, _)| found != worker);
        let actions = self.scheduler.worker_dead(self.now, worker);
        self.carry_out(actions);
    }

    /// Advances the time, delivers due messages and calls the scheduler periodically.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            while let Some(entry) = self.inbox.first_entry().filter(|e| e.key().0 <= self.now) {
                let message = entry.remove();
                self.deliver(message);
            }
            let actions = self.scheduler.tick(self.now);
            self.carry_out(actions);
        }
    }

    fn deliver(&mut self, message: Message) {
        let actions = match message {
            Message::Effect(action, answered) => return self.effect(action, answered),
            Message::Answer(action, answer) => self.scheduler.answer(self.now, &action, answer),
            Message::End(job, attempt, how) => {
                if self.running.swap_remove(&(job.clone(), attempt)).is_some() {
                    self.post(self.report_delay, Message::Ended(job, attempt, how));
                }
                return;
            }
            Message::Ended(job, attempt, how) => self.scheduler.ended(self.now, &job, attempt, how),
        };
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.actions.push(action.clone());
            match (self.delivery)(&action) {
                Delivery::After(delay) => self.post(delay, Message::Effect(action, true)),
                Delivery::AnswerLost(delay) => self.post(delay, Message::Effect(action, false)),
                Delivery::Lost => {}
            }
        }
        for event in self.scheduler.events() {
            match event {
                Event::Started(job) => {
                    self.started.entry(job).or_insert(self.now);
                }
                Event::Finished(job, outcome) => {
                    assert!(self.outcomes.insert(job, outcome).is_none(), "a job left twice");
                }
                Event::Quarantined(worker) => self.quarantined.push(worker),
                Event::Readmitted(_) => {}
            }
        }
    }

    fn effect(&mut self, action: Action, answered: bool) {
        let answer = match (self.known.get(&action.operation()), action.read) {
            (Some(progress), _) => Answer::Known(*progress),
            (None, true) => Answer::Unknown,
            (None, false) => Answer::Known(self.execute(&action)),
        };
        if answered {
            self.post(Duration::ZERO, Message::Answer(action, answer));
        }
    }

    fn execute(&mut self, action: &Action) -> Progress {
        let key = (action.job.clone(), action.attempt);
        let progress = match action.verb {
            Verb::Start => {
                self.begin(action);
                Progress::Done
            }
            Verb::Stop => {
                self.running.swap_remove(&key);
                Progress::Done
            }
            Verb::Throttle => match self.running.get_mut(&key) {
                Some((_, size)) => {
                    size.millicores = action.millicores;
                    Progress::Done
                }
                None => Progress::Failed,
            },
            Verb::Checkpoint | Verb::Renew if self.running.contains_key(&key) => Progress::Done,
            Verb::Checkpoint | Verb::Renew => Progress::Failed,
        };
        self.known.insert(action.operation(), progress);
        progress
    }

    fn begin(&mut self, action: &Action) {
        *self.starts.entry(action.job.clone()).or_insert(0) += 1;
        let mut size = self.sizes[&action.job];
        size.millicores = action.millicores;
        let key = (action.job.clone(), action.attempt);
        self.running.insert(key, (action.worker.clone(), size));
        let workers = self.scheduler.workers();
        let total = workers.iter().find(|w| w.vm == action.worker).map(|w| w.total);
        let here = self.running.values().filter(|(worker, _)| *worker == action.worker);
        let used = here.fold(Size::default(), |sum, (_, size)| sum.plus(size));
        if !total.is_some_and(|total| total.holds(&used)) {
            self.overcommits += 1;
        }
        let (time, how) = (self.run)(&action.job, &action.worker);
        self.post(time, Message::End(action.job.clone(), action.attempt, how));
    }

    fn post(&mut self, delay: Duration, message: Message) {
        self.sequence += 1;
        self.inbox.insert((self.now + delay, self.sequence), message);
    }
}

pub fn size(millicores: u32, gib: u64) -> Size {
    Size { millicores, accelerators: 0, memory_bytes: gib * GIB }
}

pub fn vm(pool: &str, zone: usize, rack: usize) -> Vm {
    Vm {
        pool: pool.into(),
        zone: format!("zone-{zone}"),
        rack: format!("rack-{zone}-{rack}"),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

/// Adds workers of 16 cores and 64 GiB, four to a rack, over three zones.
pub fn add_workers(scheduler: &mut Scheduler, pool: &str, count: usize) {
    for i in 0..count {
        scheduler.add_worker(&format!("w{i}"), &vm(pool, i % 3, i / 12), size(16_000, 64));
    }
}

pub fn teams(quotas: &[(&str, u64)]) -> IndexMap<String, Team> {
    let team = |quota| Team { quota_millicores: quota, ..Team::default() };
    quotas.iter().map(|(id, quota)| ((*id).into(), team(*quota))).collect()
}

pub fn job(id: &str, team: &str, size: Size, priority: Priority) -> Job {
    Job {
        id: id.into(),
        kind: "kind".into(),
        team: team.into(),
        pool: "pool".into(),
        size,
        run_time: Duration::from_secs(600),
        priority,
        repeatable: true,
    }
}

/// Configuration of a property test with a fixed seed.
pub fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}
