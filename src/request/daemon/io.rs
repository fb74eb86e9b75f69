//! The parts that run on asynchronous runtimes: callers, endpoints, links, and operators' calls.

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

pub(super) fn run(daemon: &Daemon, stop: &Stop) -> result::Result<(), String> {
    let runtime = runtime()?;
    let ended = runtime.block_on(async {
        let opened = take(&daemon.listeners).ok_or("the listeners were taken already")?;
        let callers = tokio_listener(opened.callers)?;
        let links = tokio_listener(opened.links)?;
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
        info!("server: Accepts callers at {}.", daemon.settings.callers);
        let serve = server::serve(callers, daemon.server.clone(), daemon.stopping.subscribe());
        let served = async {
            let served = serve.await;
            daemon.served.store(true, Ordering::Relaxed);
            // Links stay open until the engine ends the tree.
            asked(stop).await;
            served
        };
        tokio::select! {
            served = served => served.map_err(|e| format!("serve callers: {e}")),
            () = asked(stop) => Ok(()),
        }
    });
    // Connections that are still open end with the process.
    runtime.shutdown_background();
    ended
}

async fn send_messages(mut links: Links, mut inbox: mpsc::UnboundedReceiver<Outgoing>) {
    while let Some((link, message)) = inbox.recv().await {
        links.send(link, message);
    }
}

fn take<T>(place: &Mutex<Option<T>>) -> Option<T> {
    place.lock().unwrap_or_else(PoisonError::into_inner).take()
}

async fn probe_endpoints(events: Sender<Event>, mut inbox: mpsc::UnboundedReceiver<Probe>) {
    while let Some((vm, address)) = inbox.recv().await {
        let events = events.clone();
        tokio::spawn(async move {
            let reachable = exchange::probe(address).await;
            // The engine is gone only while the whole process ends.
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

async fn asked(stop: &Stop) {
    while !stop.asked() {
        tokio::time::sleep(TICK).await;
    }
}

pub(super) fn run_rpc(daemon: &Daemon, stop: &Stop) -> result::Result<(), String> {
    let address = daemon.settings.rpc;
    let listener = TcpListener::bind(address)
        .map_err(|e| format!("listen for operators at {address}: {e}"))?;
    let (entry, events) = (daemon.me.id.clone(), daemon.events.clone());
    let gate = operator::gate(entry, events, daemon.calls.clone(), daemon.shared.clone());
    let stop = stop.clone();
    let stopped = async move { asked(&stop).await };
    rpc::run(listener, gate, stopped).map_err(|e| e.to_string())
}
