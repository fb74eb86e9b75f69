//! Reports to the operators on how far maintenance waves are.
//!
//! One task stores them one after the other, in a sequence of the owner's epoch. A report that got no
//! answer is repeated before the next one is sent, and the store accepts neither a late repetition nor
//! a report of a former owner. So the last report that it holds on a wave is the newest.

use {
    super::store::Store,
    crate::{
        adapter::{
            manifest,
            store::{Error, Sequence},
        },
        job::{claim::Epoch, ledger::Record, upkeep},
    },
    log::{error, info, warn},
    std::{rc::Rc, time::Duration},
    tokio::{
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        task::JoinSet,
        time::sleep,
    },
};

/// Delay before a report is sent again that the store has not confirmed.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A report on a maintenance wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of the wave.
    pub wave: upkeep::Number,
    /// Whether it is complete.
    pub complete: bool,
}

/// Spawns the task that stores reports, and returns where they are sent.
pub fn spawn(tasks: &mut JoinSet<()>, store: &Rc<Store>, epoch: Epoch) -> UnboundedSender<Report> {
    let (sender, receiver) = unbounded_channel();
    tasks.spawn_local(store_all(Rc::clone(store), epoch, receiver));
    sender
}

/// Stores reports in their order, until a newer owner has stored one.
async fn store_all(store: Rc<Store>, epoch: Epoch, mut reports: UnboundedReceiver<Report>) {
    let mut number = 1;
    while let Some(report) = reports.recv().await {
        match store_one(&store, epoch, &mut number, report).await {
            Ok(()) => {}
            Err(Error::Fenced) => return info!("upkeep: report {report:?}: {}", Error::Fenced),
            Err(e) => error!("upkeep: report {report:?}: {e}"),
        }
    }
}

/// Stores a report as number `number` of the sequence, which it then advances; fails if the store will
/// never accept it.
async fn store_one(
    store: &Store,
    epoch: Epoch,
    number: &mut u64,
    report: Report,
) -> Result<(), Error> {
    let (key, value) = manifest::wave_status(report.wave, report.complete);
    let record = Record { key, value };
    loop {
        let sequence = Sequence { epoch, number: *number };
        match store.report(manifest::STATUS_TOPIC, &record, sequence).await {
            Ok(_) => {
                *number += 1;
                return Ok(());
            }
            Err(Error::Sequence(next)) => *number = next,
            Err(e @ (Error::Fenced | Error::Rejected(_))) => return Err(e),
            Err(e) => {
                warn!("upkeep: report {report:?}: {e}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
