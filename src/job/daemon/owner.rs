//! Event loop of the entry that owns the cell.
//!
//! The owner first takes the cell over. It then feeds events (callers' requests, and answers of
//! runners, the store and the platform) to [`Cell`], appends the records that the cell produces to
//! the ledger, and carries out the actions that the cell asks for.

use {
    super::{
        append,
        channel::Channel,
        event::Event,
        follow,
        report::{self, Report},
        runners::Runners,
        shared::Shared,
        store::Store,
        suspension::Detector,
        takeover,
    },
    crate::{
        adapter::{
            self,
            store::{Error, Sequence},
        },
        job::{
            answer::Answer,
            cell::{Action, Cell, NoAdvice, RunnerId, Tickets},
            claim::Epoch,
            clock, ledger,
            replies::Replies,
            spec::Task,
            upkeep,
        },
    },
    log::{info, warn},
    std::{
        rc::Rc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{
            mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
            oneshot,
        },
        task::JoinSet,
        time::timeout,
    },
};

/// Interval of the cell's periodic work, and longest wait for an event.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the metrics show the accounts of organisations anew.
const ACCOUNTS_INTERVAL: Duration = Duration::from_secs(2);
/// Age of an unanswered append after which submissions are refused at once, if the store is fast.
pub(super) const LEDGER_TIMEOUT: Duration = Duration::from_millis(700);
/// The same as a multiple of the time that recent answers of a slow store have taken.
pub(super) const LEDGER_TIMEOUT_FACTOR: u32 = 2;
/// Reason given for these refusals.
pub(super) const LEDGER_UNRESPONSIVE: &str = "the ledger does not answer";
/// Largest append in bytes, unless the store's own limit is lower.
const MAX_APPEND_BYTES: usize = 128 << 10;
/// Maximum number of concurrent calls to the advisor, which answers them one after the other.
const MAX_ADVISOR_CALLS: usize = 2;
/// Timeout of a call to the advisor, which decides about each runner in turn.
const ADVISOR_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of concurrent actions on VMs.
const MAX_VM_ACTIONS: usize = 4;

/// Time after a takeover in which the previous owner's last actions on VMs may still arrive.
const LATE_ACTIONS_TIME: Duration = Duration::from_millis(1_000);

/// Takes the cell over and runs the event loop until ownership is lost or the task is aborted.
pub async fn run(shared: Rc<Shared>, store: Rc<Store>, epoch: Epoch) {
    let begun = clock::now();
    info!("owner: epoch={epoch} taking_over=true");
    let mut cell = Cell::new(epoch, shared.settings.bounds, begun);
    let (sender, receiver) = unbounded_channel();
    let mut tasks = JoinSet::new();
    follow::spawn(&mut tasks, &store, &sender);
    if let Err(e) = takeover::run(&mut cell, &store, epoch, wall_ms()).await {
        warn!("owner: epoch={epoch} take over: {e}");
        return;
    }
    follow::spawn_vms(&mut tasks, &shared, &sender);
    let reports = report::spawn(&mut tasks, &store, epoch);
    *shared.owner_events.borrow_mut() = Some(sender.clone());
    let ms = clock::elapsed(begun).as_millis();
    let (jobs, runners) = (cell.jobs().len(), cell.workers().len());
    info!(
        "owner: epoch={epoch} serving=true ms={ms} jobs={jobs} runners={runners} version={}",
        cell.manifest().version
    );
    let mut driver = Driver {
        runners: Runners::new(Rc::clone(&shared.meter)),
        fleet: shared.settings.fleet.map(|at| Rc::new(Channel::new(at, MAX_VM_ACTIONS))),
        advisor: shared.settings.advisor.map(|at| Rc::new(Channel::new(at, MAX_ADVISOR_CALLS))),
        shared: Rc::clone(&shared),
        store,
        cell,
        epoch,
        suspension: Detector::new(),
        started: begun,
        last_sequence: 0,
        append_started: None,
        replies: Replies::new(shared.settings.max_pending),
        events: sender,
        reports,
        tasks,
    };
    driver.run(receiver).await;
    shared.owner_events.borrow_mut().take();
}

pub(super) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Event loop of the owner, with the state that the cell does not need for its decisions.
pub(super) struct Driver {
    pub(super) shared: Rc<Shared>,
    store: Rc<Store>,
    pub(super) cell: Cell,
    pub(super) epoch: Epoch,
    suspension: Detector,
    /// When the takeover began.
    pub(super) started: Instant,
    /// Sequence number of the last append to the ledger in this epoch.
    last_sequence: u64,
    /// When the append in progress began.
    append_started: Option<Instant>,
    /// Where the answers to requests in progress go.
    pub(super) replies: Replies<oneshot::Sender<Answer>>,
    runners: Runners,
    fleet: Option<Rc<Channel>>,
    pub(super) advisor: Option<Rc<Channel>>,
    events: UnboundedSender<Event>,
    /// Where reports on waves go.
    reports: UnboundedSender<Report>,
    tasks: JoinSet<()>,
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.shared.meter.hide_owner();
    }
}

impl Driver {
    async fn run(&mut self, mut receiver: UnboundedReceiver<Event>) {
        let mut ticked = clock::now();
        let mut shown = ticked;
        loop {
            let placement = self.cell.next_placement(clock::now()).unwrap_or(TICK_INTERVAL);
            let wait = placement.min(TICK_INTERVAL);
            let first = timeout(wait, receiver.recv()).await;
            self.notice_suspension();
            if let Ok(Some(event)) = first {
                self.handle(event);
                while let Ok(event) = receiver.try_recv() {
                    self.handle(event);
                }
            }
            let now = clock::now();
            let confirmation = self.shared.confirmation.get();
            if let Some(sent) = confirmation.sent() {
                self.cell.confirm_ownership(sent);
            }
            self.cell.allow_fence(confirmation.newest_fence());
            self.cell.set_wall_clock(now, wall_ms());
            if now.saturating_duration_since(ticked) >= TICK_INTERVAL {
                ticked = now;
                self.cell.tick(now);
            } else {
                self.cell.handle_changes(now);
            }
            self.cell.end_turn(clock::now());
            if now.saturating_duration_since(shown) >= ACCOUNTS_INTERVAL {
                shown = now;
                self.show_accounts();
                self.shared.meter.show_sizes(self.cell.sizes());
                self.shared.meter.show_waves(&self.cell.wave_counts());
                self.hand_over_if_due(now);
            }
            if self.cell.is_superseded() {
                warn!("owner: epoch={} lost=true why=\"a newer owner has written\"", self.epoch);
                return;
            }
            self.append_batch();
            self.run_actions();
            while self.tasks.try_join_next().is_some() {}
        }
    }

    /// Shows the accounts of organisations in the metrics, if there are any.
    fn show_accounts(&self) {
        let accounts = self.cell.accounts();
        if !accounts.all().is_empty() {
            self.shared.meter.show_accounts(accounts);
        }
    }

    /// Drops the confirmation of ownership after a suspension of the VM, since another entry may
    /// have taken the cell over meanwhile. The next heartbeat that the log accepts confirms it again.
    fn notice_suspension(&mut self) {
        if let Some(suspended) = self.suspension.take() {
            warn!("owner: epoch={} slept_ms={} confirmed=false", self.epoch, suspended.as_millis());
            self.shared.clear_confirmation();
            self.cell.clear_confirmation();
        }
    }

    fn handle(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Request(relay, reply) => self.handle_request(now, relay, reply),
            Event::Started(runner, task, run, answer) => {
                self.cell.start_answered(now, &runner, task, run, answer);
            }
            Event::Stopped(runner, task, run, answer) => {
                self.cell.stop_answered(now, &runner, task, run, answer);
            }
            Event::Polled(runner, acknowledged, answer) => {
                self.cell.poll_answered(now, &runner, acknowledged, answer);
            }
            Event::Advised(step, asked, tickets) => {
                self.cell.advice_answered(now, &step, &asked, tickets);
            }
            Event::Appended(outcome) => self.appended(now, outcome),
            Event::Registrations(registrations) => {
                for (id, registration) in registrations {
                    self.cell.update_registration(now, &id, registration);
                }
            }
            Event::Manifest(manifest) => self.cell.update_manifest(manifest),
            Event::RecordsRead(sent) => self.cell.records_read(sent),
            Event::Wave(request) => self.cell.add_wave(now, request),
            Event::Vms(listing) => self.cell.update_vms(now, listing),
            Event::VmChanged(action, outcome) => {
                self.cell.vm_action_answered(now, &action, outcome)
            }
        }
    }

    /// Returns for how long the append in progress has been unanswered; zero if there is none.
    pub(super) fn append_age(&self, now: Instant) -> Duration {
        self.append_started.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns for how long the append in progress has been unanswered, if that is so long that
    /// submissions are refused.
    pub(super) fn ledger_missing(&self, now: Instant) -> Option<Duration> {
        let limit = LEDGER_TIMEOUT.max(self.store.answered_in() * LEDGER_TIMEOUT_FACTOR);
        Some(self.append_age(now)).filter(|missing| *missing > limit)
    }

    fn append_batch(&mut self) {
        let now = clock::now();
        if let Some(missing) = self.ledger_missing(now) {
            self.cell.refuse_unstored(now, LEDGER_UNRESPONSIVE, missing);
            return;
        }
        let Some(batch) = self.cell.next_batch(now) else { return };
        self.append_started = Some(now);
        let max_bytes = self.shared.settings.bounds.append_bytes.min(MAX_APPEND_BYTES);
        let groups = ledger::split(batch.records, max_bytes);
        let first = Sequence { epoch: self.epoch, number: self.last_sequence + 1 };
        self.last_sequence += groups.len() as u64;
        let (shared, store) = (Rc::clone(&self.shared), Rc::clone(&self.store));
        self.tasks.spawn_local(append::run(shared, store, self.events.clone(), groups, first));
    }

    fn appended(&mut self, now: Instant, outcome: Result<(), Error>) {
        self.append_started = None;
        match outcome {
            Ok(()) => self.cell.batch_committed(now),
            Err(e) => {
                warn!("owner: epoch={} append {}: {e}", self.epoch, self.last_sequence);
                self.cell.mark_superseded();
            }
        }
    }

    fn run_actions(&mut self) {
        for event in self.cell.take_crash_events() {
            self.shared.meter.count_event(event.name());
        }
        for action in self.cell.take_actions() {
            self.shared.meter.count_event(action.name());
            match action {
                Action::Answer(request, answer) => {
                    if let Some(reply) = self.replies.take(request) {
                        send(reply, answer);
                    }
                }
                Action::AskAdvisor(step, runners) => self.ask_advisor(step, runners),
                Action::ChangeVm(action) => self.change_vm(action),
                Action::ReportWave(wave, complete) => {
                    if self.reports.send(Report { wave, complete }).is_err() {
                        log::debug!("upkeep: a newer owner reports on waves");
                    }
                }
                other => self.call_runner(other),
            }
        }
    }

    fn call_runner(&mut self, action: Action) {
        let id = match &action {
            Action::Start(id, ..)
            | Action::Stop(id, ..)
            | Action::Pace(id, ..)
            | Action::Poll(id, ..) => id,
            _ => return,
        };
        let Some(worker) = self.cell.workers().get(id) else { return };
        let Some(registration) = &worker.registration else { return };
        let (address, fence) = (registration.address, worker.fence);
        self.runners.spawn_call(&mut self.tasks, &self.events, address, fence, action);
    }

    fn ask_advisor(&mut self, step: Task, runners: Vec<RunnerId>) {
        let Some(advisor) = self.advisor.clone() else { return };
        let events = self.events.clone();
        self.tasks.spawn_local(async move {
            let advice = fetch_tickets(&advisor, &step, &runners).await;
            if events.send(Event::Advised(step, runners, advice)).is_err() {
                log::debug!("advice: dropped an answer that arrived after ownership was lost");
            }
        });
    }

    fn change_vm(&mut self, action: upkeep::Action) {
        let Some(fleet) = self.fleet.clone() else { return };
        let early = self.epoch > 1 && clock::elapsed(self.started) < LATE_ACTIONS_TIME;
        if early || !self.shared.owns_exclusively() {
            let why =
                String::from("not sent: another entry may own the cell or have owned it just now");
            if self
                .events
                .send(Event::VmChanged(action, Err(upkeep::Refusal::Unknown(why))))
                .is_err()
            {
                log::debug!("owner: dropped the outcome of a VM action after ownership was lost");
            }
            return;
        }
        let (events, epoch) = (self.events.clone(), self.epoch);
        let holder = self.shared.settings.node.clone();
        let shared = Rc::clone(&self.shared);
        self.tasks.spawn_local(async move {
            let call = adapter::fleet::change_vm(&action, &holder, epoch);
            let permitted = || shared.owns_exclusively();
            let outcome = match fleet.call_if(call, follow::FLEET_TIMEOUT, permitted).await {
                Ok(reply) => adapter::fleet::outcome(&reply),
                Err(e) => Err(upkeep::Refusal::Unknown(e.to_string())),
            };
            let _ = events.send(Event::VmChanged(action, outcome));
        });
    }
}

async fn fetch_tickets(
    advisor: &Channel,
    step: &Task,
    runners: &[RunnerId],
) -> Result<Tickets, NoAdvice> {
    let call = adapter::advisor::ask(step, runners);
    let call = call.map_err(|e| NoAdvice::Rejected(e.to_string()))?;
    let reply = advisor.call(call, ADVISOR_TIMEOUT).await;
    let reply = reply.map_err(|e| NoAdvice::Unknown(e.to_string()))?;
    adapter::advisor::tickets(&reply)
}

pub(super) fn send(reply: oneshot::Sender<Answer>, answer: Answer) {
    if reply.send(answer).is_err() {
        log::debug!("owner: a caller disconnected before its answer");
    }
}
