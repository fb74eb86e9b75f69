//! What the parts of an entry share: who owns the cell, and the way to the owner.

use {
    super::{
        event::Event,
        meter::Meter,
        peer::{Ask, Link, Standing},
    },
    crate::job::{
        answer::Answer,
        claim::{Epoch, Incarnation, Owner},
        settings::Settings,
    },
    log::info,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, mpsc::UnboundedSender, oneshot, watch},
        time::{sleep, timeout},
    },
};

/// Pause before a request whose outcome got lost is passed on again.
const AGAIN: Duration = Duration::from_millis(120);
/// Time without an owner within which the next one usually serves: an owner's silence, a claim and
/// the reading of the ledger.
const CHANGE: Duration = Duration::from_millis(1_500);
/// Time after a beat for which the owner counts as sound; longer than an owner's silence.
const SOUND: Duration = Duration::from_millis(1_200);
/// Time after a beat in which no other entry can have claimed the cell: less than an owner's silence.
const CONFIRMED: Duration = Duration::from_millis(650);

/// What the parts of an entry share.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// Newest known owner.
    pub owner: watch::Sender<Option<Owner>>,
    /// Until when connections are still served, once a stop was asked for.
    pub stopping: watch::Sender<Option<Instant>>,
    /// Way to the decisions, while this entry owns the cell and has read its state.
    pub desk: RefCell<Option<UnboundedSender<Event>>>,
    /// Connection to the owner.
    pub link: Link,
    /// Whether another entry owns the cell, is sound, and is connected.
    pub linked: watch::Sender<bool>,
    /// When there was a sound owner last.
    pub sound_at: Cell<Instant>,
    /// When the newest claim or beat that the log has taken was sent.
    pub confirmed: Cell<Option<Instant>>,
    /// When the newest claim or beat of another entry was read.
    pub seen: Cell<Option<Instant>>,
    /// Newest ownership whose process is known to have ended.
    pub ended: Cell<Option<Epoch>>,
    /// Tells the claimant that an ownership has ended.
    pub vacated: Notify,
    /// Callers' requests in progress.
    pub requests: Cell<usize>,
    /// Counters.
    pub meter: Rc<Meter>,
}

impl Shared {
    /// Whether this entry can serve a caller: it has not been asked to stop, and the cell's owner,
    /// which may be this entry, is sound.
    pub fn ready(&self) -> bool {
        if self.stopping.borrow().is_some() {
            return false;
        }
        if self.desk.borrow().is_some() { self.is_confirmed() } else { *self.linked.borrow() }
    }

    /// Whether the log has confirmed this entry as the owner lately.
    fn is_confirmed(&self) -> bool {
        self.confirmed.get().is_some_and(|at| at.elapsed() < SOUND)
    }

    /// Whether a record of another entry's ownership was read lately.
    pub fn has_seen_owner(&self) -> bool {
        self.seen.get().is_some_and(|at| at.elapsed() < SOUND)
    }

    /// How this entry stands to the cell.
    pub fn standing(&self) -> Standing {
        Standing {
            incarnation: self.incarnation,
            confirmed: self.is_confirmed(),
            owner: self.owner.borrow().clone(),
        }
    }

    /// Whether no other entry can own the cell by now.
    pub fn surely_owns(&self) -> bool {
        self.confirmed.get().is_some_and(|at| at.elapsed() < CONFIRMED)
    }

    /// Answers a caller's request, here or at the owner.
    ///
    /// Every request names its job, so one whose outcome got lost is passed on again: a job that
    /// was stored stays one job. A request that no owner has seen waits for the next owner only as long
    /// as one is about to serve, and is refused then.
    pub async fn serve(&self, ask: Ask, limit: Duration) -> Answer {
        let begun = Instant::now();
        let mut unknown: Option<Answer> = None;
        loop {
            let left = limit.saturating_sub(begun.elapsed());
            let answer = self.pass(&ask, left).await;
            match answer {
                Answer::Unknown(why) => unknown = Some(Answer::Unknown(why)),
                Answer::Refused { .. } if unknown.is_some() => {}
                Answer::NoOwner(why) if unknown.is_none() => {
                    if !self.expects_owner() {
                        return Answer::refused(why, Duration::ZERO);
                    }
                }
                Answer::NoOwner(_) => {}
                final_answer => return final_answer,
            }
            if begun.elapsed() + AGAIN >= limit {
                return unknown.unwrap_or_else(|| {
                    Answer::refused("no entry owns the cell now", Duration::ZERO)
                });
            }
            self.wait_for_owner().await;
        }
    }

    /// Whether an owner is likely to serve soon.
    fn expects_owner(&self) -> bool {
        self.sound_at.get().elapsed() < CHANGE
    }

    /// Waits until another owner is connected, for a moment at most.
    async fn wait_for_owner(&self) {
        let mut linked = self.linked.subscribe();
        if *linked.borrow_and_update() {
            return sleep(AGAIN).await;
        }
        let _ = timeout(AGAIN, linked.changed()).await;
    }

    /// Takes in that an owner's process has ended; `newer` is the newest owner that its VM knows.
    pub fn end_owner(&self, ended: &Owner, newer: Option<Owner>) {
        if let Some(newer) = newer.filter(|newer| newer.epoch > ended.epoch) {
            self.owner.send_replace(Some(newer));
        } else {
            info!("owner: epoch={} node={} ended=true", ended.epoch, ended.node);
            self.ended.set(Some(ended.epoch));
            self.vacated.notify_one();
        }
    }

    async fn pass(&self, ask: &Ask, limit: Duration) -> Answer {
        if self.desk.borrow().is_some() {
            return timeout(limit, self.decide(ask.clone()))
                .await
                .unwrap_or_else(|_| Answer::Unknown(format!("no outcome after {limit:?}")));
        }
        let owner = self.owner.borrow().clone();
        match owner {
            Some(owner) if !owner.released && owner.incarnation != self.incarnation => {
                self.link.pass(owner.peer, ask, limit).await
            }
            _ => Answer::NoOwner(String::from("no entry owns the cell now")),
        }
    }

    /// Has the owner's part in this process decide.
    pub async fn decide(&self, ask: Ask) -> Answer {
        let (sender, receiver) = oneshot::channel();
        let passed = match &*self.desk.borrow() {
            Some(desk) => desk.send(Event::Ask(ask, sender)).is_ok(),
            None => false,
        };
        if !passed {
            return Answer::NoOwner(String::from("the entry that was asked does not own the cell"));
        }
        receiver.await.unwrap_or_else(|_| {
            Answer::Unknown(String::from("the entry lost the cell before it knew the outcome"))
        })
    }
}
