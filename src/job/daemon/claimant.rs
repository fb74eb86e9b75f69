//! Follows the claims to the cell, claims it when its owner is silent, and beats while it is owned.

use {
    super::{owner, shared::Shared, store::Store},
    crate::{
        adapter::store::{CLAIMS, Error},
        job::{
            claim::{CLAIM_TIMEOUT, Claim, Epoch, HEARTBEAT_INTERVAL, Kind, Owner},
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

/// Key of the claims.
const KEY: &str = "owner";
/// Pause after the store did not answer.
const PAUSE: Duration = Duration::from_millis(150);
/// Spread of the time after which several entries claim at once.
const SPREAD_MS: u64 = 90;
/// Time by which a VM of half a core waits longer than one of a whole core; twice as weak, twice as long.
const WEAKNESS: Duration = Duration::from_millis(20);
/// Longest time for which a weak VM lets others claim first.
const WEAKEST: Duration = Duration::from_millis(250);

struct Claimant {
    shared: Rc<Shared>,
    store: Rc<Store>,
    end: u64,
    owning: Option<(Epoch, JoinHandle<()>)>,
}

/// Follows the claims until the process ends.
pub async fn run(shared: Rc<Shared>, store: Rc<Store>) {
    let mut claimant = Claimant { shared, store, end: 0, owning: None };
    claimant.resume().await;
    loop {
        match claimant.owning.take() {
            Some((epoch, task)) if claimant.has_released(epoch) => {
                claimant.hand_over(epoch, task).await;
            }
            Some((epoch, task)) => claimant.beat(epoch, task).await,
            None => claimant.follow().await,
        }
    }
}

impl Claimant {
    /// Reads the newest claim.
    async fn resume(&mut self) {
        loop {
            match self.store.newest(CLAIMS, "").await {
                Ok(newest) => {
                    self.end = newest.end;
                    if let Some(record) = newest.records.first() {
                        self.learn(newest.end.saturating_sub(1), record);
                    }
                    return;
                }
                Err(e) => {
                    warn!("claim: read newest: {e}");
                    sleep(PAUSE).await;
                }
            }
        }
    }

    /// Takes in a record that was just written.
    fn hear(&mut self, offset: u64, record: &Record) {
        self.shared.seen.set(Some(Instant::now()));
        self.learn(offset, record);
    }

    fn learn(&mut self, offset: u64, record: &Record) {
        let claim = match Claim::decode(&record.value) {
            Ok(claim) => claim,
            Err(e) => return warn!("claim: record at {offset}: {e}"),
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

    /// Time for which this VM lets stronger ones claim first.
    fn weakness(&self) -> Duration {
        let missing = (1.0 / self.shared.settings.cores.max(0.01) - 1.0).max(0.0);
        WEAKNESS.mul_f64(missing).min(WEAKEST)
    }

    /// Whether the owner's process is known to have ended.
    fn is_vacant(&self) -> bool {
        let has_ended = |owner: &Owner| self.shared.ended.get() == Some(owner.epoch);
        self.owner()
            .is_none_or(|owner| owner.released || self.is_former_self(&owner) || has_ended(&owner))
    }

    /// Whether the owner is an earlier life of this process.
    fn is_former_self(&self, owner: &Owner) -> bool {
        owner.node == self.shared.settings.node && owner.incarnation != self.shared.incarnation
    }

    /// Waits for news of the owner, or for its silence.
    async fn follow(&mut self) {
        let vacant = self.is_vacant();
        let spread = Duration::from_millis(rand::rng().random_range(0..SPREAD_MS));
        let first = self.weakness() + spread / 3;
        let wait = if vacant { first } else { self.weakness() + CLAIM_TIMEOUT + spread };
        let shared = Rc::clone(&self.shared);
        let read = tokio::select! {
            read = self.read(wait) => read,
            () = shared.vacated.notified(), if !vacant => return,
        };
        if self.shared.stopping.borrow().is_some() {
            return;
        }
        match read {
            Some(0) => {
                info!("claim: at={} vacant={vacant} waited_ms={}", self.end, wait.as_millis());
                self.claim().await;
            }
            Some(_) => {
                let own = self.owner().filter(|owner| {
                    owner.incarnation == self.shared.incarnation && !owner.released
                });
                if let Some(owner) = own {
                    self.lead(owner.epoch);
                }
            }
            None => sleep(PAUSE).await,
        }
    }

    /// Reads records; returns how many, or none if the store did not answer.
    async fn read(&mut self, wait: Duration) -> Option<usize> {
        match self.store.read(CLAIMS, self.end, wait).await {
            Ok(page) => {
                let count = page.records.len();
                let first = page.end.saturating_sub(count as u64).max(self.end);
                for (offset, record) in (first..).zip(page.records.iter().flatten()) {
                    self.hear(offset, record);
                }
                self.end = page.end;
                Some(count)
            }
            Err(Error::Gone(_)) => {
                self.resume().await;
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

    async fn claim(&mut self) {
        let Some(record) = self.record(Kind::Claim) else { return };
        let sent = Instant::now();
        match self.store.append_at(CLAIMS, &record, self.end).await {
            Ok(offset) => {
                self.end = offset + 1;
                self.shared.confirmed.set(Some(sent));
                self.learn(offset, &record);
                self.lead(offset + 1);
            }
            Err(Error::Moved) => {}
            Err(e) => warn!("claim: append at {}: {e}", self.end),
        }
    }

    fn lead(&mut self, epoch: Epoch) {
        let (shared, store) = (Rc::clone(&self.shared), Rc::clone(&self.store));
        let task = spawn_local(owner::run(shared, store, epoch));
        self.owning = Some((epoch, task));
    }

    /// Shows that the owner lives, or finds that it has lost the cell.
    async fn beat(&mut self, epoch: Epoch, task: JoinHandle<()>) {
        sleep(HEARTBEAT_INTERVAL).await;
        let stopping = self.shared.stopping.borrow().is_some();
        let kind = if stopping || task.is_finished() {
            Kind::Release(epoch)
        } else {
            Kind::Heartbeat(epoch)
        };
        let Some(record) = self.record(kind) else { return };
        let sent = Instant::now();
        match self.store.append_at(CLAIMS, &record, self.end).await {
            Ok(offset) => {
                self.end = offset + 1;
                self.shared.confirmed.set(Some(sent));
                if matches!(kind, Kind::Release(_)) {
                    self.shared.confirmed.set(None);
                    self.learn(offset, &record);
                }
            }
            Err(Error::Moved) => {
                self.read(Duration::ZERO).await;
                if self.owner().is_none_or(|owner| owner.epoch != epoch || owner.released) {
                    return self.depose(epoch, &task, "another entry has claimed it");
                }
            }
            Err(e) => {
                warn!("claim: beat at {}: {e}", self.end);
                sleep(PAUSE).await;
            }
        }
        self.owning = Some((epoch, task));
    }

    fn has_released(&self, epoch: Epoch) -> bool {
        self.owner().is_some_and(|owner| owner.epoch == epoch && owner.released)
    }

    /// Goes on as the owner until another entry has claimed the cell, so that leases are renewed
    /// meanwhile, also if the store goes away now.
    async fn hand_over(&mut self, epoch: Epoch, task: JoinHandle<()>) {
        if task.is_finished() {
            return self.depose(epoch, &task, "it was given up");
        }
        if self.read(HEARTBEAT_INTERVAL).await.is_none() {
            sleep(PAUSE).await;
        }
        if self.owner().is_none_or(|owner| owner.epoch != epoch) {
            return self.depose(epoch, &task, "another entry has claimed it");
        }
        self.owning = Some((epoch, task));
    }

    fn depose(&mut self, epoch: Epoch, task: &JoinHandle<()>, why: &str) {
        info!("owner: epoch={epoch} lost=true why={why:?}");
        task.abort();
        self.shared.desk.borrow_mut().take();
    }
}
