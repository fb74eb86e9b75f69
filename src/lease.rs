//! Leases, by which at most one entry at a time performs a duty.
//!
//! A lease has an epoch that increases with each change of holder. Records that are fenced with
//! another epoch than the current one are rejected, so a holder that was paused can't change the state
//! after another entry has taken over. Times only decide when another entry may acquire the lease.
//! Safety depends on the epoch alone, so clock differences between entries may delay a takeover but
//! do no harm.

use {
    crate::{
        id::{EntryId, Epoch, Incarnation, LeaseId},
        state::State,
        verdict::{Reason, Result},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Lease of the entry that runs waves and moves, reports health and writes snapshots.
pub const CONTROL: &str = "control";

/// A lease as last granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Fencing number, increased with each change of holder.
    pub epoch: Epoch,
    /// Entry that holds it; `None` once it is released.
    pub holder: Option<EntryId>,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// When it expires, since the Unix epoch.
    pub until: Duration,
}

/// Request of an entry to acquire a lease.
pub(crate) struct Claim<'a> {
    pub lease: &'a LeaseId,
    pub entry: &'a EntryId,
    pub incarnation: Incarnation,
    pub epoch: Epoch,
    pub until: Duration,
}

impl State {
    /// Returns the epoch of a lease, 0 if it was never held.
    pub fn epoch(&self, lease: &str) -> Epoch {
        self.leases.get(lease).map_or(0, |l| l.epoch)
    }

    /// Returns whether that incarnation of an entry holds the lease at `now`.
    pub fn holds(&self, lease: &str, entry: &str, incarnation: Incarnation, now: Duration) -> bool {
        self.leases.get(lease).is_some_and(|l| {
            l.holder.as_deref() == Some(entry) && l.incarnation == incarnation && now < l.until
        })
    }

    pub(crate) fn acquire(&mut self, claim: Claim<'_>, at: Duration) -> Result {
        self.check_member(claim.entry, claim.incarnation)?;
        self.fence(claim.lease, claim.epoch)?;
        if let Some(holder) = self.holder(claim.lease, at) {
            return Err(Reason::Held { lease: claim.lease.clone(), holder: holder.clone() });
        }
        let lease = Lease {
            epoch: claim.epoch + 1,
            holder: Some(claim.entry.clone()),
            incarnation: claim.incarnation,
            until: claim.until,
        };
        self.leases.insert(claim.lease.clone(), lease);
        Ok(())
    }

    /// Returns the holder of a lease, unless the lease has expired or the holder's incarnation no
    /// longer serves.
    fn holder(&self, lease: &LeaseId, at: Duration) -> Option<&EntryId> {
        let lease = self.leases.get(lease).filter(|l| at < l.until)?;
        lease.holder.as_ref().filter(|h| self.check_member(h, lease.incarnation).is_ok())
    }

    pub(crate) fn renew(&mut self, lease: &LeaseId, epoch: Epoch, until: Duration) -> Result {
        self.fence(lease, epoch)?;
        if let Some(found) = self.leases.get_mut(lease) {
            found.until = found.until.max(until);
        }
        Ok(())
    }

    pub(crate) fn release(&mut self, lease: &LeaseId, epoch: Epoch) -> Result {
        self.fence(lease, epoch)?;
        if let Some(found) = self.leases.get_mut(lease) {
            found.epoch += 1;
            found.holder = None;
        }
        Ok(())
    }

    /// Rejects a record whose epoch is not the current one.
    pub(crate) fn fence(&self, lease: &LeaseId, epoch: Epoch) -> Result {
        match self.epoch(lease) {
            found if found == epoch => Ok(()),
            found => Err(Reason::Fenced { lease: lease.clone(), epoch, found }),
        }
    }
}
