//! A cell with a ledger and runners that live in memory, on a clock that the test moves.
//!
//! The runners keep leases, fences and lists of ends as the platform's do, and check what they are
//! told: room, fences, and one run of a task at a time.

#![allow(dead_code, clippy::unwrap_used)]

use {
    carobhitch::job::{
        answer::Answer,
        cell::{Action, Cell, RunnerId, Tickets},
        ledger::{self, Content, Record},
        manifest::{Manifest, Queue, Service},
        runner::{self, End, Exit, Poll, Registration, Rejection, Report, Running, Start},
        settings::Bounds,
        spec::{Resources, Spec, Step, Task},
        upkeep::{self, State, Vm},
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Thousandths of a core that a runner has.
pub const MILLICORES: u32 = 16_000;
/// Time between two steps of the world.
pub const STEP: Duration = Duration::from_millis(20);
/// Time after which a call without an answer is given up.
pub const TIMEOUT: Duration = Duration::from_millis(700);

/// A runner of the world.
#[derive(Clone, Debug, Default)]
pub struct Life {
    pub service: String,
    pub vm: String,
    pub born: u64,
    pub fence: u64,
    pub running: IndexMap<Task, Run>,
    pub ended: Vec<End>,
    pub highest: IndexMap<Task, u32>,
    pub lease: Duration,
    pub used: u32,
    /// Failure domains that it is in.
    pub zone: String,
    pub rack: String,
    pub silent: bool,
    /// Calls are not carried out, and found out to be so only after [`TIMEOUT`].
    pub cut: bool,
    pub loses_answers: bool,
    pub starts: usize,
    pub ends: u64,
}

/// A run on a runner.
#[derive(Clone, Debug)]
pub struct Run {
    pub number: u32,
    pub millicores: u32,
    pub begun: Duration,
    pub endless: bool,
}

/// A cell and all around it.
pub struct World {
    pub cell: Cell,
    pub origin: Instant,
    pub now: Duration,
    pub ledger: IndexMap<String, Vec<u8>>,
    pub store_away: bool,
    pub lives: IndexMap<String, Life>,
    pub vms: IndexMap<String, Vm>,
    pub answers: IndexMap<u64, Answer>,
    pub sent: Vec<Action>,
    pub done: Vec<Task>,
    pub pending: Option<Vec<Record>>,
    /// Calls that get no answer, and when their time is over.
    pub unheard: Vec<(Duration, Action)>,
    pub run_time: Duration,
    pub fails: bool,
    /// Tail latency that endless tasks report, in milliseconds.
    pub tail_ms: u64,
    /// Whether actions on VMs are carried out without an answer, and the list of VMs lags.
    pub mute_vms: bool,
    /// Time after which a VM that was acted on has its new runner; it gets none if this is not set.
    pub move_time: Option<Duration>,
    /// Runners that the advisor names, and how long its tickets are valid; queues have none if this is
    /// not set.
    pub allowed: Vec<String>,
    /// Milliseconds by which the time of day is ahead.
    pub jump_ms: i64,
    /// VMs that will have a new runner, and when.
    moving: Vec<(Duration, String)>,
    next_life: u64,
    next_request: u64,
    epoch: u64,
}

pub fn manifest(version: u64) -> Manifest {
    let service = |name: &str, spare| Service { name: name.into(), guards: false, spare };
    let queue = |name: &str, service: &str| Queue {
        name: name.into(),
        host: "desk.example".into(),
        prefix: format!("/{name}/"),
        service: service.into(),
        attempts: 2,
        stretch: 1.6,
        slack: Duration::from_millis(600),
        ..Queue::default()
    };
    Manifest {
        version,
        queues: vec![queue("quotes", "desk"), queue("checks", "other")],
        services: vec![service("desk", false), service("other", false), service("spare", true)],
        body_bytes: 1 << 18,
    }
}

pub fn step(tasks: u32, millicores: u32) -> Step {
    let need = Resources { millicores, memory_mib: 100, accelerators: 0 };
    Step { tasks, need, estimate: Duration::from_secs(1), ..Step::default() }
}

pub fn spec(steps: Vec<Step>) -> Spec {
    Spec { text: "work".into(), steps, schedule: None }
}

impl World {
    /// World with `runners` runners of the service `desk`, and a manifest in force.
    pub fn new(runners: usize) -> Self {
        let origin = Instant::now();
        let mut world = Self {
            cell: Cell::new(1, Bounds::default(), origin),
            origin,
            now: Duration::from_secs(100),
            ledger: IndexMap::new(),
            store_away: false,
            lives: IndexMap::new(),
            vms: IndexMap::new(),
            answers: IndexMap::new(),
            sent: Vec::new(),
            done: Vec::new(),
            pending: None,
            unheard: Vec::new(),
            run_time: Duration::from_secs(1),
            fails: false,
            tail_ms: 0,
            mute_vms: false,
            move_time: None,
            allowed: Vec::new(),
            jump_ms: 0,
            moving: Vec::new(),
            next_life: 1,
            next_request: 0,
            epoch: 1,
        };
        world.cell = Cell::new(1, Bounds::default(), world.at());
        world.cell.declare(manifest(1));
        for number in 0..runners {
            world.add(&format!("r{number}"), "desk", &format!("m{number}"), 1);
        }
        world.run(Duration::from_millis(200));
        world
    }

    pub fn at(&self) -> Instant {
        self.origin + self.now
    }

    pub fn entry(&self, id: &str) -> Registration {
        let life = &self.lives[id];
        Registration {
            service: life.service.clone(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: life.zone.clone(),
            vm: life.vm.clone(),
            incarnation: Some(life.born),
            draining: false,
            room: Resources { millicores: MILLICORES, memory_mib: 64_000, accelerators: 0 },
            labels: vec!["a".into(), life.rack.clone()],
            rack: life.rack.clone(),
            sequence: 1,
        }
    }

    /// Adds a runner, and its VM.
    pub fn add(&mut self, id: &str, service: &str, vm: &str, born: u64) {
        self.add_in("z", id, service, vm, born);
    }

    /// Adds a runner in an availability zone, and its VM.
    pub fn add_in(&mut self, zone: &str, id: &str, service: &str, vm: &str, born: u64) {
        let zone = String::from(zone);
        let life = Life { service: service.into(), zone, vm: vm.into(), born, ..Life::default() };
        self.lives.insert(id.into(), life);
        let entry = self.entry(id);
        let now = self.at();
        self.cell.list(now, id, Some(entry));
        let listed = Vm {
            id: vm.into(),
            pool: service.into(),
            state: State::Up,
            zone: self.lives[id].zone.clone(),
            labels: Vec::new(),
            runner: Some(id.into()),
        };
        self.vms.insert(vm.into(), listed);
    }

    pub fn add_spare(&mut self, vm: &str) {
        let listed = Vm {
            id: vm.into(),
            pool: "spare".into(),
            state: State::Up,
            zone: "z".into(),
            labels: Vec::new(),
            runner: None,
        };
        self.vms.insert(vm.into(), listed);
    }

    /// Tells the cell what the platform lists as VMs.
    pub fn list_vms(&mut self) {
        let vms = self.vms.values().cloned().collect();
        let now = self.at();
        self.cell.list_vms(now, vms);
    }

    fn request(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    pub fn submit(&mut self, id: u64, spec: Spec) -> u64 {
        self.submit_to("quotes", id, spec)
    }

    pub fn submit_to(&mut self, queue: &str, id: u64, spec: Spec) -> u64 {
        let (request, now) = (self.request(), self.at());
        self.cell.submit(now, self.wall_ms(), request, queue, id, spec);
        request
    }

    /// Time of day in milliseconds.
    pub fn wall_ms(&self) -> u64 {
        (1_000_000 + self.now.as_millis() as i64 + self.jump_ms) as u64
    }

    pub fn ask(&mut self, id: u64) -> u64 {
        let request = self.request();
        self.cell.ask(request, id);
        request
    }

    pub fn count(&mut self) -> u64 {
        let (request, now) = (self.request(), self.at());
        self.cell.count(now, request, "quotes");
        request
    }

    pub fn cancel(&mut self, id: u64) -> u64 {
        let (request, now) = (self.request(), self.at());
        self.cell.cancel(now, request, id);
        request
    }

    /// Starts a new owner that knows nothing but the ledger and the list of runners.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.pending = None;
        let now = self.at();
        let mut cell = Cell::new(self.epoch, Bounds::default(), now);
        let mut contents: Vec<Content> = self
            .ledger
            .iter()
            .filter(|(_, value)| !value.is_empty())
            .map(|(key, value)| Record { key: key.clone(), value: value.clone() })
            .map(|record| ledger::read(&record).unwrap())
            .collect();
        contents.sort_by_key(|content| match content {
            Content::Accepted(..) => 1,
            Content::Progress(..) => 2,
            _ => 0,
        });
        for content in contents {
            cell.restore(now, self.wall_ms(), content);
        }
        for id in self.lives.keys() {
            cell.list(now, id, Some(self.entry(id)));
        }
        self.cell = cell;
    }

    /// Lets `time` pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.advance_runners();
            self.arrive();
            self.give_up_calls();
            let now = self.at();
            self.cell.set_wall(now, self.wall_ms());
            self.cell.tick(now);
            for _ in 0..4 {
                self.commit();
                self.carry_out();
                self.cell.settle(now);
            }
        }
    }

    /// Has the ledger store what waits, unless it is away.
    pub fn commit(&mut self) {
        if self.pending.is_none() {
            let now = self.at();
            self.pending = self.cell.next_batch(now).map(|batch| batch.records);
        }
        if self.store_away {
            return;
        }
        if let Some(records) = self.pending.take() {
            self.ledger.extend(records.into_iter().map(|record| (record.key, record.value)));
            let now = self.at();
            self.cell.committed(now);
        }
    }

    fn advance_runners(&mut self) {
        let (now, run_time, fails) = (self.now, self.run_time, self.fails);
        for life in self.lives.values_mut() {
            let lapsed = life.lease <= now;
            let ends: Vec<Task> = life
                .running
                .iter()
                .filter(|(_, run)| lapsed || run_time + run.begun <= now && !run.endless)
                .map(|(task, _)| *task)
                .collect();
            for task in ends {
                let how = match (lapsed, fails) {
                    (true, _) => Exit::Stopped,
                    (false, true) => Exit::Failed,
                    (false, false) => Exit::Done,
                };
                life.end(task, how);
                if how == Exit::Done {
                    assert!(!self.done.contains(&task), "{task} was done twice");
                    self.done.push(task);
                }
            }
        }
    }

    /// Carries out the cell's actions and answers them.
    pub fn carry_out(&mut self) {
        for action in self.cell.take_actions() {
            self.sent.push(action.clone());
            if self.is_cut(&action) {
                self.unheard.push((self.now + TIMEOUT, action));
                continue;
            }
            let now = self.at();
            match action {
                Action::Answer(request, answer) => {
                    self.answers.insert(request, answer);
                }
                Action::Start(id, start) => {
                    let answer = self.start(&id, &start);
                    self.cell.start_answered(now, &id, start.task, start.run, answer);
                }
                Action::Stop(id, task, run) => {
                    let answer = self.stop(&id, task, run);
                    self.cell.stop_answered(now, &id, task, run, answer);
                }
                Action::Look(id, hold) => {
                    let answer = self.look(&id, &hold);
                    self.cell.look_answered(now, &id, hold.acknowledged, answer);
                }
                Action::Advise(step, asked) => {
                    let may =
                        |id: &&RunnerId| self.allowed.iter().any(|allowed| **allowed == ***id);
                    let good = asked.iter().filter(may);
                    let ticket = |id: &RunnerId| (id.to_string(), format!("ticket of {step}"));
                    let answer = Ok(Tickets { given: good.map(ticket).collect(), valid: None });
                    self.cell.advised(now, &step, &asked, answer);
                }
                Action::Vm(action) => self.act(&action),
                Action::Pace(..) | Action::Report(..) => {}
            }
        }
    }

    fn is_cut(&self, action: &Action) -> bool {
        let (Action::Start(id, ..) | Action::Stop(id, ..) | Action::Look(id, ..)) = action else {
            return false;
        };
        self.lives.get(&**id).is_some_and(|life| life.cut)
    }

    /// Tells the cell of calls whose time is over.
    fn give_up_calls(&mut self) {
        let due: Vec<Action> =
            self.unheard.extract_if(.., |(at, _)| *at <= self.now).map(|(_, a)| a).collect();
        let (now, why) = (self.at(), || String::from("no answer"));
        for action in due {
            match action {
                Action::Start(id, start) => {
                    let answer = runner::Answer::Unknown(why());
                    self.cell.start_answered(now, &id, start.task, start.run, answer);
                }
                Action::Stop(id, task, run) => {
                    let answer = runner::Answer::Unknown(why());
                    self.cell.stop_answered(now, &id, task, run, answer);
                }
                Action::Look(id, hold) => {
                    let answer = runner::Answer::Unknown(why());
                    self.cell.look_answered(now, &id, hold.acknowledged, answer);
                }
                _ => {}
            }
        }
    }

    fn act(&mut self, action: &upkeep::Action) {
        if self.mute_vms {
            let runner = self.vms[action.vm()].runner.clone();
            let life = runner.and_then(|id| self.lives.get_mut(&id));
            life.into_iter().for_each(|life| life.silent = true);
            return;
        }
        let vm = self.vms.get_mut(action.vm()).unwrap();
        match action {
            upkeep::Action::Move { pool, .. } => {
                vm.pool = pool.clone();
                vm.state = State::Moving;
            }
            upkeep::Action::Upkeep { .. } => vm.state = State::Upkeep,
        }
        if let Some(id) = vm.runner.take() {
            let life = self.lives.swap_remove(&id).unwrap();
            assert!(life.running.is_empty(), "an action ended {:?}", life.running.keys());
        }
        if let Some(time) = self.move_time {
            self.moving.push((self.now + time, action.vm().into()));
        }
        let now = self.at();
        self.cell.acted(now, action, Ok(()));
    }

    /// Gives VMs that have moved their new runners; those of the spare pool are off.
    fn arrive(&mut self) {
        let due: Vec<String> =
            self.moving.extract_if(.., |(at, _)| *at <= self.now).map(|(_, vm)| vm).collect();
        for vm in due {
            let pool = self.vms[&vm].pool.clone();
            self.vms[&vm].state = State::Up;
            if pool != "spare" {
                self.next_life += 1;
                self.add(&format!("{vm}-{}", self.next_life), &pool, &vm, self.next_life);
            }
        }
    }

    fn start(&mut self, id: &str, start: &Start) -> runner::Answer<u64> {
        let clock_ms = self.now.as_millis() as u64;
        let step = self.cell.jobs()[&start.task.job].step(&start.task).unwrap().clone();
        let running_elsewhere = self
            .lives
            .values()
            .any(|life| life.running.contains_key(&start.task) && life.lease > self.now);
        let now = self.now;
        let Some(life) = self.lives.get_mut(id) else {
            return runner::Answer::Unknown("gone".into());
        };
        if life.silent {
            return runner::Answer::Unknown("silent".into());
        }
        if start.fence < life.fence {
            return runner::Answer::Rejected(Rejection::Fence);
        }
        life.fence = start.fence;
        life.lease = life.lease.max(Duration::from_millis(start.until_ms));
        let highest = life.highest.get(&start.task).copied().unwrap_or_default();
        if highest >= start.run {
            return runner::Answer::Rejected(Rejection::Old);
        }
        assert!(!running_elsewhere, "{} runs twice", start.task);
        assert!(!self.done.contains(&start.task), "{} was done before", start.task);
        life.used += step.reserved().millicores;
        assert!(life.used <= MILLICORES, "{id} has no room for {}", start.task);
        life.starts += 1;
        let (number, millicores) = (start.run, step.reserved().millicores);
        let run = Run { number, millicores, begun: now, endless: step.endless };
        life.running.insert(start.task, run);
        life.highest.insert(start.task, start.run);
        if life.loses_answers {
            return runner::Answer::Unknown("lost".into());
        }
        runner::Answer::Done(clock_ms)
    }

    fn stop(&mut self, id: &str, task: Task, run: u32) -> runner::Answer<u64> {
        let clock_ms = self.now.as_millis() as u64;
        let Some(life) = self.lives.get_mut(id).filter(|life| !life.silent) else {
            return runner::Answer::Unknown("silent".into());
        };
        let highest = life.highest.entry(task).or_default();
        *highest = run.max(*highest);
        if life.running.get(&task).is_some_and(|r| r.number <= run) {
            life.end(task, Exit::Stopped);
        }
        runner::Answer::Done(clock_ms)
    }

    fn look(&mut self, id: &str, hold: &Poll) -> runner::Answer<Report> {
        let (clock_ms, tail_ms) = (self.now.as_millis() as u64, self.tail_ms);
        let Some(life) = self.lives.get_mut(id).filter(|life| !life.silent) else {
            return runner::Answer::Unknown("silent".into());
        };
        if hold.fence < life.fence {
            return runner::Answer::Rejected(Rejection::Fence);
        }
        life.fence = hold.fence;
        if let Some(until_ms) = hold.until_ms {
            life.lease = life.lease.max(Duration::from_millis(until_ms));
        }
        life.ended.retain(|end| end.number > hold.acknowledged);
        let running = life.running.iter().map(|(task, run)| Running {
            task: *task,
            run: run.number,
            checkpoint: String::new(),
            percent: 100,
            usage: tail_ms,
        });
        runner::Answer::Done(Report {
            clock_ms,
            incarnation: Some(life.born),
            running: running.collect(),
            ended: life.ended.clone(),
        })
    }

    /// Runs of a task that runners have, with the runner of each.
    pub fn runs(&self, task: Task) -> Vec<String> {
        let has =
            |(id, life): (&String, &Life)| life.running.contains_key(&task).then(|| id.clone());
        self.lives.iter().filter_map(has).collect()
    }
}

impl Life {
    fn end(&mut self, task: Task, how: Exit) {
        let Some(run) = self.running.swap_remove(&task) else { return };
        self.used -= run.millicores;
        self.ends += 1;
        let (number, run) = (self.ends, run.number);
        self.ended.push(End { number, task, run, exit: how, checkpoint: String::new() });
    }
}
