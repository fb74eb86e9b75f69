//! Drives one request from admission to its answer, in a task that outlives the caller's
//! connection.

use {
    super::{Command, Origin, Server, receive::Template, response},
    crate::{
        body::{self, Sender},
        event::{End, Event, RequestId},
        exchange::{self, Body, Reply},
        id::AttemptId,
        intake::Buffer,
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

/// Reports a request to the engine and carries out the engine's commands until it is answered.
pub(super) async fn drive(
    server: Arc<Server>,
    request: Request,
    mut template: Template,
    origin: Origin,
    mut answer: oneshot::Sender<Response<Body>>,
) {
    let id = server.next_id.fetch_add(1, Ordering::Relaxed);
    let (sender, mut commands) = mpsc::unbounded_channel();
    let _registration = Registration::new(&server, id, sender);
    let deadline = request.deadline.into();
    let mut driver = Driver { server: server.clone(), id, request: request.clone(), deadline };
    let fingerprint = template.fingerprint();
    let repeatable = template.body.rest.is_none();
    let relayed = origin == Origin::Entry;
    server.report(Event::Arrived { id, request, fingerprint, repeatable, relayed });
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            _ = answer.closed() => None,
        };
        let Some(command) = command else {
            return server.report(Event::Cancelled { id });
        };
        if let Command::Finish(finish) = command {
            // Sending fails only if the caller has disconnected.
            let _ = answer.send(response::finished(finish));
            return;
        }
        if let Some(response) = driver.attempt(command, &mut template).await {
            let _ = answer.send(response);
            return;
        }
    }
}

/// Makes the attempts at one request.
struct Driver {
    server: Arc<Server>,
    id: RequestId,
    request: Request,
    deadline: Instant,
}

impl Driver {
    /// Makes one attempt; returns its response, or reports its failure to the engine.
    async fn attempt(
        &mut self,
        command: Command,
        template: &mut Template,
    ) -> Option<Response<Body>> {
        let limits = &self.server.limits;
        let idle = Duration::from_millis(limits.idle_ms);
        let request = template.request(limits.body_bytes, idle);
        let buffer = Buffer::new(self.server.guard.begin_relayed_body());
        let (class, id) = (self.request.class, self.id);
        let (attempt, result) = match command {
            Command::Run { attempt, address, until } => {
                let until = until.into();
                let call = exchange::Call { address, attempt, class, until, idle, request, buffer };
                (attempt, exchange::run(call).await)
            }
            Command::Relay { attempt, link, until } => {
                let relays = &self.server.relays;
                let until = until.into();
                let relayed = relays.run(link, &self.request, request, until, idle, buffer);
                (attempt, relayed.await)
            }
            Command::Finish(_) => return None,
        };
        match result {
            Err(end) => {
                self.server.report(Event::Ended { id, attempt, end });
                None
            }
            Ok(reply) => {
                let server = self.server.clone();
                let reporter = Reporter { server, id, attempt, end: None };
                Some(pass_on(reply, reporter, idle, self.deadline))
            }
        }
    }
}

/// Registration of a driven request, removed when this is dropped.
struct Registration {
    server: Arc<Server>,
    id: RequestId,
}

impl Registration {
    fn new(server: &Arc<Server>, id: RequestId, sender: mpsc::UnboundedSender<Command>) -> Self {
        server.open.fetch_add(1, Ordering::Relaxed);
        server.drivers.lock().unwrap_or_else(PoisonError::into_inner).insert(id, sender);
        Self { server: server.clone(), id }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.server.open.fetch_sub(1, Ordering::Relaxed);
        self.server.drivers.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}

/// Reports the end of an attempt to the engine when dropped: [`End::Truncated`] unless its whole
/// response has been passed on.
struct Reporter {
    server: Arc<Server>,
    id: RequestId,
    attempt: AttemptId,
    end: Option<End>,
}

impl Reporter {
    /// Records that the whole response has been passed on.
    fn complete(mut self, end: End) {
        self.end = Some(end);
    }
}

impl Drop for Reporter {
    fn drop(&mut self) {
        let end = self.end.take().unwrap_or(End::Truncated);
        self.server.report(Event::Ended { id: self.id, attempt: self.attempt, end });
    }
}

/// Builds the caller's response; a task copies the unread rest of its body.
fn pass_on(
    mut reply: Reply,
    reporter: Reporter,
    idle: Duration,
    deadline: Instant,
) -> Response<Body> {
    let (mut parts, buffered) = std::mem::take(&mut reply.head).into_parts();
    let outcome = if parts.status.is_server_error() { Outcome::Failed } else { Outcome::Done };
    let relayed = matches!(reply.end, End::Relayed);
    if let Some(value) = outcome.to_string().parse().ok().filter(|_| !relayed) {
        parts.headers.insert(OUTCOME_HEADER, value);
    }
    let Some(rest) = &reply.rest else {
        reporter.complete(reply.end);
        return Response::from_parts(parts, body::whole(buffered));
    };
    let size = rest.size_hint().exact().map(|rest| rest + buffered.len() as u64);
    let (sender, body) = body::channel(size);
    tokio::spawn(async move {
        let first = sender.send(Ok(Frame::data(buffered))).await;
        if first.is_ok() && copy(&mut reply, sender, idle, deadline).await.is_ok() {
            reporter.complete(reply.end);
        }
    });
    Response::from_parts(parts, body)
}

/// The caller has disconnected, or the response broke off, which the caller detects itself.
struct Interrupted;

/// Copies the unread rest of a response's body to the caller.
async fn copy(
    reply: &mut Reply,
    sender: Sender,
    idle: Duration,
    deadline: Instant,
) -> result::Result<(), Interrupted> {
    let Some(rest) = &mut reply.rest else {
        return Ok(());
    };
    loop {
        let frame = tokio::select! {
            frame = timeout_at(deadline, rest.frame()) => frame,
            _ = sender.closed() => return Err(Interrupted),
        };
        let frame = match frame {
            Ok(None) => return Ok(()),
            Ok(Some(frame)) => frame,
            Err(_) => Err("the response was incomplete at the request's deadline".into()),
        };
        let failed = frame.is_err();
        let sent = timeout(idle, sender.send(frame)).await;
        if failed || !matches!(sent, Ok(Ok(()))) {
            return Err(Interrupted);
        }
    }
}
