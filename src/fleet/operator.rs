//! Connects the server of operators' calls to the engine.
//!
//! A call waits for the verdict of its record, which this entry reads back from the log. If there
//! is none before the timeout, the outcome is unknown and the operator repeats the call with the
//! same operation id.

use {
    crate::{
        engine::Shared,
        event::{CallId, Event},
        id::{EntryId, Offset},
        member,
        record::Record,
        rpc::{Backend, Cause, Entry, Error, Health},
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

/// Maximum time that a call waits for its verdict.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(10);

/// Sender of the verdict to a waiting call; `None` if the engine gives no verdict.
type Waiter = oneshot::Sender<Option<(Offset, Verdict)>>;

/// Operators' calls that are waiting for a verdict.
#[derive(Default)]
pub struct Calls {
    next: AtomicU64,
    waiting: Mutex<HashMap<CallId, Waiter>>,
}

impl Calls {
    /// Passes a verdict to the call that waits for it; `None` if the engine has no verdict for it.
    pub fn reply(&self, call: CallId, verdict: Option<(Offset, Verdict)>) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(waiter) = waiting.remove(&call) {
            // The send fails if the caller has given up; it repeats the call if it needs the
            // verdict.
            let _ = waiter.send(verdict);
        }
    }

    /// Registers a call; returns its id and the receiver of its verdict.
    fn register(&self) -> (CallId, oneshot::Receiver<Option<(Offset, Verdict)>>) {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (waiter, verdict) = oneshot::channel();
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(call, waiter);
        (call, verdict)
    }
}

/// Builds the backend of the operators' server from the engine's shared state.
pub fn backend(
    entry: EntryId,
    events: Sender<Event>,
    calls: Arc<Calls>,
    shared: Arc<Shared>,
) -> Backend {
    let (for_view, for_entries, for_ready) = (shared.clone(), shared.clone(), shared);
    let submitter = entry.clone();
    let submit = move |record: Record| -> crate::rpc::Decision {
        let (calls, events, peer) = (calls.clone(), events.clone(), submitter.clone());
        Box::pin(async move {
            let fail = |cause| Error { step: "append record", peer, cause };
            let (call, verdict) = calls.register();
            if events.send(Event::OperatorCalled { call, record }).is_err() {
                return Err(fail(Cause::Unavailable(String::from("the entry is stopping"))));
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
    Backend {
        entry,
        submit: Box::new(submit),
        view: Box::new(move || for_view.state()),
        entries: Box::new(move || entries(&for_entries)),
        ready: Box::new(move || for_ready.ready()),
    }
}

/// Status of this entry and of the others, as known here.
fn entries(shared: &Shared) -> Vec<Entry> {
    let status = shared.status();
    let own = Entry {
        id: status.id,
        zone: status.zone,
        incarnation: status.incarnation,
        version: status.version,
        next: status.next,
        age: Duration::ZERO,
        health: if status.ready { Health::Ready } else { Health::Suspected },
    };
    let others = status.peers.into_iter().map(|(id, peer)| Entry {
        id,
        zone: peer.zone,
        incarnation: peer.incarnation,
        version: peer.version,
        next: peer.next,
        age: Duration::from_millis(peer.age_ms),
        health: match peer.health {
            member::Health::Live => Health::Ready,
            member::Health::Suspected => Health::Suspected,
            member::Health::Gone => Health::Gone,
        },
    });
    std::iter::once(own).chain(others).collect()
}
