//! Server for operators' calls, gRPC health checks and reflection, which runs on one thread.

use {
    super::{
        Backend, Cause, Error, MAX_MESSAGE_BYTES, Result, body,
        proto::{
            self,
            operator_server::{Operator, OperatorServer},
        },
        reply,
    },
    crate::{
        burn,
        fleet::Declaration,
        record::{Body, Record},
        state::State,
    },
    std::{
        future::Future,
        net::TcpListener,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::oneshot,
    tonic::{
        Request, Response, Status,
        transport::{Server, server::TcpIncoming},
    },
    tonic_health::server::HealthReporter,
};

/// Maximum time of a call; without a verdict by then, its outcome is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two HTTP/2 keep-alive pings on an idle connection.
const PING_INTERVAL: Duration = Duration::from_secs(10);
/// Time to wait for the reply to a keep-alive ping before the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time that calls in progress get to finish after `stop`.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the entry's readiness is polled.
const READY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of concurrent calls on one connection.
const MAX_CALLS: u32 = 64;
/// Maximum length of an operation id or an author in bytes.
const MAX_NAME_BYTES: usize = 256;

type Answer<T> = std::result::Result<Response<T>, Status>;

/// Serves calls on a separate runtime until `stop` resolves; blocks the thread.
pub fn run(
    listener: TcpListener,
    backend: Backend,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| local_error("start runtime", &backend.entry, &e))?;
    runtime.block_on(serve(listener, backend, stop))
}

/// Serves calls until `stop` resolves; calls in progress then have 5 s to finish.
pub async fn serve(
    listener: TcpListener,
    backend: Backend,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<()> {
    let backend = Arc::new(backend);
    let entry = backend.entry.clone();
    let incoming =
        incoming(listener).map_err(|e| local_error("listen for operators", &entry, &e))?;
    let (reporter, health) = tonic_health::server::health_reporter();
    let health_task = tokio::spawn(report_health(reporter.clone(), backend.clone()));
    let reflection_v1 =
        reflection().build_v1().map_err(|e| local_error("read schema", &entry, &e))?;
    let reflection_v1alpha =
        reflection().build_v1alpha().map_err(|e| local_error("read schema", &entry, &e))?;
    let (stopping, stopped) = oneshot::channel();
    let serving = builder()
        .add_service(health)
        .add_service(reflection_v1)
        .add_service(reflection_v1alpha)
        .add_service(operator(backend))
        .serve_with_incoming_shutdown(incoming, async move {
            stop.await;
            health_task.abort();
            reporter.set_not_serving::<OperatorServer<Service>>().await;
            stopping.send(()).ok();
        });
    let stop_deadline = async move {
        stopped.await.ok();
        tokio::time::sleep(STOP_TIMEOUT).await;
    };
    tokio::select! {
        served = serving => served.map_err(|e| local_error("serve operators", &entry, &e)),
        () = stop_deadline => Ok(()),
    }
}

/// Reflection service, which is built in the current version and in the one that older clients use.
fn reflection() -> tonic_reflection::server::Builder<'static> {
    tonic_reflection::server::Builder::configure()
        .register_encoded_file_descriptor_set(proto::DESCRIPTOR)
        .register_encoded_file_descriptor_set(tonic_health::pb::FILE_DESCRIPTOR_SET)
}

fn builder() -> Server {
    Server::builder()
        .timeout(CALL_TIMEOUT)
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .max_concurrent_streams(MAX_CALLS)
}

fn operator(backend: Arc<Backend>) -> OperatorServer<Service> {
    OperatorServer::new(Service { backend })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

fn incoming(listener: TcpListener) -> std::io::Result<TcpIncoming> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    Ok(TcpIncoming::from(listener).with_nodelay(Some(true)))
}

/// Error of a step on this entry.
fn local_error(step: &'static str, entry: &str, cause: &impl std::fmt::Display) -> Error {
    Error { step, peer: String::from(entry), cause: Cause::Unavailable(cause.to_string()) }
}

/// Updates the health service whenever the entry's readiness changes.
async fn report_health(reporter: HealthReporter, backend: Arc<Backend>) {
    let mut before = None;
    loop {
        let ready = (backend.ready)();
        if before != Some(ready) {
            before = Some(ready);
            match ready {
                true => reporter.set_serving::<OperatorServer<Service>>().await,
                false => reporter.set_not_serving::<OperatorServer<Service>>().await,
            }
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
}

/// Implementation of the operators' service.
struct Service {
    backend: Arc<Backend>,
}

impl Service {
    /// Current state of this entry, or an error that sends the client to another entry while this
    /// one is not ready.
    fn state(&self) -> std::result::Result<Arc<State>, Status> {
        match (self.backend.ready)() {
            true => Ok((self.backend.view)()),
            false => Err(local_error("read state", &self.backend.entry, &"not ready").into()),
        }
    }

    /// Submits a record and replies with its verdict.
    async fn submit(&self, call: Option<proto::Call>, body: Body) -> Answer<proto::Outcome> {
        self.state()?;
        let record = record(call, body)?;
        let (offset, verdict) = (self.backend.submit)(record).await?;
        Ok(Response::new(reply::outcome(offset, &verdict)))
    }
}

/// Builds the record of a call, whose operation id and author must be given.
fn record(call: Option<proto::Call>, body: Body) -> std::result::Result<Record, Status> {
    let call = call.unwrap_or_default();
    for (name, value) in [("operation", &call.operation), ("author", &call.author)] {
        if value.is_empty() || value.len() > MAX_NAME_BYTES {
            let wanted = format!("call.{name} must have 1 to {MAX_NAME_BYTES} bytes");
            return Err(Status::invalid_argument(wanted));
        }
    }
    Ok(Record { operation: call.operation, author: call.author, at: now(), body })
}

/// Time since the Unix epoch.
fn now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl From<Error> for Status {
    fn from(error: Error) -> Self {
        let text = |message: String| format!("{} at {}: {message}", error.step, error.peer);
        match error.cause {
            Cause::Unavailable(message) => Self::unavailable(text(message)),
            Cause::Unknown(message) => Self::deadline_exceeded(text(message)),
            Cause::Invalid(message) => Self::invalid_argument(text(message)),
        }
    }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn apply(&self, request: Request<proto::ApplyRequest>) -> Answer<proto::Outcome> {
        let proto::ApplyRequest { call, declaration, expected } = request.into_inner();
        let declaration: Declaration = serde_json::from_slice(&declaration)
            .map_err(|e| Status::invalid_argument(format!("read declaration: {e}")))?;
        let body = body::apply(self.state()?.as_ref(), declaration, expected);
        self.submit(call, body).await
    }

    async fn drain(&self, request: Request<proto::DrainRequest>) -> Answer<proto::Outcome> {
        let proto::DrainRequest { call, vm } = request.into_inner();
        self.submit(call, Body::Drain { vm }).await
    }

    async fn r#return(&self, request: Request<proto::ReturnRequest>) -> Answer<proto::Outcome> {
        let proto::ReturnRequest { call, vm } = request.into_inner();
        self.submit(call, Body::Return { vm }).await
    }

    async fn r#move(&self, request: Request<proto::MoveRequest>) -> Answer<proto::Outcome> {
        let proto::MoveRequest { call, vm, pool } = request.into_inner();
        let body = body::move_vm(self.state()?.as_ref(), vm, pool)?;
        self.submit(call, body).await
    }

    async fn start_wave(&self, request: Request<proto::WaveRequest>) -> Answer<proto::Outcome> {
        let proto::WaveRequest { call, wave, .. } = request.into_inner();
        self.submit(call, Body::Begin { wave }).await
    }

    async fn pause_wave(&self, request: Request<proto::WaveRequest>) -> Answer<proto::Outcome> {
        let proto::WaveRequest { call, wave, reason: why } = request.into_inner();
        self.submit(call, Body::Pause { wave, why }).await
    }

    async fn resume_wave(&self, request: Request<proto::WaveRequest>) -> Answer<proto::Outcome> {
        let proto::WaveRequest { call, wave, .. } = request.into_inner();
        self.submit(call, Body::Resume { wave }).await
    }

    async fn cancel_wave(&self, request: Request<proto::WaveRequest>) -> Answer<proto::Outcome> {
        let proto::WaveRequest { call, wave, .. } = request.into_inner();
        self.submit(call, Body::Cancel { wave }).await
    }

    async fn status(&self, _: Request<proto::StatusRequest>) -> Answer<proto::StatusReply> {
        Ok(Response::new(reply::status(&(self.backend.view)(), (self.backend.entries)())))
    }

    async fn declaration(
        &self,
        _: Request<proto::DeclarationRequest>,
    ) -> Answer<proto::DeclarationReply> {
        let state = self.state()?;
        let declaration = serde_json::to_vec(&state.declared())
            .map_err(|e| Status::internal(format!("write declaration: {e}")))?;
        let (version, next) = (state.version, state.next);
        Ok(Response::new(proto::DeclarationReply { declaration, version, next }))
    }

    async fn history(
        &self,
        request: Request<proto::HistoryRequest>,
    ) -> Answer<proto::HistoryReply> {
        Ok(Response::new(reply::history(self.state()?.as_ref(), request.get_ref())))
    }

    async fn burn(&self, request: Request<proto::BurnRequest>) -> Answer<proto::BurnReply> {
        let windows = body::windows(request.get_ref())?;
        let state = self.state()?;
        let now = now().max(state.clock);
        let report = burn::report(&burn::objectives(&state), &state.ledger, &windows, now);
        Ok(Response::new(reply::burn(&report)))
    }
}
