//! Leases: at most one entry in charge of a duty.
//!
//! A lease has an epoch that grows with each change of holder. Records fenced with an epoch that is
//! not in force are rejected, so a holder that was paused cannot act on the state after another took
//! over. Times only decide when another entry may ask; safety rests on the epoch alone, so clocks
//! that differ between entries delay a take-over but break nothing.

use {
    crate::{
        id::{EntryId, Epoch, Incarnation, LeaseId},
        state::State,
        verdict::{Reason, Result},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Lease of the entry that drives waves and moves, reports health and writes snapshots.
pub const CONTROL: &str = "control";

/// A lease as last granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Number of its holders so far.
    pub epoch: Epoch,
    /// Entry that holds it; none once given up.
    pub holder: Option<EntryId>,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// When it runs out, since the Unix epoch.
    pub until: Duration,
}

/// What an entry asks for when it acquires a lease.
pub(crate) struct Claim<'a> {
    pub lease: &'a LeaseId,
    pub entry: &'a EntryId,
    pub incarnation: Incarnation,
    pub epoch: Epoch,
    pub until: Duration,
}

impl State {
    /// Epoch of a lease, 0 if it was never held.
    pub fn epoch(&self, lease: &str) -> Epoch {
        self.leases.get(lease).map_or(0, |l| l.epoch)
    }

    /// Whether that incarnation of an entry holds the lease at `now`.
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

    /// Holder of a lease that has not run out and whose incarnation still serves.
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

    /// Rejects a record whose epoch is not in force.
    pub(crate) fn fence(&self, lease: &LeaseId, epoch: Epoch) -> Result {
        match self.epoch(lease) {
            found if found == epoch => Ok(()),
            found => Err(Reason::Fenced { lease: lease.clone(), epoch, found }),
        }
    }
}
