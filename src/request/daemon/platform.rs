//! The threads that call the platform, with blocking calls and without state of their own.

use {
    super::{Daemon, FULL_LIST_INTERVAL, LIST_INTERVAL, PAGE_CHUNKS, PAGE_RECORDS, RETRY_DELAY},
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

/// Appends queued records to a stream.
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
                stop.wait(RETRY_DELAY);
                None
            }
        };
        daemon.report(Event::Appended { stream, id: record.id, offset });
    }
}

/// Reads a stream from its beginning and waits for new records; after trimming it continues from a
/// snapshot or the first record that is left.
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
                stop.wait(RETRY_DELAY);
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
        daemon.report(event);
    }
    Ok(())
}

/// Reads the newest complete snapshot from the log and reports it to the engine.
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
        daemon.report(Event::SnapshotRead(Box::new(state)));
    }
}

/// First offset that the log still holds, if the requested records were dropped.
fn trimmed(error: &client::Error) -> Option<Offset> {
    match error {
        client::Error::Trimmed { first, .. } => Some(*first),
        _ => None,
    }
}

/// Reads the list of VMs: in full at first and each [`FULL_LIST_INTERVAL`], otherwise only the
/// changes.
pub(super) fn list(daemon: &Daemon, stop: &Stop) -> result::Result<(), String> {
    let client = daemon.client();
    let mut since = None;
    let mut last_full = Instant::now();
    while !stop.wait(LIST_INTERVAL) {
        if last_full.elapsed() >= FULL_LIST_INTERVAL {
            since = None;
        }
        match client.list(since) {
            Ok(list) => {
                if list.since_ms.is_none() {
                    last_full = Instant::now();
                }
                since = Some(list.as_of_ms);
                daemon.report(Event::Listed(list));
            }
            Err(error) => warn!("list: {error}."),
        }
    }
    Ok(())
}

/// Starts the platform's actions on VMs, or reads their progress.
pub(super) fn operate(daemon: &Daemon, stop: &Stop) -> result::Result<(), String> {
    let client = daemon.client();
    loop {
        let (vm, operation) = select! {
            recv(daemon.operation_inbox) -> next => next.map_err(|e| e.to_string())?,
            recv(stop.channel()) -> _ => return Ok(()),
        };
        let found = match vm {
            Some(vm) => client.reboot(&vm, &operation).map(Some),
            None => client.operation(&operation),
        };
        match found {
            Ok(found) => {
                let progress = found.map(|found| found.progress);
                daemon.report(Event::OperationRead { operation, progress });
            }
            Err(error) => warn!("operate: {error}."),
        }
    }
}
