//! The owner's loop: events in, decisions of the cell, and its actions carried out.

use {
    super::{
        channel::Channel, event::Event, follow, peer::Ask, runners::Runners, shared::Shared,
        store::Store, suspension::Watch, takeover,
    },
    crate::{
        adapter::{
            self,
            store::{Error, JOBS, Sequence},
        },
        job::{
            answer::Answer,
            cell::{Action, Cell, RequestId, RunnerId, Tickets},
            claim::Epoch,
            ledger::{self, Record},
            spec::{self, Task},
            upkeep,
        },
    },
    indexmap::IndexMap,
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
        time::{sleep, timeout},
    },
};

/// Time after which a caller may ask again with a job that this release does not support.
const UNSUPPORTED_AGAIN: Duration = Duration::from_secs(3_600);
/// Longest time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Time without an answer of the ledger after which submissions are refused at once.
const LEDGER_AWAY: Duration = Duration::from_millis(700);
/// Why submissions are refused then.
const LEDGER_SILENT: &str = "the ledger does not answer";
/// Most bytes of one append; the store's limit for a call is larger.
const APPEND_BYTES: usize = 512 << 10;
/// Pause before an append is tried again.
const APPEND_AGAIN: Duration = Duration::from_millis(60);
/// Most calls to the advisor at once; it answers one after the other.
const ADVISOR_CALLS: usize = 2;
/// Time for an answer of the advisor, which decides about each runner in turn.
const ADVISOR_ANSWER: Duration = Duration::from_secs(4);
/// Most calls to the platform's list of VMs at once.
const FLEET_CALLS: usize = 4;

/// Time for which a former owner's last actions on VMs may still be on their way.
const FORMER_ACTIONS: Duration = Duration::from_millis(1_000);

/// Owns the cell until it is lost or the task is aborted.
pub async fn run(shared: Rc<Shared>, store: Rc<Store>, epoch: Epoch) {
    let begun = Instant::now();
    info!("owner: epoch={epoch} taking_over=true");
    let mut cell = Cell::new(epoch, shared.settings.bounds, begun);
    if let Err(e) = takeover::run(&mut cell, &store, epoch, wall_ms()).await {
        warn!("owner: epoch={epoch} take over: {e}");
        return;
    }
    let (sender, receiver) = unbounded_channel();
    let mut tasks = JoinSet::new();
    follow::spawn(&mut tasks, &shared, &store, &sender);
    *shared.desk.borrow_mut() = Some(sender.clone());
    let ms = begun.elapsed().as_millis();
    let (jobs, runners) = (cell.jobs().len(), cell.workers().len());
    info!(
        "owner: epoch={epoch} serving=true ms={ms} jobs={jobs} runners={runners} version={}",
        cell.manifest().version
    );
    let mut desk = Desk {
        runners: Runners::new(epoch, Rc::clone(&shared.meter)),
        fleet: shared.settings.fleet.map(|at| Rc::new(Channel::new(at, FLEET_CALLS))),
        advisor: shared.settings.advisor.map(|at| Rc::new(Channel::new(at, ADVISOR_CALLS))),
        shared: Rc::clone(&shared),
        store,
        cell,
        epoch,
        watch: Watch::new(),
        began: begun,
        sequence: 0,
        appending: None,
        waiting: IndexMap::new(),
        next_request: 0,
        events: sender,
        tasks,
    };
    desk.serve(receiver).await;
    shared.desk.borrow_mut().take();
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

struct Desk {
    shared: Rc<Shared>,
    store: Rc<Store>,
    cell: Cell,
    epoch: Epoch,
    watch: Watch,
    began: Instant,
    sequence: u64,
    appending: Option<Instant>,
    waiting: IndexMap<RequestId, oneshot::Sender<Answer>>,
    next_request: RequestId,
    runners: Runners,
    fleet: Option<Rc<Channel>>,
    advisor: Option<Rc<Channel>>,
    events: UnboundedSender<Event>,
    tasks: JoinSet<()>,
}

impl Desk {
    async fn serve(&mut self, mut receiver: UnboundedReceiver<Event>) {
        let mut ticked = Instant::now();
        loop {
            let first = timeout(TICK, receiver.recv()).await;
            self.notice_suspension();
            if let Ok(Some(event)) = first {
                self.handle(event);
                while let Ok(event) = receiver.try_recv() {
                    self.handle(event);
                }
            }
            let now = Instant::now();
            if let Some(sent) = self.shared.confirmed.get() {
                self.cell.confirm_ownership(sent);
            }
            self.cell.set_wall_clock(now, wall_ms());
            if now.saturating_duration_since(ticked) >= TICK {
                ticked = now;
                self.cell.tick(now);
            } else {
                self.cell.handle_changes(now);
            }
            if self.cell.is_superseded() {
                warn!("owner: epoch={} lost=true why=\"a newer owner has written\"", self.epoch);
                return;
            }
            self.store_batch();
            self.carry_out();
            while self.tasks.try_join_next().is_some() {}
        }
    }

    /// After a suspension another entry may own the cell: this one must be confirmed anew.
    fn notice_suspension(&mut self) {
        if let Some(slept) = self.watch.slept() {
            warn!("owner: epoch={} slept_ms={} confirmed=false", self.epoch, slept.as_millis());
            self.shared.confirmed.set(None);
            self.cell.clear_confirmation();
        }
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Ask(ask, reply) => self.ask(now, ask, reply),
            Event::Started(runner, task, run, answer) => {
                self.cell.start_answered(now, &runner, task, run, answer);
            }
            Event::Stopped(runner, task, run, answer) => {
                self.cell.stop_answered(now, &runner, task, run, answer);
            }
            Event::Looked(runner, seen, answer) => {
                self.cell.poll_answered(now, &runner, seen, answer);
            }
            Event::Advised(step, asked, tickets) => {
                self.cell.advice_answered(now, &step, &asked, tickets);
            }
            Event::Appended(outcome) => self.appended(now, outcome),
            Event::Listed(entries) => {
                for (id, entry) in entries {
                    self.cell.update_registration(now, &id, entry);
                }
            }
            Event::Manifest(manifest) => self.cell.update_manifest(manifest),
            Event::Wave(order) => self.cell.add_wave(now, order),
            Event::Vms(vms) => self.cell.update_vms(now, vms),
            Event::Acted(action, outcome) => self.cell.vm_action_answered(now, &action, outcome),
        }
    }

    fn ask(&mut self, now: Instant, ask: Ask, reply: oneshot::Sender<Answer>) {
        use super::peer::Method;
        let Some((queue, rest)) = self.find(&ask) else {
            let answer = if self.cell.manifest().version == 0 {
                Answer::refused("no manifest is known yet", Duration::ZERO)
            } else {
                Answer::NoQueue
            };
            return send(reply, answer);
        };
        if ask.method == Method::Get && rest.is_empty() {
            let missing = self.ledger_missing(now);
            if missing > LEDGER_AWAY {
                return send(reply, Answer::refused(LEDGER_SILENT, missing));
            }
            let request = self.wait(reply);
            return self.cell.count_pending(now, request, &queue);
        }
        let Some(id) = adapter::front::name(&rest) else {
            let why = String::from("a job's name has 16 hexadecimal digits");
            return send(
                reply,
                if ask.method == Method::Post { Answer::Malformed(why) } else { Answer::NoJob },
            );
        };
        match ask.method {
            Method::Post => self.submit(now, &ask, &queue, id, reply),
            Method::Get => {
                let request = self.wait(reply);
                self.cell.query(request, id);
            }
            Method::Delete => {
                let request = self.wait(reply);
                self.cell.cancel(now, request, id);
            }
            Method::Other => send(reply, Answer::Method),
        }
    }

    fn submit(
        &mut self,
        now: Instant,
        ask: &Ask,
        queue: &str,
        id: u64,
        reply: oneshot::Sender<Answer>,
    ) {
        let missing = self.ledger_missing(now);
        if missing > LEDGER_AWAY && !self.cell.jobs().contains_key(&id) {
            info!("refuse: job={id:016x} why={LEDGER_SILENT:?} missing_ms={}", missing.as_millis());
            return send(reply, Answer::refused(LEDGER_SILENT, missing));
        }
        let advised = self.cell.manifest().queue(queue).is_some_and(|queue| queue.advice.is_some());
        if advised && self.advisor.is_none() {
            info!("refuse: job={id:016x} queue={queue} why=\"the settings name no advisor\"");
            let why = String::from("its queue needs an advisor, and the settings name none");
            return send(reply, Answer::Refused { why, retry_after: UNSUPPORTED_AGAIN });
        }
        match adapter::front::job(&ask.body) {
            Ok(spec) => {
                let request = self.wait(reply);
                self.cell.submit(now, wall_ms(), request, queue, id, spec);
            }
            Err(e) => {
                info!("refuse: job={id:016x} why=\"{e}\"");
                send(reply, refusal(&e));
            }
        }
    }

    /// Queue that a request addresses, and the rest of its path.
    fn find(&self, ask: &Ask) -> Option<(String, String)> {
        let queue = self.cell.manifest().find(&ask.host, &ask.path)?;
        let rest = ask.path.get(queue.prefix.len()..).unwrap_or_default();
        Some((queue.name.clone(), String::from(rest)))
    }

    fn wait(&mut self, reply: oneshot::Sender<Answer>) -> RequestId {
        self.next_request += 1;
        self.waiting.insert(self.next_request, reply);
        self.next_request
    }

    /// Time for which the ledger has not answered.
    fn ledger_missing(&self, now: Instant) -> Duration {
        self.appending.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    fn store_batch(&mut self) {
        let now = Instant::now();
        let missing = self.ledger_missing(now);
        if missing > LEDGER_AWAY {
            self.cell.refuse_unstored(now, LEDGER_SILENT, missing);
            return;
        }
        let Some(batch) = self.cell.next_batch(now) else { return };
        self.appending = Some(now);
        let calls = ledger::split(batch.records, APPEND_BYTES);
        let first = Sequence { epoch: self.epoch, number: self.sequence + 1 };
        self.sequence += calls.len() as u64;
        let (store, events) = (Rc::clone(&self.store), self.events.clone());
        self.tasks.spawn_local(append(store, events, calls, first));
    }

    fn appended(&mut self, now: Instant, outcome: Result<(), Error>) {
        self.appending = None;
        match outcome {
            Ok(()) => self.cell.batch_committed(now),
            Err(e) => {
                warn!("owner: epoch={} append {}: {e}", self.epoch, self.sequence);
                self.cell.mark_superseded();
            }
        }
    }

    fn carry_out(&mut self) {
        for action in self.cell.take_actions() {
            self.shared.meter.event(action.name());
            match action {
                Action::Answer(request, answer) => {
                    if let Some(reply) = self.waiting.swap_remove(&request) {
                        send(reply, answer);
                    }
                }
                Action::AskAdvisor(step, runners) => self.advise(step, runners),
                Action::ChangeVm(action) => self.act(action),
                Action::ReportWave(number, complete) => self.report(number, complete),
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
        let Some(entry) =
            self.cell.workers().get(id).and_then(|worker| worker.registration.as_ref())
        else {
            return;
        };
        self.runners.carry_out(&mut self.tasks, &self.events, entry.address, action);
    }

    fn advise(&mut self, step: Task, runners: Vec<RunnerId>) {
        let Some(advisor) = self.advisor.clone() else { return };
        let events = self.events.clone();
        self.tasks.spawn_local(async move {
            let advice = ask_advisor(&advisor, &step, &runners).await;
            if events.send(Event::Advised(step, runners, advice)).is_err() {
                log::debug!("advice: an answer came after the cell was lost");
            }
        });
    }

    fn act(&mut self, action: upkeep::Action) {
        let Some(fleet) = self.fleet.clone() else { return };
        let early = self.epoch > 1 && self.began.elapsed() < FORMER_ACTIONS;
        if early || !self.shared.surely_owns() {
            let why =
                String::from("not sent: another entry may own the cell, or may have just owned it");
            if self.events.send(Event::Acted(action, Err(upkeep::Refusal::Unknown(why)))).is_err() {
                log::debug!("owner: the cell was lost");
            }
            return;
        }
        let (events, epoch) = (self.events.clone(), self.epoch);
        let holder = self.shared.settings.node.clone();
        self.tasks.spawn_local(async move {
            let call = adapter::fleet::act(&action, &holder, epoch);
            let outcome = match fleet.call(call, follow::FLEET_ANSWER).await {
                Ok(reply) => adapter::fleet::acted(&reply),
                Err(e) => Err(upkeep::Refusal::Unknown(e.to_string())),
            };
            let _ = events.send(Event::Acted(action, outcome));
        });
    }

    fn report(&mut self, number: upkeep::Number, complete: bool) {
        let store = Rc::clone(&self.store);
        self.tasks.spawn_local(async move {
            let (key, value) = adapter::manifest::wave_status(number, complete);
            let record = Record { key, value };
            while let Err(e) = store.append_any(adapter::manifest::STATUS_TOPIC, &record).await {
                warn!("upkeep: report wave={number} complete={complete}: {e}");
                sleep(Duration::from_millis(300)).await;
            }
        });
    }
}

async fn ask_advisor(
    advisor: &Channel,
    step: &Task,
    runners: &[RunnerId],
) -> Result<Tickets, String> {
    let call = adapter::advisor::ask(step, runners).map_err(|e| e.to_string())?;
    let reply = advisor.call(call, ADVISOR_ANSWER).await.map_err(|e| e.to_string())?;
    adapter::advisor::tickets(&reply)
}

/// Answer to a job that is not accepted: one that is sound but not supported never runs.
fn refusal(error: &spec::Error) -> Answer {
    match error {
        spec::Error::Large(_) => {
            Answer::Refused { why: error.to_string(), retry_after: UNSUPPORTED_AGAIN }
        }
        _ => Answer::Malformed(error.to_string()),
    }
}

fn send(reply: oneshot::Sender<Answer>, answer: Answer) {
    if reply.send(answer).is_err() {
        log::debug!("owner: a caller has left before its answer");
    }
}

/// Appends the parts of a batch, each until the store has answered it.
async fn append(
    store: Rc<Store>,
    events: UnboundedSender<Event>,
    calls: Vec<Vec<Record>>,
    first: Sequence,
) {
    let mut outcome = Ok(());
    for (records, number) in calls.iter().zip(first.number..) {
        outcome = append_part(&store, records, Sequence { number, ..first }).await;
        if outcome.is_err() {
            break;
        }
    }
    if events.send(Event::Appended(outcome)).is_err() {
        log::debug!("owner: an append was answered after the cell was lost");
    }
}

async fn append_part(store: &Store, records: &[Record], at: Sequence) -> Result<(), Error> {
    loop {
        match store.append(JOBS, records, at).await {
            Ok(_) => return Ok(()),
            Err(Error::Refused(_) | Error::Silent(_)) => sleep(APPEND_AGAIN).await,
            Err(e) => return Err(e),
        }
    }
}
