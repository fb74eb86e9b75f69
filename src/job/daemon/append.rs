//! Appends batches of records to the ledger.
//!
//! An append whose answer is lost is repeated under the same sequence number, which is harmless. One that
//! the store rejects for good blocks everything behind it, so that is logged as an error and counted.

use {
    super::{event::Event, shared::Shared, store::Store},
    crate::{
        adapter::store::{Error, JOBS, Sequence},
        job::ledger::Record,
    },
    log::{debug, error, warn},
    std::{rc::Rc, time::Duration},
    tokio::{sync::mpsc::UnboundedSender, time::sleep},
};

/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Delay before an append is retried that the store has rejected for good.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Appends the groups of a batch in order. Each is retried as long as the store refuses it or does
/// not answer.
pub(super) async fn run(
    shared: Rc<Shared>,
    store: Rc<Store>,
    events: UnboundedSender<Event>,
    groups: Vec<Vec<Record>>,
    first: Sequence,
) {
    let mut outcome = Ok(());
    for (records, number) in groups.iter().zip(first.number..) {
        outcome = append_group(&shared, &store, records, Sequence { number, ..first }).await;
        if outcome.is_err() {
            break;
        }
    }
    if events.send(Event::Appended(outcome)).is_err() {
        debug!("owner: dropped the outcome of an append after ownership was lost");
    }
}

async fn append_group(
    shared: &Shared,
    store: &Store,
    records: &[Record],
    at: Sequence,
) -> Result<(), Error> {
    loop {
        match store.append(JOBS, records, at).await {
            Ok(_) => return Ok(()),
            Err(Error::Refused(_)) => sleep(RETRY_DELAY).await,
            Err(Error::NoAnswer(why)) => {
                warn!("owner: epoch={} append={} answer=none why={why:?}", at.epoch, at.number);
                sleep(RETRY_DELAY).await;
            }
            Err(Error::Rejected(status)) => {
                shared.meter.count_event("append_rejected");
                log_rejection(status, records, at);
                sleep(REJECTED_RETRY_DELAY).await;
            }
            Err(e) => return Err(e),
        }
    }
}

/// Logs which append the store has rejected for good. Nothing behind it is stored.
fn log_rejection(status: u16, records: &[Record], at: Sequence) {
    let bytes: usize = records.iter().map(Record::stored_bytes).sum();
    let largest = records.iter().max_by_key(|record| record.stored_bytes());
    error!(
        "owner: epoch={} append={} rejected={status} records={} bytes={bytes} largest={} \
         largest_bytes={}",
        at.epoch,
        at.number,
        records.len(),
        largest.map_or("", |record| record.key.as_str()),
        largest.map_or(0, Record::stored_bytes)
    );
}
