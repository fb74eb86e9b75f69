//! Simulation of a cell with its ledger, runners, VMs and advisor in memory, on a clock that the
//! test advances.
//!
//! The simulated runners keep leases, fences and lists of ends as the platform's do. They assert
//! that no task runs twice at a time or after it was done, and that no runner gets more than it has
//! room for.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

mod crash;
mod vms;

use {
    carobhitch::job::{
        answer::Answer,
        cell::{Action, Cell, CrashEvent, NoAdvice, RunnerId, Status, Submission, Tickets},
        ledger::Record,
        manifest::{Manifest, Queue, Service},
        runner::{self, End, Exit, Poll, Registration, Rejection, Report, Running, Start},
        settings::Bounds,
        spec::{Resources, Spec, Step, Task},
        upkeep::{self, Request, State, Vm},
    },
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Thousandths of a core that a runner has.
pub const MILLICORES: u32 = 16_000;
/// Time between two steps of the simulation.
pub const STEP: Duration = Duration::from_millis(20);
/// Time after which an unanswered call is reported to the cell.
pub const TIMEOUT: Duration = Duration::from_millis(700);
/// The same for orders that are carried out late, while other calls are answered at once.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(160);

/// A simulated runner.
#[derive(Clone, Debug, Default)]
pub struct Runner {
    pub service: String,
    pub vm: String,
    pub incarnation: u64,
    /// When its incarnation began, which is when its clock shows zero.
    pub born_at: Duration,
    pub fence: u64,
    pub running: IndexMap<Task, Run>,
    /// Ends that the cell has not acknowledged yet.
    pub ended: Vec<End>,
    /// Highest run of each task that was started or stopped on it.
    pub last_runs: IndexMap<Task, u32>,
    /// End of its lease, on the clock of the simulation.
    pub lease: Duration,
    /// Thousandths of a core that its tasks take.
    pub used: u32,
    /// Thousandths of a core by which its room has shrunk.
    pub shrunk_by: u32,
    /// Availability zone.
    pub zone: String,
    /// Rack, which is one of its labels.
    pub rack: String,
    /// Time after which it carries out polls, whose answers are then lost.
    pub poll_delay: Option<Duration>,
    /// Whether it has crashed and not restarted yet: calls to it time out.
    pub crashed: bool,
    /// When it crashed last.
    pub crashed_at: Duration,
    /// Whether calls to it fail at once.
    pub unresponsive: bool,
    /// Whether calls to it are not carried out and time out after [`TIMEOUT`].
    pub partitioned: bool,
    /// Whether its answers to starts are lost.
    pub loses_answers: bool,
    /// Time after which it carries out starts and stops, which it then leaves without an answer.
    pub order_delay: Option<Duration>,
    /// Whether starts to it are lost.
    pub loses_starts: bool,
    pub starts: usize,
    pub end_count: u64,
}

/// A run on a runner.
#[derive(Clone, Debug)]
pub struct Run {
    pub number: u32,
    pub millicores: u32,
    pub begun: Duration,
    pub endless: bool,
}

/// A cell and everything that it communicates with.
pub struct Simulation {
    pub cell: Cell,
    pub bounds: Bounds,
    /// Instant at which the clock of the simulation shows zero.
    pub origin: Instant,
    pub now: Duration,
    pub ledger: IndexMap<String, Vec<u8>>,
    /// Whether the ledger stores nothing, and the log accepts no heartbeats.
    pub store_down: bool,
    pub runners: IndexMap<String, Runner>,
    pub vms: IndexMap<String, Vm>,
    /// Runners whose registrations a new owner does not read.
    pub unregistered: IndexSet<String>,
    /// VMs that the platform's list leaves out.
    pub unlisted_vms: IndexSet<String>,
    /// Whether the platform refuses all actions on VMs for now.
    pub vm_actions_down: bool,
    /// Waves that the operators have ordered with [`Simulation::order_wave`].
    pub waves: IndexMap<u64, Request>,
    /// When each wave was ordered.
    ordered_at: IndexMap<u64, Duration>,
    /// When each VM was added, and whether a list has shown it to the present owner since.
    added: IndexMap<String, (Duration, bool)>,
    /// Whether each wave was last reported as complete.
    pub wave_reports: IndexMap<u64, bool>,
    pub answers: IndexMap<u64, Answer>,
    /// All actions of the cell so far.
    pub actions: Vec<Action>,
    /// What the owners have learned of runners so far.
    pub events: Vec<CrashEvent>,
    /// Tasks that are done, in the order of their ends.
    pub done: Vec<Task>,
    /// Number of failed runs of each task.
    pub failures: IndexMap<Task, u32>,
    pub pending_batch: Option<Vec<Record>>,
    /// Share of the orders to all runners that are carried out 2 to 12 s late and without an answer.
    pub late_share: f64,
    random: SmallRng,
    /// Orders that are carried out late, and when.
    pub late_orders: Vec<(Duration, Action)>,
    /// Whether answers to polls arrive one step late, after those to orders that were sent later.
    pub overtaken_polls: bool,
    /// Answers to polls that are still to arrive.
    held_answers: Vec<(RunnerId, Poll, runner::Answer<Report>)>,
    /// Whether runners hold an answer to a poll back until a run ends, for as long as the poll asks for.
    pub long_polls: bool,
    /// Polls whose answers are held back: until when, and by which incarnation.
    waiting_polls: Vec<(Duration, u64, RunnerId, Poll)>,
    /// Calls that get no answer, and when they time out.
    pub unanswered: Vec<(Duration, Action)>,
    /// Run time of finite tasks.
    pub run_time: Duration,
    /// Whether runs fail at their end.
    pub runs_fail: bool,
    /// Tail latency that endless tasks report, in milliseconds.
    pub tail_ms: u64,
    /// Whether actions on VMs are carried out without an answer and without a change in the list of
    /// VMs.
    pub vm_answers_lost: bool,
    /// VMs for which the platform refuses all actions as impossible.
    pub refused_vms: IndexSet<String>,
    /// Whether the platform answers for a VM that it does not have as for one that is busy.
    pub missing_vms_busy: bool,
    /// VMs for which the platform refuses all actions as they are busy.
    pub busy_vms: IndexSet<String>,
    /// Time after which actions on VMs are answered, if not at once. A call that gets no answer in
    /// [`TIMEOUT`] is reported to the cell as unanswered.
    pub vm_answer_delay: Duration,
    /// Answers to actions on VMs, and when they arrive.
    vm_answers: Vec<(Duration, upkeep::Action, Result<(), upkeep::Refusal>)>,
    /// VMs of each wave whose maintenance was carried out.
    maintained: IndexSet<(u64, String)>,
    /// Wave of the last maintenance of each VM.
    upkeep_waves: IndexMap<String, u64>,
    /// Time after an action on a VM until its new runner registers; it gets none if this is not
    /// set.
    pub move_time: Option<Duration>,
    /// Runners for which the advisor gives tickets.
    pub advised_runners: Vec<String>,
    /// Jobs whose starts every runner finds malformed, and about which the advisor answers nothing.
    pub malformed_jobs: IndexSet<u64>,
    /// Milliseconds by which the time of day has jumped ahead; negative if it has jumped back.
    pub clock_jump_ms: i64,
    /// Runners that crash.
    pub crashes: crash::Crashes,
    /// VMs that will get a new runner, and when.
    moving: Vec<(Duration, String)>,
    next_incarnation: u64,
    next_request: u64,
    epoch: u64,
    /// Highest fencing token that no other owner can have.
    newest_fence: u64,
}

/// Manifest with the queue `quotes` of the service `desk`, the queue `checks` of the service
/// `other`, and a spare pool.
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
        access: None,
    }
}

/// Step with an estimated run time of 1 s.
pub fn step(tasks: u32, millicores: u32) -> Step {
    let need = Resources { millicores, memory_mib: 100, accelerators: 0 };
    Step { tasks, need, estimate: Duration::from_secs(1), ..Step::default() }
}

pub fn spec(steps: Vec<Step>) -> Spec {
    Spec { text: "work".into(), steps, schedule: None }
}

impl Simulation {
    /// Simulation with `runners` runners of the service `desk`, and a manifest in force.
    pub fn new(runners: usize) -> Self {
        Self::with_bounds(runners, Bounds::default())
    }

    /// The same with other bounds.
    pub fn with_bounds(runners: usize, bounds: Bounds) -> Self {
        let origin = Instant::now();
        let mut sim = Self {
            cell: Cell::new(1, bounds, origin),
            bounds,
            origin,
            now: Duration::from_secs(100),
            ledger: IndexMap::new(),
            store_down: false,
            runners: IndexMap::new(),
            vms: IndexMap::new(),
            unregistered: IndexSet::new(),
            unlisted_vms: IndexSet::new(),
            vm_actions_down: false,
            waves: IndexMap::new(),
            ordered_at: IndexMap::new(),
            added: IndexMap::new(),
            wave_reports: IndexMap::new(),
            answers: IndexMap::new(),
            actions: Vec::new(),
            events: Vec::new(),
            done: Vec::new(),
            failures: IndexMap::new(),
            pending_batch: None,
            late_share: 0.0,
            random: SmallRng::seed_from_u64(1),
            late_orders: Vec::new(),
            overtaken_polls: false,
            held_answers: Vec::new(),
            long_polls: false,
            waiting_polls: Vec::new(),
            unanswered: Vec::new(),
            run_time: Duration::from_secs(1),
            runs_fail: false,
            tail_ms: 0,
            vm_answers_lost: false,
            refused_vms: IndexSet::new(),
            missing_vms_busy: false,
            busy_vms: IndexSet::new(),
            vm_answer_delay: Duration::ZERO,
            vm_answers: Vec::new(),
            maintained: IndexSet::new(),
            upkeep_waves: IndexMap::new(),
            move_time: None,
            advised_runners: Vec::new(),
            malformed_jobs: IndexSet::new(),
            clock_jump_ms: 0,
            crashes: crash::Crashes::default(),
            moving: Vec::new(),
            next_incarnation: 1,
            next_request: 0,
            epoch: 1,
            newest_fence: 1,
        };
        sim.cell = Cell::new(1, bounds, sim.instant());
        sim.cell.update_manifest(manifest(1));
        for number in 0..runners {
            let id = format!("r{number}");
            sim.add_runner(&id, "desk", &format!("m{number}"), 1);
            sim.runners[&id].born_at = Duration::ZERO;
        }
        sim.run(Duration::from_millis(200));
        sim
    }

    /// Current time as it is passed to the cell.
    pub fn instant(&self) -> Instant {
        self.origin + self.now
    }

    pub fn registration(&self, id: &str) -> Registration {
        let runner = &self.runners[id];
        Registration {
            service: runner.service.clone(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: runner.zone.clone(),
            vm: runner.vm.clone(),
            incarnation: Some(runner.incarnation),
            draining: false,
            room: Resources {
                millicores: MILLICORES - runner.shrunk_by,
                memory_mib: 64_000,
                accelerators: 0,
            },
            labels: vec!["a".into(), runner.rack.clone()],
            rack: runner.rack.clone(),
            sequence: 1,
        }
    }

    /// Adds a runner and its VM.
    pub fn add_runner(&mut self, id: &str, service: &str, vm: &str, incarnation: u64) {
        self.add_runner_in("z", id, service, vm, incarnation);
    }

    /// Adds a runner in an availability zone and its VM.
    pub fn add_runner_in(
        &mut self,
        zone: &str,
        id: &str,
        service: &str,
        vm: &str,
        incarnation: u64,
    ) {
        let zone = String::from(zone);
        let runner = Runner {
            service: service.into(),
            zone,
            vm: vm.into(),
            incarnation,
            born_at: self.now,
            ..Runner::default()
        };
        self.runners.insert(id.into(), runner);
        let registration = self.registration(id);
        let now = self.instant();
        self.cell.update_registration(now, id, Some(registration));
        let listed = Vm {
            id: vm.into(),
            pool: service.into(),
            state: State::Up,
            zone: self.runners[id].zone.clone(),
            labels: Vec::new(),
            runner: Some(id.into()),
        };
        self.vms.insert(vm.into(), listed);
        self.added.entry(vm.into()).or_insert((self.now, false));
    }

    /// Changes by how much the room of a runner has shrunk, and lists that.
    pub fn shrink(&mut self, id: &str, shrunk_by: u32) {
        self.runners[id].shrunk_by = shrunk_by;
        let (now, registration) = (self.instant(), self.registration(id));
        self.cell.update_registration(now, id, Some(registration));
    }

    /// Removes a runner. Successes that it lists and that were not acknowledged are lost.
    pub fn remove_runner(&mut self, id: &str) {
        if let Some(runner) = self.runners.swap_remove(id) {
            self.done.retain(|task| !runner.has_ended(task));
        }
    }

    fn request(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    /// Submits a job to the queue `quotes`; returns the request, as do the other calls of a caller.
    pub fn submit(&mut self, id: u64, spec: Spec) -> u64 {
        self.submit_to("quotes", id, spec)
    }

    pub fn submit_to(&mut self, queue: &str, id: u64, spec: Spec) -> u64 {
        self.submit_as(None, queue, id, spec)
    }

    /// Submits a job of an organisation.
    pub fn submit_as(
        &mut self,
        organisation: Option<&str>,
        queue: &str,
        id: u64,
        spec: Spec,
    ) -> u64 {
        let (request, now) = (self.request(), self.instant());
        let (queue, organisation) = (queue.into(), organisation.map(Into::into));
        let at_ms = self.wall_ms();
        let submission = Submission { request, queue, organisation, id, spec, at_ms };
        self.cell.submit(now, submission);
        request
    }

    /// Time of day in milliseconds.
    pub fn wall_ms(&self) -> u64 {
        (1_000_000 + self.now.as_millis() as i64 + self.clock_jump_ms) as u64
    }

    pub fn query(&mut self, id: u64) -> u64 {
        self.query_as(None, id)
    }

    pub fn query_as(&mut self, organisation: Option<&str>, id: u64) -> u64 {
        let request = self.request();
        self.cell.query(request, organisation, id);
        request
    }

    pub fn count_pending(&mut self) -> u64 {
        let (request, now) = (self.request(), self.instant());
        self.cell.count_pending(now, request, "quotes");
        request
    }

    pub fn cancel(&mut self, id: u64) -> u64 {
        self.cancel_as(None, id)
    }

    pub fn cancel_as(&mut self, organisation: Option<&str>, id: u64) -> u64 {
        let (request, now) = (self.request(), self.instant());
        self.cell.cancel(now, request, organisation, id);
        request
    }

    /// Replaces the owner by a new one that is given only the ledger and the list of runners.
    pub fn take_over(&mut self) {
        self.newest_fence += 1;
        self.epoch = self.newest_fence;
        self.pending_batch = None;
        self.unanswered.clear();
        self.held_answers.clear();
        self.waiting_polls.clear();
        self.vm_answers.clear();
        let now = self.instant();
        let mut cell = Cell::new(self.epoch, self.bounds, now);
        let kept = self.ledger.iter().filter(|(_, value)| !value.is_empty());
        let record =
            |(key, value): (&String, &Vec<u8>)| Record { key: key.clone(), value: value.clone() };
        cell.restore_all(now, self.wall_ms(), kept.map(record).collect());
        for id in self.runners.keys().filter(|id| !self.unregistered.contains(*id)) {
            cell.update_registration(now, id, Some(self.registration(id)));
        }
        self.added.values_mut().for_each(|(_, listed)| *listed = false);
        for wave in self.waves.values() {
            cell.add_wave(now, wave.clone());
        }
        self.cell = cell;
    }

    /// Restarts a runner under its name: it knows nothing of before.
    pub fn restart(&mut self, id: &str) {
        self.next_incarnation += 1;
        let Some(runner) = self.runners.get_mut(id) else { return };
        // Successes that it lists and that were not acknowledged are lost.
        self.done.retain(|task| !runner.has_ended(task));
        *runner = Runner {
            service: runner.service.clone(),
            zone: runner.zone.clone(),
            rack: runner.rack.clone(),
            vm: runner.vm.clone(),
            incarnation: runner.incarnation.max(self.next_incarnation) + 1,
            born_at: self.now,
            ..Runner::default()
        };
        self.late_orders.retain(|(_, action)| {
            !matches!(action, Action::Start(to, ..) | Action::Stop(to, ..) if **to == *id)
        });
    }

    /// Lets `time` pass while the owner does nothing.
    pub fn pause_owner(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.advance_runners();
            self.finish_moves();
            self.carry_out_late_orders();
        }
    }

    /// Lets `time` pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.advance_runners();
            self.finish_moves();
            self.carry_out_late_orders();
            self.answer_vm_actions();
            self.time_out_calls();
            let now = self.instant();
            for (id, poll, answer) in std::mem::take(&mut self.held_answers) {
                self.cell.poll_answered(now, &id, poll.acknowledged, answer);
            }
            self.answer_waiting_polls();
            self.cell.set_wall_clock(now, self.wall_ms());
            if !self.store_down {
                self.cell.confirm_ownership(now);
                self.newest_fence += 1;
                self.cell.allow_fence(self.newest_fence);
            }
            self.cell.tick(now);
            for _ in 0..4 {
                self.commit();
                self.carry_out();
                self.cell.handle_changes(now);
            }
            self.check_leases();
            self.events.extend(self.cell.take_crash_events());
            let missing = self.events.contains(&CrashEvent::EndsMissing);
            assert!(!missing, "ends were discarded that the owner has not read");
        }
    }

    /// Checks that no runner holds a longer lease than the owner counts with for the runs that it has
    /// placed there.
    fn check_leases(&self) {
        for (id, runner) in &self.runners {
            let Some(worker) = self.cell.workers().get(id.as_str()) else { continue };
            for (task, run) in &runner.running {
                let state = self.cell.jobs().get(&task.job).and_then(|job| job.task(task));
                let Some(Status::Placed(placement)) = state.map(|state| &state.status) else {
                    continue;
                };
                if *placement.runner != **id || state.map(|state| state.run) != Some(run.number) {
                    continue;
                }
                let lease = &worker.lease;
                let expiry =
                    if placement.confirmed { lease.expiry() } else { lease.latest_expiry() };
                let held = self.origin + runner.lease;
                assert!(held <= expiry, "{id} holds {task} for {:?} longer", held - expiry);
            }
        }
    }

    /// Has the ledger store the next batch, unless the store is down.
    pub fn commit(&mut self) {
        if self.pending_batch.is_none() {
            let now = self.instant();
            self.pending_batch = self.cell.next_batch(now).map(|batch| batch.records);
        }
        if self.store_down {
            return;
        }
        if let Some(records) = self.pending_batch.take() {
            let largest = records.iter().map(Record::stored_bytes).max().unwrap_or_default();
            assert!(largest <= self.bounds.record_bytes, "the ledger rejects {largest} bytes");
            self.ledger.extend(records.into_iter().map(|record| (record.key, record.value)));
            let now = self.instant();
            self.cell.batch_committed(now);
        }
    }

    /// Ends runs whose time is over or whose runner's lease has expired.
    fn advance_runners(&mut self) {
        self.advance_crashes();
        let (now, run_time, runs_fail) = (self.now, self.run_time, self.runs_fail);
        for runner in self.runners.values_mut() {
            let expired = runner.lease <= now;
            let ends: Vec<Task> = runner
                .running
                .iter()
                .filter(|(_, run)| expired || run_time + run.begun <= now && !run.endless)
                .map(|(task, _)| *task)
                .collect();
            if expired {
                // The end of a run counts only if it is acknowledged within the lease.
                self.done.retain(|task| !runner.has_ended(task));
            }
            for task in ends {
                let exit = match (expired, runs_fail) {
                    (true, _) => Exit::Stopped,
                    (false, true) => Exit::Failed,
                    (false, false) => Exit::Done,
                };
                runner.end(task, exit);
                if exit == Exit::Failed {
                    *self.failures.entry(task).or_default() += 1;
                }
                if exit == Exit::Done {
                    assert!(!self.done.contains(&task), "{task} was done twice");
                    self.done.push(task);
                }
            }
        }
    }

    /// Carries out the cell's actions and answers them.
    pub fn carry_out(&mut self) {
        for action in self.cell.take_actions() {
            self.actions.push(action.clone());
            if let Some(delay) = self.order_delay(&action) {
                self.late_orders.push((self.now + delay, action.clone()));
                self.unanswered.push((self.now + ORDER_TIMEOUT, action));
                continue;
            }
            if let Some(timeout) = self.is_lost(&action) {
                self.unanswered.push((self.now + timeout, action));
                continue;
            }
            let now = self.instant();
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
                Action::Poll(id, poll) => {
                    let answer = self.poll(&id, &poll);
                    if self.holds_back(&id, &poll) {
                        let incarnation = self.runners[&*id].incarnation;
                        self.waiting_polls.push((self.now + poll.wait, incarnation, id, poll));
                        continue;
                    }
                    if self.overtaken_polls {
                        self.held_answers.push((id, poll, answer));
                        continue;
                    }
                    self.cell.poll_answered(now, &id, poll.acknowledged, answer);
                }
                Action::AskAdvisor(step, asked) => {
                    let may = |id: &&RunnerId| {
                        self.advised_runners.iter().any(|allowed| **allowed == ***id)
                    };
                    let good = asked.iter().filter(may);
                    let ticket = |id: &RunnerId| (id.to_string(), format!("ticket of {step}"));
                    let answer = match self.malformed_jobs.contains(&step.job) {
                        true => Err(NoAdvice::Rejected("status 400".into())),
                        false => Ok(Tickets { given: good.map(ticket).collect(), valid: None }),
                    };
                    self.cell.advice_answered(now, &step, &asked, answer);
                }
                Action::ChangeVm(action) => self.change_vm(&action),
                Action::ReportWave(number, complete) => self.report_wave(number, complete),
                Action::Pace(..) => {}
            }
        }
    }

    /// Whether a runner holds the answer to a poll back, since none of its runs has ended.
    fn holds_back(&self, id: &str, poll: &Poll) -> bool {
        let runner = self.runners.get(id).filter(|runner| !runner.unresponsive);
        let nothing_ended = runner.is_some_and(|runner| runner.ended.is_empty());
        self.long_polls && nothing_ended && !poll.wait.is_zero()
    }

    /// Answers the polls on whose runners a run has ended or whose time is over. The connection of one
    /// whose runner has restarted meanwhile is broken.
    fn answer_waiting_polls(&mut self) {
        for (until, incarnation, id, poll) in std::mem::take(&mut self.waiting_polls) {
            let now = self.instant();
            let runner = self.runners.get(&*id).filter(|runner| !runner.is_unreachable());
            let Some(runner) = runner.filter(|runner| runner.incarnation == incarnation) else {
                let answer = runner::Answer::Unknown("connection reset".into());
                self.cell.poll_answered(now, &id, poll.acknowledged, answer);
                continue;
            };
            if self.now < until && runner.ended.is_empty() {
                self.waiting_polls.push((until, incarnation, id, poll));
                continue;
            }
            let later = Poll { acknowledged: 0, until_ms: None, ..poll };
            let answer = self.poll(&id, &later);
            self.cell.poll_answered(now, &id, poll.acknowledged, answer);
        }
    }

    /// Time after which a call fails that does not reach its runner.
    fn is_lost(&self, action: &Action) -> Option<Duration> {
        let (Action::Start(id, ..) | Action::Stop(id, ..) | Action::Poll(id, ..)) = action else {
            return None;
        };
        if self.breaks_off(id) {
            return Some(Duration::ZERO);
        }
        let is_start = matches!(action, Action::Start(..));
        self.runners
            .get(&**id)
            .is_some_and(|runner| runner.is_unreachable() || is_start && runner.loses_starts)
            .then_some(TIMEOUT)
    }

    /// Time after which an order is carried out, if its runner leaves it without an answer.
    fn order_delay(&mut self, action: &Action) -> Option<Duration> {
        if let Action::Poll(id, ..) = action {
            return self.runners.get(&**id)?.poll_delay;
        }
        let (Action::Start(id, ..) | Action::Stop(id, ..)) = action else { return None };
        if self.late_share > 0.0 && self.random.random_bool(self.late_share) {
            return Some(Duration::from_millis(self.random.random_range(2_000..12_000)));
        }
        self.runners.get(&**id)?.order_delay
    }

    /// Carries out the orders that are due, whose answers are lost.
    fn carry_out_late_orders(&mut self) {
        let due: Vec<Action> = self
            .late_orders
            .extract_if(.., |(at, _)| *at <= self.now)
            .map(|(_, action)| action)
            .collect();
        for action in due {
            match action {
                Action::Start(id, start) => {
                    self.start(&id, &start);
                }
                Action::Stop(id, task, run) => {
                    self.stop(&id, task, run);
                }
                Action::Poll(id, poll) => {
                    self.poll(&id, &poll);
                }
                _ => {}
            }
        }
    }

    /// Reports calls that have timed out to the cell.
    fn time_out_calls(&mut self) {
        let due: Vec<Action> = self
            .unanswered
            .extract_if(.., |(at, _)| *at <= self.now)
            .map(|(_, action)| action)
            .collect();
        let (now, why) = (self.instant(), || String::from("no answer"));
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
                Action::Poll(id, poll) => {
                    let answer = runner::Answer::Unknown(why());
                    self.cell.poll_answered(now, &id, poll.acknowledged, answer);
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, id: &str, start: &Start) -> runner::Answer<u64> {
        let clock_ms = self.clock_ms(id);
        let job = self.cell.jobs().get(&start.task.job);
        let step = job.and_then(|job| job.step(&start.task)).cloned();
        let running_elsewhere = self
            .runners
            .values()
            .any(|runner| runner.running.contains_key(&start.task) && runner.lease > self.now);
        let (limit, limited_use) = self.use_with(&start.task);
        let (now, bound) = (self.now, self.bounds.lease);
        let Some(runner) = self.runners.get_mut(id) else {
            return runner::Answer::Unknown("gone".into());
        };
        if runner.unresponsive {
            return runner::Answer::Unknown("unresponsive".into());
        }
        if start.fence < runner.fence {
            return runner::Answer::Rejected(Rejection::Fence);
        }
        if self.malformed_jobs.contains(&start.task.job) {
            return runner::Answer::Rejected(Rejection::Malformed);
        }
        runner.fence = start.fence;
        runner.extend_lease(now, start.until_ms, bound);
        if start.until_ms <= clock_ms {
            return runner::Answer::Rejected(Rejection::Late);
        }
        if runner.running.get(&start.task).is_some_and(|run| run.number == start.run) {
            return runner::Answer::Done(clock_ms);
        }
        let last_run = runner.last_runs.get(&start.task).copied().unwrap_or_default();
        if last_run >= start.run {
            return runner::Answer::Rejected(Rejection::Old);
        }
        assert!(!running_elsewhere, "{} runs twice", start.task);
        if let Some(limit) = limit {
            let others = limited_use.saturating_sub(limit);
            assert!(others == 0, "{} exceeds the limit by {others}", start.task);
        }
        assert!(!self.done.contains(&start.task), "{} was done before", start.task);
        // Only the start of a cancelled job can arrive once the job is settled.
        let Some(step) = step else { return runner::Answer::Rejected(Rejection::Late) };
        runner.used += step.reserved().millicores;
        let room = MILLICORES - runner.shrunk_by;
        assert!(runner.used <= room, "{id} has no room for {}", start.task);
        runner.starts += 1;
        let (number, millicores) = (start.run, step.reserved().millicores);
        let run = Run { number, millicores, begun: now, endless: step.endless };
        runner.running.insert(start.task, run);
        runner.last_runs.insert(start.task, start.run);
        let loses_answers = runner.loses_answers;
        self.note_start(id, &start.task);
        if loses_answers {
            return runner::Answer::Unknown("lost".into());
        }
        runner::Answer::Done(clock_ms)
    }

    /// Limit of the organisation of a task, if it has one, and what it would use of it once the task
    /// has started. A task that exceeds the limit may run alone.
    fn use_with(&self, task: &Task) -> (Option<u64>, u64) {
        let organisation = |task: &Task| self.cell.jobs().get(&task.job)?.organisation.clone();
        let Some(name) = organisation(task) else { return (None, 0) };
        let terms = self.cell.manifest().access.as_ref().map(|access| &access.organisations);
        let limit = terms.and_then(|terms| terms.get(&*name)).and_then(|o| o.limit.millicores);
        let running = self.runners.values().filter(|runner| runner.lease > self.now);
        let tasks = running.flat_map(|runner| runner.running.iter());
        let same = tasks.filter(|(other, _)| organisation(other).as_ref() == Some(&name));
        let others: u64 = same.map(|(_, run)| u64::from(run.millicores)).sum();
        let step = self.cell.jobs().get(&task.job).and_then(|job| job.step(task));
        let own = step.map_or(0, |step| u64::from(step.need.millicores));
        (limit, if others == 0 { 0 } else { others + own })
    }

    fn stop(&mut self, id: &str, task: Task, run: u32) -> runner::Answer<u64> {
        let clock_ms = self.clock_ms(id);
        let Some(runner) = self.runners.get_mut(id).filter(|runner| !runner.unresponsive) else {
            return runner::Answer::Unknown("unresponsive".into());
        };
        let last_run = runner.last_runs.entry(task).or_default();
        *last_run = run.max(*last_run);
        if runner.running.get(&task).is_some_and(|running| running.number <= run) {
            runner.end(task, Exit::Stopped);
        }
        runner::Answer::Done(clock_ms)
    }

    fn poll(&mut self, id: &str, poll: &Poll) -> runner::Answer<Report> {
        let (clock_ms, tail_ms) = (self.clock_ms(id), self.tail_ms);
        let (now, bound) = (self.now, self.bounds.lease);
        let Some(runner) = self.runners.get_mut(id).filter(|runner| !runner.unresponsive) else {
            return runner::Answer::Unknown("unresponsive".into());
        };
        if poll.fence < runner.fence {
            return runner::Answer::Rejected(Rejection::Fence);
        }
        runner.fence = poll.fence;
        if let Some(until_ms) = poll.until_ms {
            runner.extend_lease(now, until_ms, bound);
        }
        runner.ended.retain(|end| end.number > poll.acknowledged);
        let running = runner.running.iter().map(|(task, run)| Running {
            task: *task,
            run: run.number,
            checkpoint: String::new(),
            percent: 100,
            usage: tail_ms,
        });
        runner::Answer::Done(Report {
            clock_ms,
            incarnation: Some(runner.incarnation),
            running: running.collect(),
            ended: runner.ended.clone(),
        })
    }

    /// Clock of a runner in milliseconds.
    fn clock_ms(&self, id: &str) -> u64 {
        let born_at = self.runners.get(id).map_or(Duration::ZERO, |runner| runner.born_at);
        (self.now - born_at).as_millis() as u64
    }

    /// Runners on which a task runs.
    pub fn runs(&self, task: Task) -> Vec<String> {
        let has = |(id, runner): (&String, &Runner)| {
            runner.running.contains_key(&task).then(|| id.clone())
        };
        self.runners.iter().filter_map(has).collect()
    }
}

impl Runner {
    fn is_unreachable(&self) -> bool {
        self.partitioned || self.crashed
    }

    /// Extends its lease to a time on its clock, but by no more than `bound` from now.
    fn extend_lease(&mut self, now: Duration, until_ms: u64, bound: Duration) {
        let until = (self.born_at + Duration::from_millis(until_ms)).min(now + bound);
        self.lease = self.lease.max(until);
    }

    fn has_ended(&self, task: &Task) -> bool {
        self.ended.iter().any(|end| end.task == *task && end.exit == Exit::Done)
    }

    fn end(&mut self, task: Task, exit: Exit) {
        let Some(run) = self.running.swap_remove(&task) else { return };
        self.used -= run.millicores;
        self.end_count += 1;
        let (number, run) = (self.end_count, run.number);
        self.ended.push(End { number, task, run, exit, checkpoint: String::new() });
    }
}
