//! The threads with async runtimes: callers, endpoints and links (`io`), and operators' calls
//! (`rpc`).

use {
    super::{Daemon, Outgoing, Probe, TICK},
    crate::{
        event::Event,
        exchange,
        link::{self, Links, Local},
        operator, rpc, server,
        supervise::Stop,
    },
    crossbeam::channel::Sender,
    log::info,
    std::{
        net::TcpListener,
        result,
        sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    },
    tokio::{
        net,
        runtime::{Builder, Runtime},
        sync::mpsc,
    },
};

/// Serves callers and links, and probes endpoints.
pub(super) fn run(daemon: &Daemon, stop: &Stop) -> result::Result<(), String> {
    let runtime = runtime()?;
    let result = runtime.block_on(async {
        let listeners = take(&daemon.listeners).ok_or("the listeners are already in use")?;
        let callers = tokio_listener(listeners.callers)?;
        let links = tokio_listener(listeners.links)?;
        let local = Arc::new(Local {
            id: daemon.me.id.clone(),
            incarnation: daemon.me.incarnation,
            events: daemon.events.clone(),
            traffic: daemon.shared.traffic().clone(),
        });
        tokio::spawn(link::listen(links, local.clone(), daemon.server.clone()));
        if let Some(inbox) = take(&daemon.outgoing_inbox) {
            tokio::spawn(send_messages(Links::new(local), inbox));
        }
        if let Some(inbox) = take(&daemon.probe_inbox) {
            tokio::spawn(probe_endpoints(daemon.events.clone(), inbox));
        }
        info!("server: Accepting callers at {}.", daemon.settings.callers);
        let serve = server::serve(callers, daemon.server.clone(), daemon.stopping.subscribe());
        let served = async {
            let served = serve.await;
            daemon.served.store(true, Ordering::Relaxed);
            // Links stay open until the engine has stopped, which stops this thread.
            stop_requested(stop).await;
            served
        };
        tokio::select! {
            served = served => served.map_err(|e| format!("serve callers: {e}")),
            () = stop_requested(stop) => Ok(()),
        }
    });
    // Connections that are still open are closed when the process ends.
    runtime.shutdown_background();
    result
}

/// Sends the engine's messages over links.
async fn send_messages(mut links: Links, mut inbox: mpsc::UnboundedReceiver<Outgoing>) {
    while let Some((link, message)) = inbox.recv().await {
        links.send(link, message);
    }
}

/// Takes a value that only one thread may use.
fn take<T>(place: &Mutex<Option<T>>) -> Option<T> {
    place.lock().unwrap_or_else(PoisonError::into_inner).take()
}

/// Probes endpoints and reports the results to the engine.
async fn probe_endpoints(events: Sender<Event>, mut inbox: mpsc::UnboundedReceiver<Probe>) {
    while let Some((vm, address)) = inbox.recv().await {
        let events = events.clone();
        tokio::spawn(async move {
            let reachable = exchange::probe(address).await;
            // The receiver is closed only while the whole process ends.
            let _ = events.send(Event::Probed { vm, reachable });
        });
    }
}

fn runtime() -> result::Result<Runtime, String> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("start the runtime: {e}"))
}

fn tokio_listener(listener: TcpListener) -> result::Result<net::TcpListener, String> {
    net::TcpListener::from_std(listener).map_err(|e| format!("use a listener: {e}"))
}

/// Waits until the thread is asked to stop.
async fn stop_requested(stop: &Stop) {
    while !stop.asked() {
        tokio::time::sleep(TICK).await;
    }
}

/// Serves operators' calls.
pub(super) fn run_rpc(daemon: &Daemon, stop: &Stop) -> result::Result<(), String> {
    let address = daemon.settings.rpc;
    let listener = TcpListener::bind(address)
        .map_err(|e| format!("listen for operators at {address}: {e}"))?;
    let (entry, events) = (daemon.me.id.clone(), daemon.events.clone());
    let backend = operator::backend(entry, events, daemon.calls.clone(), daemon.shared.clone());
    let stop = stop.clone();
    let stopped = async move { stop_requested(&stop).await };
    rpc::run(listener, backend, stopped).map_err(|e| e.to_string())
}
