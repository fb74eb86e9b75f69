//! Drives one request from admission to its answer, in a task that outlives the caller's connection.

use {
    super::{Origin, Server, Step, answer, intake::Source},
    crate::{
        body::{self, Sender},
        event::{End, Event, RequestId},
        exchange::{self, Body, Reply},
        id::AttemptId,
        request::{OUTCOME_HEADER, Outcome, Request},
    },
    http_body_util::BodyExt,
    hyper::{
        Response,
        body::{Body as _, Frame},
    },
    std::{
        result,
        sync::{Arc, PoisonError, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, timeout, timeout_at},
    },
};

/// Takes a request from admission to its answer.
pub(super) async fn drive(
    server: Arc<Server>,
    request: Request,
    mut source: Source,
    origin: Origin,
    mut answer: oneshot::Sender<Response<Body>>,
) {
    let id = server.next.fetch_add(1, Ordering::Relaxed);
    let (sender, mut steps) = mpsc::unbounded_channel();
    let _entered = Entered::new(&server, id, sender);
    let deadline = request.deadline.into();
    let mut attempts = Attempts { server: server.clone(), id, request: request.clone(), deadline };
    let fingerprint = source.fingerprint();
    let repeatable = source.held.rest.is_none();
    let relayed = origin == Origin::Entry;
    server.tell(Event::Arrived { id, request, fingerprint, repeatable, relayed });
    loop {
        let step = tokio::select! {
            step = steps.recv() => step,
            _ = answer.closed() => None,
        };
        let Some(step) = step else {
            return server.tell(Event::Cancelled { id });
        };
        if let Step::Finish(finish) = step {
            // A caller that has gone needs no answer.
            let _ = answer.send(answer::finished(finish));
            return;
        }
        if let Some(response) = attempts.make(step, &mut source).await {
            let _ = answer.send(response);
            return;
        }
    }
}

/// Makes the attempts at one request.
struct Attempts {
    server: Arc<Server>,
    id: RequestId,
    request: Request,
    deadline: Instant,
}

impl Attempts {
    /// Makes one attempt; a response if it got that far, otherwise the engine is told.
    async fn make(&mut self, step: Step, source: &mut Source) -> Option<Response<Body>> {
        let limits = &self.server.limits;
        let idle = Duration::from_millis(limits.idle_ms);
        let request = source.take(limits.body_bytes, idle);
        let (class, id) = (self.request.class, self.id);
        let (attempt, made) = match step {
            Step::Run { attempt, address, until } => {
                let until = until.into();
                let call = exchange::Call { address, attempt, class, until, idle, request };
                (attempt, exchange::run(call).await)
            }
            Step::Relay { attempt, link, until } => {
                let relays = &self.server.relays;
                let made = relays.run(link, &self.request, request, until.into(), idle);
                (attempt, made.await)
            }
            Step::Finish(_) => return None,
        };
        match made {
            Err(end) => {
                self.server.tell(Event::Ended { id, attempt, end });
                None
            }
            Ok(reply) => {
                let server = self.server.clone();
                let watch = Watch { server, id, attempt, end: None };
                Some(pass_on(reply, watch, idle, self.deadline))
            }
        }
    }
}

/// Counts a driven request and its place among the waiters.
struct Entered {
    server: Arc<Server>,
    id: RequestId,
}

impl Entered {
    fn new(server: &Arc<Server>, id: RequestId, sender: mpsc::UnboundedSender<Step>) -> Self {
        server.open.fetch_add(1, Ordering::Relaxed);
        server.waiters.lock().unwrap_or_else(PoisonError::into_inner).insert(id, sender);
        Self { server: server.clone(), id }
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.server.open.fetch_sub(1, Ordering::Relaxed);
        self.server.waiters.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}

/// Reports an attempt's end once its answer has been passed on, or has broken off.
struct Watch {
    server: Arc<Server>,
    id: RequestId,
    attempt: AttemptId,
    end: Option<End>,
}

impl Watch {
    /// The whole answer was passed on.
    fn passed(mut self, end: End) {
        self.end = Some(end);
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        let end = self.end.take().unwrap_or(End::Truncated);
        self.server.tell(Event::Ended { id: self.id, attempt: self.attempt, end });
    }
}

fn pass_on(mut reply: Reply, watch: Watch, idle: Duration, deadline: Instant) -> Response<Body> {
    let (mut parts, held) = std::mem::take(&mut reply.head).into_parts();
    let said = if parts.status.is_server_error() { Outcome::Failed } else { Outcome::Done };
    let relayed = matches!(reply.end, End::Relayed);
    if let Some(value) = said.to_string().parse().ok().filter(|_| !relayed) {
        parts.headers.insert(OUTCOME_HEADER, value);
    }
    let Some(rest) = &reply.rest else {
        watch.passed(reply.end);
        return Response::from_parts(parts, body::whole(held));
    };
    let size = rest.size_hint().exact().map(|rest| rest + held.len() as u64);
    let (sender, body) = body::channel(size);
    tokio::spawn(async move {
        let first = sender.send(Ok(Frame::data(held))).await;
        if first.is_ok() && copy(&mut reply, sender, idle, deadline).await.is_ok() {
            watch.passed(reply.end);
        }
    });
    Response::from_parts(parts, body)
}

/// The caller has gone, or the answer broke off, which the caller sees.
struct Broken;

/// Passes on an answer's body until its end.
async fn copy(
    reply: &mut Reply,
    sender: Sender,
    idle: Duration,
    deadline: Instant,
) -> result::Result<(), Broken> {
    let Some(rest) = &mut reply.rest else {
        return Ok(());
    };
    loop {
        let frame = tokio::select! {
            frame = timeout_at(deadline, rest.frame()) => frame,
            _ = sender.closed() => return Err(Broken),
        };
        let frame = match frame {
            Ok(None) => return Ok(()),
            Ok(Some(frame)) => frame,
            Err(_) => Err("the answer was not whole by the request's deadline".into()),
        };
        let failed = frame.is_err();
        let sent = timeout(idle, sender.send(frame)).await;
        if failed || !matches!(sent, Ok(Ok(()))) {
            return Err(Broken);
        }
    }
}
