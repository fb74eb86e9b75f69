//! Servers for callers' requests and for the load balancer's readiness check, over HTTP/1.1.

use {
    super::{
        internal,
        listener::Listener,
        peer::{Method, Relay},
        shared::Shared,
    },
    crate::{
        adapter,
        intake::{self, Connection, Guard, Stream},
        job::{access::Key, answer::Answer},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER},
        service::service_fn,
    },
    log::{debug, info},
    std::{
        convert::Infallible,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        sync::watch,
        task::{spawn_local, yield_now},
        time::sleep,
    },
};

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Longest part of a path in a log line, in bytes.
const MAX_LOGGED_PATH_BYTES: usize = 128;
/// Part of a deadline that is kept for sending the answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(60);

/// Accepts callers' connections until a planned stop closes the listener.
pub async fn serve(shared: Rc<Shared>, listener: Listener) {
    let mut stopping = shared.stopping.subscribe();
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            () = serving_ended(&mut stopping) => return,
        };
        match shared.intake.connect() {
            Ok(connection) => {
                spawn_local(serve_connection(Rc::clone(&shared), connection, stream));
                // Has a connection that was closed for this one end first.
                yield_now().await;
            }
            Err(e) => debug!("front: connection refused: {e}"),
        }
    }
}

async fn serve_connection(shared: Rc<Shared>, connection: Connection, stream: TcpStream) {
    let mut stopping = shared.stopping.subscribe();
    let service = service_fn(|request| handle(Rc::clone(&shared), &connection, request));
    let limits = shared.intake.limits();
    let stream = Stream::new(stream, limits.write_timeout);
    let serving = intake::builder(limits).serve_connection(stream, service);
    let mut serving = std::pin::pin!(serving);
    let outcome = tokio::select! {
        outcome = serving.as_mut() => outcome,
        () = connection.closing() => return,
        () = serving_ended(&mut stopping) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(e) = outcome {
        shared.intake.count_error(&e);
        debug!("front: connection of a caller ended: {e}");
    }
}

/// Returns once a planned stop no longer serves connections.
async fn serving_ended(stopping: &mut watch::Receiver<Option<Instant>>) {
    let until = match stopping.wait_for(Option::is_some).await {
        Ok(until) => *until,
        Err(_) => None,
    };
    if let Some(until) = until {
        sleep(until.saturating_duration_since(Instant::now())).await;
    }
}

async fn handle(
    shared: Rc<Shared>,
    connection: &Connection,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let begun = Instant::now();
    let open = shared.open_request();
    let path = String::from(request.uri().path());
    let method = match request.method().as_str() {
        "POST" => Method::Post,
        "GET" => Method::Get,
        "DELETE" => Method::Delete,
        _ => Method::Other,
    };
    let answer = answer(&shared, connection, request, method).await;
    connection.wait();
    drop(open);
    let status = answer.status();
    let took = begun.elapsed();
    shared.meter.count_answer(method, status, took);
    if status >= 500 {
        let path = &path[..path.floor_char_boundary(MAX_LOGGED_PATH_BYTES)];
        info!(
            "answer: path={path} method={method:?} status={status} ms={} why={answer}",
            took.as_millis()
        );
    }
    Ok(respond(&answer, shared.stopping.borrow().is_some()))
}

async fn answer(
    shared: &Shared,
    connection: &Connection,
    request: Request<Incoming>,
    method: Method,
) -> Answer {
    if method == Method::Other {
        return Answer::Method;
    }
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let host = header(HOST.as_str()).unwrap_or_default();
    let host = String::from(host.split(':').next().unwrap_or_default());
    let deadline = header(adapter::front::DEADLINE).and_then(|ms| ms.parse().ok());
    let deadline = shared.limit_deadline(deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis));
    let key = header(adapter::front::KEY).map(Key::new);
    let path = String::from(request.uri().path());
    let limits = shared.intake.limits();
    let reservation = shared.intake.begin_body();
    let body = request.into_body();
    let body = intake::read(body, reservation, limits.body_bytes, limits.body_timeout).await;
    let body = match body {
        Ok(body) => body,
        Err(e) if e.is_temporary() => return Answer::overloaded(e.to_string()),
        Err(e) => return Answer::Malformed(e.to_string()),
    };
    connection.handle();
    let limit = deadline.saturating_sub(ANSWER_RESERVE).max(ANSWER_RESERVE);
    shared.serve(Relay { method, host, path, body, key }, limit).await
}

fn respond(answer: &Answer, stopping: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(adapter::front::body(answer))));
    *response.status_mut() =
        StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(delay) = answer.retry_after() {
        // The header has whole seconds: a caller that comes too early is refused again.
        let seconds = delay.as_millis().div_ceil(1_000) as u64;
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
    if stopping {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Answers the load balancer's readiness check.
pub async fn serve_ready(shared: Rc<Shared>, listener: Listener, guard: Arc<Guard>) {
    let respond = move |request: &Request<Incoming>| {
        let ready = shared.ready() && request.uri().path() == adapter::front::READY;
        let mut response = Response::new(Full::new(Bytes::new()));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    };
    internal::serve("front", listener, guard, respond).await;
}
