//! Keeps a connection to the cell's owner, and knows whether that owner is sound.
//!
//! A sound owner is one that the log has confirmed lately. An entry sees that by the owner's records in
//! the log; one that the store turns away asks the owner itself. So an availability zone that is cut off
//! together with the owner tells the balancer that it can't serve, and its callers go to other zones.

use {
    super::{peer::Connection, shared::Shared},
    crate::job::claim::Owner,
    log::{info, warn},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time between two looks at the owner.
const PAUSE: Duration = Duration::from_millis(200);
/// Time for the owner's answer how it stands.
const ANSWER: Duration = Duration::from_millis(300);

/// Looks at the owner until the process ends.
pub async fn keep(shared: Rc<Shared>) {
    let mut owners = shared.owner.subscribe();
    loop {
        let owner = owners.borrow_and_update().clone();
        let linked = match owner {
            Some(owner) if !owner.released && owner.incarnation != shared.incarnation => {
                is_sound(&shared, &owner).await
            }
            _ => false,
        };
        if shared.linked.send_replace(linked) != linked {
            info!("peer: linked={linked}");
        }
        if shared.ready() {
            shared.sound_at.set(Instant::now());
        }
        tokio::select! {
            _ = owners.changed() => {}
            () = sleep(PAUSE) => {}
        }
    }
}

async fn is_sound(shared: &Shared, owner: &Owner) -> bool {
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
    match shared.link.standing(owner.peer, ANSWER).await {
        Ok(standing) if standing.incarnation != owner.incarnation => {
            shared.end_owner(owner, standing.owner);
            false
        }
        Ok(standing) => standing.confirmed,
        Err(why) => {
            info!("peer: owner={} standing=unknown why={why:?}", owner.peer);
            false
        }
    }
}
