//! The parts that call the platform: each blocks in its own thread and keeps nothing.

use {
    super::{Daemon, LIST_INTERVAL, PAGE_CHUNKS, PAGE_RECORDS, PAUSE, WHOLE_INTERVAL},
    crate::{
        client::{self, Client},
        engine,
        event::{Event, Stream},
        id::Offset,
        snapshot::{self, Collector},
        supervise::Stop,
    },
    crossbeam::select,
    log::warn,
    std::{
        result,
        time::{Duration, Instant},
    },
};

pub(super) fn append(daemon: &Daemon, stop: &Stop, stream: Stream) -> result::Result<(), String> {
    let client = daemon.client();
    let (_, inbox) = daemon.queue(stream);
    loop {
        let (stream, record) = select! {
            recv(inbox) -> next => next.map_err(|e| e.to_string())?,
            recv(stop.channel()) -> _ => return Ok(()),
        };
        let offset = match client.append(engine::stream_name(stream), &record) {
            Ok(appended) => Some(appended.offset),
            Err(error) => {
                warn!("append: {error}.");
                stop.wait(PAUSE);
                None
            }
        };
        daemon.tell(Event::Appended { stream, id: record.id, offset });
    }
}

pub(super) fn follow(daemon: &Daemon, stop: &Stop, stream: Stream) -> result::Result<(), String> {
    let client = daemon.client();
    let mut from = 0;
    let mut wait = Duration::ZERO;
    while !stop.asked() {
        let event = match client.read(engine::stream_name(stream), from, PAGE_RECORDS, wait) {
            Ok(page) => {
                from = page.records.last().map_or(from, |last| last.offset + 1);
                wait = if from >= page.end { client::READ_WAIT } else { Duration::ZERO };
                Event::Read { stream, page }
            }
            Err(error) => {
                warn!("follow: {error}.");
                stop.wait(PAUSE);
                let first = trimmed(&error);
                from = match (stream, first) {
                    (Stream::Fleet, Some(_)) => {
                        find_snapshot(daemon, &client);
                        daemon.shared.state().next
                    }
                    (Stream::Fleet, None) => daemon.shared.state().next,
                    (_, first) => from.max(first.unwrap_or(0)),
                };
                Event::ReadFailed { stream, first }
            }
        };
        daemon.tell(event);
    }
    Ok(())
}

/// Reads the newest snapshot in the log.
fn find_snapshot(daemon: &Daemon, client: &Client) {
    let mut collector = Collector::default();
    let mut from = 0;
    loop {
        let page = match client.read(snapshot::STREAM, from, PAGE_CHUNKS, Duration::ZERO) {
            Ok(page) => page,
            Err(client::Error::Trimmed { first, .. }) if first > from => {
                from = first;
                continue;
            }
            Err(error) => {
                warn!("follow: {error}.");
                break;
            }
        };
        let Some(last) = page.records.last() else {
            break;
        };
        from = last.offset + 1;
        for record in page.records {
            let chunk = record.decode().map_err(|e| e.to_string());
            if let Err(error) = chunk.and_then(|c| collector.push(c).map_err(|e| e.to_string())) {
                warn!("follow: {error}.");
            }
        }
    }
    if let Some(state) = collector.newest() {
        daemon.tell(Event::SnapshotRead(Box::new(state)));
    }
}

fn trimmed(error: &client::Error) -> Option<Offset> {
    match error {
        client::Error::Trimmed { first, .. } => Some(*first),
        _ => None,
    }
}

/// Reads the whole list at first and now and then, in between only what has changed.
pub(super) fn list(daemon: &Daemon, stop: &Stop) -> result::Result<(), String> {
    let client = daemon.client();
    let mut since = None;
    let mut whole = Instant::now();
    while !stop.wait(LIST_INTERVAL) {
        if whole.elapsed() >= WHOLE_INTERVAL {
            since = None;
        }
        match client.list(since) {
            Ok(list) => {
                if list.since_ms.is_none() {
                    whole = Instant::now();
                }
                since = Some(list.as_of_ms);
                daemon.tell(Event::Listed(list));
            }
            Err(error) => warn!("list: {error}."),
        }
    }
    Ok(())
}

pub(super) fn operate(daemon: &Daemon, stop: &Stop) -> result::Result<(), String> {
    let client = daemon.client();
    loop {
        let (vm, operation) = select! {
            recv(daemon.order_inbox) -> next => next.map_err(|e| e.to_string())?,
            recv(stop.channel()) -> _ => return Ok(()),
        };
        let found = match vm {
            Some(vm) => client.reboot(&vm, &operation).map(Some),
            None => client.operation(&operation),
        };
        match found {
            Ok(found) => {
                let progress = found.map(|found| found.progress);
                daemon.tell(Event::OperationRead { operation, progress });
            }
            Err(error) => warn!("operate: {error}."),
        }
    }
}
