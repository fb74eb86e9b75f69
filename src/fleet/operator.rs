//! Connects operators' calls to the engine.
//!
//! A call waits for the verdict that this entry reads back from the log. If none comes in time its
//! outcome is unknown, and the operator repeats it with the same operation id.

use {
    crate::{
        engine::Shared,
        event::{CallId, Event},
        id::{EntryId, Offset},
        member,
        record::Record,
        rpc::{Cause, EntryStatus, Error, Gate, Health},
        state::Verdict,
    },
    crossbeam::channel::Sender,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Time that a call waits for its verdict.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(10);

type Waiter = oneshot::Sender<Option<(Offset, Verdict)>>;

/// Operators' calls that wait for a verdict.
#[derive(Default)]
pub struct Calls {
    next: AtomicU64,
    waiting: Mutex<HashMap<CallId, Waiter>>,
}

impl Calls {
    /// Hands a verdict to the call that waits for it.
    pub fn reply(&self, call: CallId, verdict: Option<(Offset, Verdict)>) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(waiter) = waiting.remove(&call) {
            // A caller that has gone repeats the call.
            let _ = waiter.send(verdict);
        }
    }

    fn enter(&self) -> (CallId, oneshot::Receiver<Option<(Offset, Verdict)>>) {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (waiter, verdict) = oneshot::channel();
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(call, waiter);
        (call, verdict)
    }
}

/// Builds what the operators' server needs.
pub fn gate(entry: EntryId, events: Sender<Event>, calls: Arc<Calls>, shared: Arc<Shared>) -> Gate {
    let (viewed, sighted, readied) = (shared.clone(), shared.clone(), shared);
    let submitter = entry.clone();
    let submit = move |record: Record| -> crate::rpc::Decision {
        let (calls, events, peer) = (calls.clone(), events.clone(), submitter.clone());
        Box::pin(async move {
            let fail = |cause| Error { step: "append record", peer, cause };
            let (call, verdict) = calls.enter();
            if events.send(Event::OperatorCalled { call, record }).is_err() {
                return Err(fail(Cause::Unavailable(String::from("the entry stops"))));
            }
            match timeout(VERDICT_TIMEOUT, verdict).await {
                Ok(Ok(Some(verdict))) => Ok(verdict),
                Ok(_) => Err(fail(Cause::Unknown(String::from("the entry gave no verdict")))),
                Err(_) => {
                    calls.reply(call, None);
                    let text = format!("the log gave no answer within {VERDICT_TIMEOUT:?}");
                    Err(fail(Cause::Unknown(text)))
                }
            }
        })
    };
    Gate {
        entry,
        submit: Box::new(submit),
        view: Box::new(move || viewed.state()),
        entries: Box::new(move || entries(&sighted)),
        ready: Box::new(move || readied.ready()),
    }
}

fn entries(shared: &Shared) -> Vec<EntryStatus> {
    let status = shared.status();
    let own = EntryStatus {
        id: status.id,
        zone: status.zone,
        incarnation: status.incarnation,
        version: status.version,
        next: status.next,
        age: Duration::ZERO,
        health: if status.ready { Health::Ready } else { Health::Suspected },
    };
    let others = status.peers.into_iter().map(|(id, sight)| EntryStatus {
        id,
        zone: sight.zone,
        incarnation: sight.incarnation,
        version: sight.version,
        next: sight.next,
        age: Duration::from_millis(sight.age_ms),
        health: match sight.health {
            member::Health::Live => Health::Ready,
            member::Health::Suspected => Health::Suspected,
            member::Health::Gone => Health::Gone,
        },
    });
    std::iter::once(own).chain(others).collect()
}
