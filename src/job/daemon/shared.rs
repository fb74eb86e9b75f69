//! What the parts of an entry share: who owns the cell, and the way to the owner.

use {
    super::{
        event::Event,
        meter::Meter,
        peer::{Ask, Link},
    },
    crate::job::{
        answer::Answer,
        claim::{Incarnation, Owner},
        settings::Settings,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc::UnboundedSender, oneshot, watch},
        time::{sleep, timeout},
    },
};

/// Pause before a request whose outcome got lost is passed on again.
const AGAIN: Duration = Duration::from_millis(120);

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
    /// Whether the connection to the owner was open when last looked at.
    pub linked: Cell<bool>,
    /// When the newest claim or beat that the log has taken was sent.
    pub confirmed: Cell<Option<Instant>>,
    /// Callers' requests in progress.
    pub requests: Cell<usize>,
    /// Counters.
    pub meter: Rc<Meter>,
}

impl Shared {
    /// Whether this entry can serve a caller.
    pub fn ready(&self) -> bool {
        self.stopping.borrow().is_none() && (self.desk.borrow().is_some() || self.linked.get())
    }

    /// Whether no other entry can own the cell by now.
    pub fn surely_owns(&self) -> bool {
        self.confirmed.get().is_some_and(|at| at.elapsed() < CONFIRMED)
    }

    /// Answers a caller's request, here or at the owner.
    ///
    /// Every request names its job, so one whose outcome got lost is passed on again: a job that
    /// was stored stays one job. A request that no owner has seen is refused at once.
    pub async fn serve(&self, ask: Ask, limit: Duration) -> Answer {
        let begun = Instant::now();
        let mut unknown: Option<Answer> = None;
        loop {
            let left = limit.saturating_sub(begun.elapsed());
            let answer = self.pass(&ask, left).await;
            match answer {
                Answer::Unknown(why) => unknown = Some(Answer::Unknown(why)),
                Answer::Refused { .. } if unknown.is_some() => {}
                final_answer => return final_answer,
            }
            if begun.elapsed() + AGAIN >= limit {
                return unknown.unwrap_or_else(|| {
                    Answer::refused("no entry owns the cell now", Duration::ZERO)
                });
            }
            sleep(AGAIN).await;
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
            _ => Answer::refused("no entry owns the cell now", Duration::ZERO),
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
            return Answer::refused("this entry does not own the cell", Duration::ZERO);
        }
        receiver.await.unwrap_or_else(|_| {
            Answer::Unknown(String::from("the entry lost the cell before it knew the outcome"))
        })
    }
}
