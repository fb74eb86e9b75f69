//! HTTP/1.1 server for the platform's own short requests: the readiness check and the metrics.

use {
    super::listener::Listener,
    crate::intake::{self, Guard, Stream},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, service::service_fn},
    std::{convert::Infallible, rc::Rc, sync::Arc},
    tokio::{
        net::TcpStream,
        select,
        task::{spawn_local, yield_now},
    },
};

/// Serves requests whose bodies are not read; `part` prefixes the log lines.
pub async fn serve(
    part: &'static str,
    listener: Listener,
    guard: Arc<Guard>,
    respond: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>> + 'static,
) {
    let respond = Rc::new(respond);
    loop {
        let stream = listener.accept().await;
        spawn_local(connection(part, Arc::clone(&guard), stream, Rc::clone(&respond)));
        // Has a connection that was closed for this one end first.
        yield_now().await;
    }
}

async fn connection(
    part: &'static str,
    guard: Arc<Guard>,
    stream: TcpStream,
    respond: Rc<impl Fn(&Request<Incoming>) -> Response<Full<Bytes>>>,
) {
    let Ok(connection) = guard.connect() else { return };
    let service = service_fn(|request| {
        let response = respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let limits = guard.limits();
    let stream = Stream::new(stream, limits.write_timeout);
    let outcome = select! {
        outcome = intake::builder(limits).serve_connection(stream, service) => outcome,
        () = connection.closing() => return,
    };
    if let Err(e) = outcome {
        log::debug!("{part}: connection of the platform ended: {e}");
    }
}
