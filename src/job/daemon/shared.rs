//! State that the parts of an entry share: the known owner of the cell and the connection to it.

use {
    super::{
        event::Event,
        meter::Meter,
        peer::{Link, Method, Relay, Status},
        store::Store,
    },
    crate::{
        intake::Guard,
        job::{
            answer::Answer,
            attempt::Attempts,
            claim::{Confirmation, Epoch, HEALTHY_TIME, Incarnation, Owner},
            clock,
            settings::Settings,
        },
    },
    log::info,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, mpsc::UnboundedSender, oneshot, watch},
        time::{sleep, timeout},
    },
};

/// Delay before a request whose outcome is unknown is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Time in which a takeover usually ends: the timeout of the previous owner's heartbeats, the
/// claim and the reading of the ledger.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);

/// State that the parts of an entry share.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Limits on what callers and relayed requests hold.
    pub intake: Arc<Guard>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Newest known owner.
    pub owner: watch::Sender<Option<Owner>>,
    /// Set once a stop is requested: when connections stop being served.
    pub stopping: watch::Sender<Option<Instant>>,
    /// Queue of the owner's event loop, while this entry owns the cell and has read its state.
    pub owner_events: RefCell<Option<UnboundedSender<Event>>>,
    /// Client of the platform's store.
    pub store: Rc<Store>,
    /// Connection to the owner.
    pub link: Link,
    /// Whether another entry owns the cell, is healthy, and is connected.
    pub linked: watch::Sender<bool>,
    /// When this entry was last ready, that is, when the cell last had a healthy owner.
    pub last_ready: Cell<Instant>,
    /// Confirmation that this entry owns the cell.
    pub confirmation: Cell<Confirmation>,
    /// When a claim or heartbeat of another entry was last read.
    pub owner_seen_at: Cell<Option<Instant>>,
    /// Epoch of the newest owner whose process is known to have ended.
    pub ended_epoch: Cell<Option<Epoch>>,
    /// Notifies the claimant when the owner's process is known to have ended.
    pub owner_ended: Notify,
    /// Most cores of another entry that could own the cell and has connected in this ownership.
    pub strongest_peer: Cell<f64>,
    /// Whether this entry, which owns the cell, hands it over.
    pub hands_over: Cell<bool>,
    /// When this entry last handed the cell over.
    pub handed_over_at: Cell<Option<Instant>>,
    /// Callers' requests in progress.
    pub open_requests: Cell<usize>,
    /// Metrics.
    pub meter: Rc<Meter>,
}

/// A caller's request in progress.
pub struct OpenRequest {
    shared: Rc<Shared>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.shared.open_requests.set(self.shared.open_requests.get() - 1);
    }
}

impl Shared {
    /// Returns whether this entry can serve a caller: no stop was requested, and the cell's owner,
    /// which may be this entry, is healthy.
    pub fn ready(&self) -> bool {
        if self.stopping.borrow().is_some() {
            return false;
        }
        if self.owner_events.borrow().is_some() {
            self.is_confirmed()
        } else {
            *self.linked.borrow()
        }
    }

    /// Returns whether the log has recently accepted a claim or heartbeat of this entry.
    fn is_confirmed(&self) -> bool {
        self.confirmation.get().is_recent(clock::now(), self.store.delay())
    }

    /// Returns whether a claim or heartbeat of another entry was read recently.
    pub fn has_seen_owner(&self) -> bool {
        self.owner_seen_at.get().is_some_and(|at| clock::elapsed(at) < HEALTHY_TIME)
    }

    /// Returns whether this entry could own the cell: it reads the log, and was not asked to stop.
    pub fn may_own(&self) -> bool {
        self.has_seen_owner() && self.stopping.borrow().is_none()
    }

    /// Records the cores of another entry that could own the cell.
    pub fn record_peer(&self, cores: f64) {
        self.strongest_peer.set(self.strongest_peer.get().max(cores));
    }

    /// Has the claimant release the cell.
    pub fn hand_over(&self) {
        self.hands_over.set(true);
        self.handed_over_at.set(Some(clock::now()));
    }

    /// Returns this entry's view of who owns the cell.
    pub fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation,
            confirmed: self.is_confirmed(),
            owner: self.owner.borrow().clone(),
        }
    }

    /// Returns whether this entry owns the cell and no other entry can have claimed it yet.
    pub fn owns_exclusively(&self) -> bool {
        self.confirmation.get().is_exclusive(clock::now())
    }

    /// Records that the log has accepted a claim or heartbeat that this entry sent at `sent`, and ends at the
    /// offset `end`.
    pub fn record_confirmation(&self, sent: Instant, end: u64) {
        let mut confirmation = self.confirmation.get();
        confirmation.record(sent, end);
        self.confirmation.set(confirmation);
    }

    /// Forgets the confirmation of this entry's ownership.
    pub fn clear_confirmation(&self) {
        self.confirmation.set(Confirmation::default());
    }

    /// Counts a caller's request as in progress until the returned value is dropped, also if the
    /// caller disconnects before its answer.
    pub fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest { shared: Rc::clone(self) }
    }

    /// Reduces a caller's deadline to the longest one that counts.
    pub fn limit_deadline(&self, deadline: Duration) -> Duration {
        if deadline > self.settings.max_deadline {
            self.meter.count_event("deadline_reduced");
        }
        deadline.min(self.settings.max_deadline)
    }

    /// Answers a caller's request, in this process or at the owner, in as many attempts as it takes.
    pub async fn serve(&self, relay: Relay, limit: Duration) -> Answer {
        let begun = Instant::now();
        let mut attempts = Attempts::new(relay.method != Method::Get);
        loop {
            let left = limit.saturating_sub(begun.elapsed());
            let answer = self.decide_or_relay(&relay, left).await;
            let denied = answer.is_denial();
            if let Some(answer) = attempts.decide(answer, self.expects_takeover()) {
                if denied && !answer.is_denial() {
                    self.meter.count_event("denial_withheld");
                }
                return answer;
            }
            if begun.elapsed() + RETRY_DELAY >= limit {
                return attempts.give_up();
            }
            self.wait_for_owner().await;
        }
    }

    /// Returns whether a takeover is likely to end soon.
    fn expects_takeover(&self) -> bool {
        clock::elapsed(self.last_ready.get()) < TAKEOVER_TIME
    }

    /// Waits until another entry that owns the cell is connected, or for [`RETRY_DELAY`] at most.
    /// If one is connected already, waits for the whole delay.
    async fn wait_for_owner(&self) {
        let mut linked = self.linked.subscribe();
        if *linked.borrow_and_update() {
            return sleep(RETRY_DELAY).await;
        }
        let _ = timeout(RETRY_DELAY, linked.changed()).await;
    }

    /// Records that an owner's process has ended. `newer` is the newest owner known to the process
    /// that now answers in its place.
    pub fn record_owner_end(&self, ended: &Owner, newer: Option<Owner>) {
        if let Some(newer) = newer.filter(|newer| newer.epoch > ended.epoch) {
            self.owner.send_replace(Some(newer));
        } else {
            info!("owner: epoch={} node={} ended=true", ended.epoch, ended.node);
            self.ended_epoch.set(Some(ended.epoch));
            self.owner_ended.notify_one();
        }
    }

    /// Has a request decided in this process if it owns the cell, otherwise relays it to the owner.
    async fn decide_or_relay(&self, relay: &Relay, limit: Duration) -> Answer {
        if self.owner_events.borrow().is_some() {
            return timeout(limit, self.decide(relay.clone()))
                .await
                .unwrap_or_else(|_| Answer::Unknown(format!("no outcome after {limit:?}")));
        }
        let owner = self.owner.borrow().clone();
        match owner {
            Some(owner) if !owner.released && owner.incarnation != self.incarnation => {
                self.link.relay(owner.peer, relay, limit).await
            }
            _ => Answer::NoOwner(String::from("no entry owns the cell now")),
        }
    }

    /// Has the owner's event loop in this process decide a request.
    pub async fn decide(&self, relay: Relay) -> Answer {
        let (sender, receiver) = oneshot::channel();
        let passed = match &*self.owner_events.borrow() {
            Some(events) => events.send(Event::Request(relay, sender)).is_ok(),
            None => false,
        };
        if !passed {
            return Answer::NoOwner(String::from("the entry asked does not own the cell"));
        }
        receiver.await.unwrap_or_else(|_| {
            Answer::Unknown(String::from("the owner lost the cell before the outcome was known"))
        })
    }
}
