//! Takeover of the cell: a new owner fences off previous owners and reads the ledger before it
//! serves.

use {
    super::{event::Event, follow::operators_record, store::Store},
    crate::{
        adapter::{
            manifest,
            store::{Error, JOBS},
        },
        job::{cell::Cell, claim::Epoch, clock, ledger::Record},
    },
    log::warn,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Number of times that the operators' records are read at most before the owner serves.
const MANIFEST_READS: usize = 3;
/// Delay before a call that the store did not answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Fences off previous owners and restores the cell from the ledger.
pub(super) async fn run(
    cell: &mut Cell,
    store: &Store,
    epoch: Epoch,
    wall_ms: u64,
) -> Result<(), Error> {
    retry(|| store.fence(JOBS, epoch)).await?;
    let (ledger, manifest) = tokio::join!(retry(|| store.all(JOBS)), read_operators_records(store));
    cell.restore_all(clock::now(), wall_ms, ledger?.records);
    let Some((records, sent)) = manifest else { return Ok(()) };
    for event in records.iter().filter_map(operators_record) {
        if let Event::Manifest(manifest) = event {
            cell.update_manifest(manifest);
        }
    }
    cell.records_read(sent);
    Ok(())
}

/// Reads the newest manifest, which may have withdrawn keys since the former owner last read it, and
/// returns when the read was sent. If the store doesn't answer, the owner goes on with the manifest of
/// the ledger.
async fn read_operators_records(store: &Store) -> Option<(Vec<Record>, Instant)> {
    for _ in 0..MANIFEST_READS {
        let sent = clock::now();
        match store.all(manifest::TOPIC).await {
            Ok(page) => return Some((page.records, sent)),
            Err(e) => warn!("owner: read manifest: {e}"),
        }
        sleep(RETRY_DELAY).await;
    }
    None
}

/// Retries a call as long as the store refuses it or does not answer.
async fn retry<T, F: Future<Output = Result<T, Error>>>(call: impl Fn() -> F) -> Result<T, Error> {
    loop {
        match call().await {
            Err(Error::Refused(_) | Error::NoAnswer(_)) => sleep(RETRY_DELAY).await,
            outcome => return outcome,
        }
    }
}
