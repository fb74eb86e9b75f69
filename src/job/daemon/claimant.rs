//! Claims the cell for this entry and sends heartbeats while it owns the cell.
//!
//! Every entry follows the claim records in the log. It claims the cell when it has read no record
//! for the claim timeout ([`Silence`]), and at once if the owner has released the cell or is known
//! to have ended. [`crate::job::claim`] describes the protocol.

use {
    super::{owner, shared::Shared, store::Store},
    crate::{
        adapter::store::{CLAIMS, Error},
        job::{
            claim::{Claim, Epoch, HEARTBEAT_INTERVAL, Kind, Owner, Silence, delay_from_gap},
            clock,
            ledger::Record,
        },
    },
    log::{info, warn},
    rand::Rng,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        task::{JoinHandle, spawn_local},
        time::sleep,
    },
};

/// Key of the claim records.
const KEY: &str = "owner";
/// Delay before the next call after the store failed to answer one.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Upper bound in milliseconds of the jitter that keeps entries from claiming at the same time.
const MAX_JITTER_MS: u64 = 90;
/// Extra delay of a claim on a VM with half a core against one with a whole core. It grows with
/// `1 / cores - 1`, so that VMs with more cores claim first.
const HALF_CORE_DELAY: Duration = Duration::from_millis(20);
/// Upper bound of this extra delay.
const MAX_CORE_DELAY: Duration = Duration::from_millis(250);

struct Claimant {
    shared: Rc<Shared>,
    store: Rc<Store>,
    /// Offset after the last claim record that was read or appended.
    end: u64,
    /// Epoch and event loop of this entry's ownership, while it has one.
    owning: Option<(Epoch, JoinHandle<()>)>,
    /// When the last heartbeat was sent.
    heartbeat_sent: Option<Instant>,
    /// Offset at which a heartbeat was last attempted, and when that was first.
    attempted: Option<(u64, Instant)>,
}

/// Follows the claim records until the process ends.
pub async fn run(shared: Rc<Shared>, store: Rc<Store>) {
    let mut claimant =
        Claimant { shared, store, end: 0, owning: None, heartbeat_sent: None, attempted: None };
    claimant.read_newest().await;
    loop {
        match claimant.owning.take() {
            Some((epoch, task)) if claimant.has_released(epoch) => {
                claimant.serve_after_release(epoch, task).await;
            }
            Some((epoch, task)) => claimant.send_heartbeat(epoch, task).await,
            None => claimant.watch().await,
        }
    }
}

impl Claimant {
    /// Reads the newest claim record; later reads continue after it.
    async fn read_newest(&mut self) {
        loop {
            match self.store.newest(CLAIMS, "").await {
                Ok(newest) => {
                    self.end = newest.end;
                    if let Some(record) = newest.records.first() {
                        self.update_owner(newest.end.saturating_sub(1), record);
                    }
                    return;
                }
                Err(e) => {
                    warn!("claim: read newest: {e}");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Handles a record that was appended while this entry follows the log, and notes when it was
    /// read: unlike the newest record at the start, it shows that its writer ran just now. The time
    /// since the owner's last record shows whether the log is slow for the owner.
    fn handle_record(&mut self, offset: u64, record: &Record) {
        let before = self.owner();
        let last = self.shared.owner_seen_at.replace(Some(clock::now()));
        self.update_owner(offset, record);
        if let Some(last) = last.filter(|_| before.is_some() && before == self.owner()) {
            self.store.observe_delay(delay_from_gap(clock::elapsed(last)));
        }
    }

    /// Updates the known owner from a claim record.
    fn update_owner(&mut self, offset: u64, record: &Record) {
        let claim = match Claim::decode(&record.value) {
            Ok(claim) => claim,
            Err(e) => return warn!("claim: decode record at {offset}: {e}"),
        };
        let owner = claim.owner(offset);
        let known = self.shared.owner.borrow().clone();
        if known.as_ref() == Some(&owner) {
            return;
        }
        if known.is_none_or(|known| known.epoch != owner.epoch || owner.released) {
            info!("owner: epoch={} node={} released={}", owner.epoch, owner.node, owner.released);
        }
        self.shared.owner.send_replace(Some(owner));
    }

    fn owner(&self) -> Option<Owner> {
        self.shared.owner.borrow().clone()
    }

    /// Returns the delay in which VMs with more cores may claim first.
    fn core_delay(&self) -> Duration {
        let missing = (1.0 / self.shared.settings.cores.max(0.01) - 1.0).max(0.0);
        HALF_CORE_DELAY.mul_f64(missing).min(MAX_CORE_DELAY)
    }

    /// Returns whether the cell certainly has no running owner: it never had one, or its owner has
    /// released it, is an earlier incarnation of this entry, or is known to have ended.
    fn is_vacant(&self) -> bool {
        let has_ended = |owner: &Owner| self.shared.ended_epoch.get() == Some(owner.epoch);
        self.owner().is_none_or(|owner| {
            owner.released || self.is_previous_incarnation(&owner) || has_ended(&owner)
        })
    }

    /// Returns whether the owner is an earlier incarnation of this entry.
    fn is_previous_incarnation(&self, owner: &Owner) -> bool {
        owner.node == self.shared.settings.node && owner.incarnation != self.shared.incarnation
    }

    /// Waits for a claim record, and claims the cell if none arrives in time. A read that shows that
    /// the store is slow makes the entry wait on.
    async fn watch(&mut self) {
        let vacant = self.is_vacant();
        let jitter = Duration::from_millis(rand::rng().random_range(0..MAX_JITTER_MS));
        let first = self.core_delay() + jitter / 3;
        let mut silence = Silence::new(self.core_delay() + jitter);
        let mut wait = if vacant { first } else { silence.missing(self.store.delay()) };
        let shared = Rc::clone(&self.shared);
        loop {
            let read = tokio::select! {
                read = self.read(wait) => read,
                () = shared.owner_ended.notified(), if !vacant => return,
            };
            if self.shared.stopping.borrow().is_some() {
                return;
            }
            match read {
                Some(0) => silence.waited(wait),
                Some(_) => return self.resume_ownership(),
                None => return sleep(RETRY_DELAY).await,
            }
            let delay = self.store.delay();
            let missing = silence.missing(delay);
            let (at, waited_ms, delay_ms) = (self.end, wait.as_millis(), delay.as_millis());
            if vacant || missing.is_zero() {
                info!("claim: at={at} vacant={vacant} waited_ms={waited_ms} delay_ms={delay_ms}");
                return self.claim().await;
            }
            info!("claim: at={at} waits_ms={} delay_ms={delay_ms}", missing.as_millis());
            wait = missing;
        }
    }

    /// Starts the event loop of the owner if this entry owns the cell by a claim whose answer was
    /// lost.
    fn resume_ownership(&mut self) {
        let is_own =
            |owner: &Owner| owner.incarnation == self.shared.incarnation && !owner.released;
        if let Some(owner) = self.owner().filter(is_own) {
            self.start_owner(owner.epoch);
        }
    }

    /// Reads records, waiting for the first up to `wait`. Returns their number, or `None` if the
    /// store did not answer.
    async fn read(&mut self, wait: Duration) -> Option<usize> {
        match self.store.read(CLAIMS, self.end, wait).await {
            Ok(page) => {
                let next = page.next(self.end);
                for (offset, record) in (self.end..).zip(&page.records) {
                    if let Some(record) = record {
                        self.handle_record(offset, record);
                    }
                }
                self.end = next;
                Some(page.records.len())
            }
            Err(Error::Gone(_)) => {
                self.read_newest().await;
                Some(1)
            }
            Err(e) => {
                warn!("claim: read from {}: {e}", self.end);
                None
            }
        }
    }

    fn record(&self, kind: Kind) -> Option<Record> {
        let claim = Claim {
            node: self.shared.settings.node.clone(),
            incarnation: self.shared.incarnation,
            peer: self.shared.settings.peer,
            kind,
        };
        match claim.encode() {
            Ok(value) => Some(Record { key: String::from(KEY), value }),
            Err(e) => {
                warn!("claim: encode: {e}");
                None
            }
        }
    }

    /// Appends a claim on the condition that no other record was appended since the last read.
    async fn claim(&mut self) {
        let Some(record) = self.record(Kind::Claim) else { return };
        let sent = clock::now();
        match self.store.append_at(CLAIMS, &record, self.end).await {
            Ok(offset) => {
                self.end = offset + 1;
                self.shared.record_confirmation(sent, self.end);
                self.update_owner(offset, &record);
                self.start_owner(offset + 1);
            }
            Err(Error::Moved) => {}
            Err(e) => warn!("claim: append at {}: {e}", self.end),
        }
    }

    /// Starts the event loop of the owner.
    fn start_owner(&mut self, epoch: Epoch) {
        let (shared, store) = (Rc::clone(&self.shared), Rc::clone(&self.store));
        shared.strongest_peer.set(0.0);
        shared.hands_over.set(false);
        let task = spawn_local(owner::run(shared, store, epoch));
        self.owning = Some((epoch, task));
    }

    /// Appends a heartbeat, or the release of the cell if the process stops, the event loop has ended,
    /// or the cell is handed over. Ends the ownership if another entry has claimed the cell.
    async fn send_heartbeat(&mut self, epoch: Epoch, task: JoinHandle<()>) {
        // An answer that took longer than the interval is followed by the next heartbeat at once.
        let elapsed = self.heartbeat_sent.map_or(Duration::ZERO, clock::elapsed);
        sleep(HEARTBEAT_INTERVAL.saturating_sub(elapsed)).await;
        let stopping = self.shared.stopping.borrow().is_some();
        let kind = if stopping || task.is_finished() || self.shared.hands_over.get() {
            Kind::Release(epoch)
        } else {
            Kind::Heartbeat(epoch)
        };
        let Some(record) = self.record(kind) else { return };
        let (at, sent) = (self.end, clock::now());
        self.heartbeat_sent = Some(sent);
        if self.attempted.is_none_or(|(end, _)| end != at) {
            self.attempted = Some((at, sent));
        }
        match self.store.append_at(CLAIMS, &record, at).await {
            Ok(offset) => {
                self.end = offset + 1;
                if matches!(kind, Kind::Release(_)) {
                    self.shared.clear_confirmation();
                    self.update_owner(offset, &record);
                } else {
                    self.shared.record_confirmation(sent, self.end);
                }
            }
            Err(Error::Moved) => {
                let read = self.read(Duration::ZERO).await;
                if self.owner().is_none_or(|owner| owner.epoch != epoch || owner.released) {
                    return self.end_ownership(epoch, &task, "another entry has claimed the cell");
                }
                // An earlier attempt has landed, at any time since the first one at this offset.
                if let (Some(1..), Some((_, first))) = (read, self.attempted) {
                    self.shared.record_confirmation(first, self.end);
                }
            }
            Err(e) => {
                warn!("claim: heartbeat at {}: {e}", self.end);
                sleep(RETRY_DELAY).await;
            }
        }
        self.owning = Some((epoch, task));
    }

    fn has_released(&self, epoch: Epoch) -> bool {
        self.owner().is_some_and(|owner| owner.epoch == epoch && owner.released)
    }

    /// Continues as the owner after the release until another entry has claimed the cell, so that
    /// leases are still renewed, even if the store becomes unavailable now.
    async fn serve_after_release(&mut self, epoch: Epoch, task: JoinHandle<()>) {
        if task.is_finished() {
            return self.end_ownership(epoch, &task, "the event loop of the owner has ended");
        }
        if self.read(HEARTBEAT_INTERVAL).await.is_none() {
            sleep(RETRY_DELAY).await;
        }
        if self.owner().is_none_or(|owner| owner.epoch != epoch) {
            return self.end_ownership(epoch, &task, "another entry has claimed the cell");
        }
        self.owning = Some((epoch, task));
    }

    /// Stops the event loop after the ownership of `epoch` was lost.
    fn end_ownership(&mut self, epoch: Epoch, task: &JoinHandle<()>, why: &str) {
        info!("owner: epoch={epoch} lost=true why={why:?}");
        task.abort();
        self.shared.owner_events.borrow_mut().take();
    }
}
