//! Keeps a connection to the cell's owner open and watches the owner's health.
//!
//! An owner is healthy if the log has recently accepted a claim or heartbeat of it. An entry checks
//! this in the log; an entry that can't read the log asks the owner. So the entries of an
//! availability zone that is partitioned from the log together with the owner report to the load
//! balancer that they are not ready, and callers are sent to other zones.

use {
    super::{peer::Connection, shared::Shared},
    crate::job::{claim::Owner, clock},
    log::{info, warn},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two checks of the owner.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of the request for the owner's view.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// Checks the owner at regular intervals until the process ends.
pub async fn run(shared: Rc<Shared>) {
    let mut owners = shared.owner.subscribe();
    loop {
        let owner = owners.borrow_and_update().clone();
        let linked = match owner {
            Some(owner) if !owner.released && owner.incarnation != shared.incarnation => {
                is_healthy(&shared, &owner).await
            }
            _ => false,
        };
        if shared.linked.send_replace(linked) != linked {
            info!("peer: linked={linked}");
        }
        if shared.ready() {
            shared.last_ready.set(clock::now());
        }
        tokio::select! {
            _ = owners.changed() => {}
            () = sleep(CHECK_INTERVAL) => {}
        }
    }
}

/// Returns whether the owner is connected and healthy. Notes that it has ended if another incarnation
/// answers at its address.
async fn is_healthy(shared: &Shared, owner: &Owner) -> bool {
    let connection = match shared.link.connect(owner.peer).await {
        Ok(connection) => connection,
        Err(why) => {
            warn!("peer: owner={} connected=false why={why:?}", owner.peer);
            return false;
        }
    };
    if connection == Connection::Kept && shared.has_seen_owner() {
        return true;
    }
    let cores = shared.may_own().then_some(shared.settings.cores);
    match shared.link.status(owner.peer, cores, STATUS_TIMEOUT).await {
        Ok(status) if status.incarnation != owner.incarnation => {
            shared.record_owner_end(owner, status.owner);
            false
        }
        Ok(status) => status.confirmed,
        Err(why) => {
            info!("peer: owner={} standing=unknown why={why:?}", owner.peer);
            false
        }
    }
}
