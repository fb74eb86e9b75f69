//! Callers' requests at the owner: which queue they address, whether their callers are admitted, and
//! the call of the cell that answers them.

use {
    super::{
        owner::{Driver, LEDGER_UNRESPONSIVE, send, wall_ms},
        peer::{Method, Relay},
    },
    crate::{
        adapter,
        job::{access::Name, answer::Answer, cell::Submission, spec},
    },
    log::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Reason of an answer to a request for which too many others wait.
const TOO_MANY_PENDING: &str = "too many requests wait for an answer";
/// `Retry-After` of a job that this release does not support.
const UNSUPPORTED_RETRY_AFTER: Duration = Duration::from_secs(3_600);
impl Driver {
    /// Answers a caller's request, at once or once the cell has decided.
    pub(super) fn handle_request(
        &mut self,
        now: Instant,
        relay: Relay,
        reply: oneshot::Sender<Answer>,
    ) {
        let Some((queue, rest)) = self.route(&relay) else {
            return send(reply, self.answer_unrouted(&relay));
        };
        let caller = match self.cell.admit(now, &queue, relay.key.as_ref()) {
            Ok(caller) => caller,
            Err(Answer::UnknownKey) if !self.shared.owns_exclusively() => {
                let answer = Answer::refused("the key may be too new to be known", Duration::ZERO);
                return self.turn_away(&relay, &queue, answer, reply);
            }
            Err(answer) => return self.turn_away(&relay, &queue, answer, reply),
        };
        if self.replies.is_full() {
            return self.reject_pending(&relay, &rest, reply);
        }
        if relay.method == Method::Get && rest.is_empty() {
            if let Some(missing) = self.ledger_missing(now) {
                return send(reply, Answer::refused(LEDGER_UNRESPONSIVE, missing));
            }
            let request = self.replies.register(reply);
            return self.cell.count_pending(now, request, &queue);
        }
        let Some(id) = adapter::front::name(&rest) else {
            let why = String::from("a job's name must have 16 lower-case hexadecimal digits");
            return send(
                reply,
                if relay.method == Method::Post { Answer::Malformed(why) } else { Answer::NoJob },
            );
        };
        match relay.method {
            Method::Post => self.submit(now, &relay, (queue, caller), id, reply),
            Method::Get => {
                let request = self.replies.register(reply);
                self.cell.query(request, caller.as_deref(), id);
            }
            Method::Delete => {
                let request = self.replies.register(reply);
                self.cell.cancel(now, request, caller.as_deref(), id);
            }
            Method::Other => send(reply, Answer::Method),
        }
    }

    /// Answer to a request that no queue of the manifest in force serves. It is refused if a newer
    /// manifest may have such a queue: one that is about to be in force, or one that another owner
    /// knows.
    fn answer_unrouted(&self, relay: &Relay) -> Answer {
        if self.cell.manifest().version == 0 {
            return Answer::refused("no manifest is known yet", Duration::ZERO);
        }
        if self.cell.will_route(&relay.host, &relay.path) || !self.shared.owns_exclusively() {
            return Answer::refused("the queue may be too new to be known", Duration::ZERO);
        }
        Answer::NoQueue
    }

    /// Answers a caller that may not use a queue.
    fn turn_away(
        &self,
        relay: &Relay,
        queue: &str,
        answer: Answer,
        reply: oneshot::Sender<Answer>,
    ) {
        let key = relay.key.map(|key| key.to_string()).unwrap_or_default();
        let version = self.cell.manifest().version;
        info!("refuse: queue={queue} key={key} version={version} why=\"{answer}\"");
        self.shared.meter.count_event("refuse_key");
        send(reply, answer);
    }

    fn submit(
        &mut self,
        now: Instant,
        relay: &Relay,
        (queue, organisation): (Rc<str>, Option<Name>),
        id: u64,
        reply: oneshot::Sender<Answer>,
    ) {
        let is_new = !self.cell.jobs().contains_key(&id);
        if let Some(missing) = self.ledger_missing(now).filter(|_| is_new) {
            info!(
                "refuse: job={id:016x} why={LEDGER_UNRESPONSIVE:?} missing_ms={}",
                missing.as_millis()
            );
            return send(reply, Answer::refused(LEDGER_UNRESPONSIVE, missing));
        }
        let advised = self.cell.queue(&queue).is_some_and(|queue| queue.advice.is_some());
        if is_new && advised && self.advisor.is_none() {
            info!("refuse: job={id:016x} queue={queue} why=\"the settings name no advisor\"");
            let why = String::from("the job's queue needs an advisor, and the settings name none");
            return send(reply, Answer::Refused { why, retry_after: UNSUPPORTED_RETRY_AFTER });
        }
        match adapter::front::job(&relay.body) {
            Ok(spec) => {
                let request = self.replies.register(reply);
                let at_ms = wall_ms();
                let submission = Submission { request, queue, organisation, id, spec, at_ms };
                self.cell.submit(now, submission);
            }
            Err(e) => {
                info!("refuse: job={id:016x} why=\"{e}\"");
                send(reply, refusal(&e));
            }
        }
    }

    /// Returns the name of the queue that a request addresses, and the rest of its path.
    fn route(&self, relay: &Relay) -> Option<(Rc<str>, String)> {
        let queue = self.cell.route(&relay.host, &relay.path)?;
        let rest = relay.path.get(queue.prefix.len()..).unwrap_or_default();
        Some((Rc::from(queue.name.as_str()), String::from(rest)))
    }

    /// Answers a request that can't be decided as too many wait. Only of a job that is not known it is
    /// certain that nothing will run.
    fn reject_pending(&self, relay: &Relay, rest: &str, reply: oneshot::Sender<Answer>) {
        self.shared.meter.count_event("refuse_pending");
        let id = adapter::front::name(rest).filter(|_| relay.method == Method::Post);
        let is_new = id.is_some_and(|id| !self.cell.jobs().contains_key(&id));
        let answer = if is_new {
            Answer::refused(TOO_MANY_PENDING, Duration::ZERO)
        } else {
            Answer::overloaded(TOO_MANY_PENDING)
        };
        send(reply, answer);
    }
}

/// Answer to a job that is not accepted. A valid job that this release does not support is refused
/// with a long `Retry-After`; any other is malformed.
fn refusal(error: &spec::Error) -> Answer {
    match error {
        spec::Error::Large(_) => {
            Answer::Refused { why: error.to_string(), retry_after: UNSUPPORTED_RETRY_AFTER }
        }
        _ => Answer::Malformed(error.to_string()),
    }
}
