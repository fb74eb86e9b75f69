//! Distributes the slots of an availability zone's endpoints among the zone's entries.
//!
//! An endpoint has one slot for each exchange that it can serve concurrently. Each slot is held by
//! exactly one incarnation of one entry, and only the holder may send an exchange for it. Free
//! slots are transferred to entries with waiting requests. No entry derives its slots from the list
//! of members, so entries with different lists cannot overload an endpoint together. Slots lost
//! with an incarnation that has ended are recovered by a recount that every incarnation that may
//! still run has answered.
//!
//! Invariant: in the latest round of an endpoint, the slots held by all incarnations plus those in
//! undelivered grants never exceed the endpoint's slots.
//!
//! Messages may be lost, delayed, duplicated and reordered.

mod demand;
mod endpoint;
mod group;
mod message;
mod receive;
mod recount;

use {
    crate::id::{ServiceId, VmId},
    demand::Service,
    endpoint::Endpoint,
    group::Group,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};
pub use {
    group::Liveness,
    message::{Body, Envelope, Message, Peer, Round},
};

/// Time for which a slot stays unused after the endpoint refused its exchange for lack of free
/// slots.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(100);

/// Right to send one exchange to an endpoint.
///
/// It must be returned by [`Table::release`], [`Table::refuse`] or [`Table::abandon`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    /// Endpoint to send to.
    pub endpoint: VmId,
    /// Service that the exchange is for.
    pub service: ServiceId,
    /// When the right expires; to be checked immediately before sending the exchange.
    pub lease: Option<Instant>,
}

impl Permit {
    /// Whether the exchange may still be sent.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.lease.is_none_or(|end| now < end)
    }
}

/// An endpoint with its declared limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// VM that it runs on.
    pub vm: VmId,
    /// Maximum number of concurrent exchanges.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
}

/// Slots held by this entry on the endpoints of its availability zone.
#[derive(Clone, Debug)]
pub struct Table {
    group: Group,
    endpoints: IndexMap<VmId, Endpoint>,
    services: IndexMap<ServiceId, Service>,
    outbox: Vec<Envelope>,
    /// Number of this incarnation's last grant.
    serial: u64,
    /// Lowest round number for endpoints that are added from now on.
    min_round: u64,
    /// Index of the endpoint that was last recounted as a precaution.
    audit_index: usize,
    last_audit: Instant,
    /// When this incarnation's right to use its slots expires.
    lease: Option<Instant>,
}

impl Table {
    /// Creates a table without slots for the incarnation `me`.
    pub fn new(now: Instant, me: Peer) -> Self {
        Self {
            group: Group::new(me),
            endpoints: IndexMap::new(),
            services: IndexMap::new(),
            outbox: Vec::new(),
            serial: 0,
            min_round: 0,
            audit_index: 0,
            last_audit: now,
            lease: None,
        }
    }

    /// Updates the liveness of the zone's other incarnations and adds unknown ones as members.
    ///
    /// The first list may come from any entry that has joined. Members that are left out stay
    /// members.
    pub fn set_members(
        &mut self,
        now: Instant,
        members: impl IntoIterator<Item = (Peer, Liveness)>,
    ) {
        for (peer, liveness) in members {
            if self.group.set_liveness(&peer, liveness) {
                self.handle_gone(now, &peer);
            }
        }
    }

    /// Allows this incarnation to join although no other one has joined.
    ///
    /// Its list of members must be at least as new as its own join record in the log, so that of
    /// two incarnations that join at the same time at least one knows the other.
    pub fn allow_bootstrap(&mut self) {
        self.group.confirm_members();
    }

    /// Known incarnations that have not ended for certain.
    pub fn running(&self) -> impl Iterator<Item = &Peer> {
        self.group.running()
    }

    /// Sets the endpoints of each service; endpoints that are left out get no new exchanges.
    pub fn set_endpoints(
        &mut self,
        now: Instant,
        services: impl IntoIterator<Item = (ServiceId, Vec<Spec>)>,
    ) {
        self.endpoints.values_mut().for_each(|endpoint| endpoint.declared = false);
        self.services.values_mut().for_each(|service| service.endpoints.clear());
        for (service, specs) in services {
            let vms = specs.iter().map(|endpoint| endpoint.vm.clone()).collect();
            self.services.entry(service).or_default().endpoints = vms;
            for Spec { vm, slots, connections } in specs {
                let endpoint = self.endpoint(now, &vm);
                if endpoint.slots != slots {
                    endpoint.recount_at = Some(now);
                }
                (endpoint.slots, endpoint.connections) = (slots, connections);
                endpoint.declared = true;
            }
        }
        self.services.retain(|_, service| !service.endpoints.is_empty());
        self.forget_unused();
    }

    /// Stops or resumes new exchanges on an endpoint; its slots stay with their holders.
    pub fn set_open(&mut self, vm: &VmId, open: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.open = open;
        }
    }

    /// Lets this incarnation use its slots until `end` only; without a call there is no limit.
    ///
    /// An incarnation that may be paused can be declared gone once its lease has expired: when it
    /// resumes, it finds the lease expired and sends nothing.
    pub fn set_lease(&mut self, end: Instant) {
        self.lease = Some(end);
    }

    /// Acquires a free slot of the service on the endpoint with the most free slots here among
    /// those that `usable` accepts.
    pub fn acquire(
        &mut self,
        now: Instant,
        service: &ServiceId,
        usable: impl Fn(&VmId) -> bool,
    ) -> Option<Permit> {
        if self.lease.is_some_and(|end| end <= now) {
            return None;
        }
        let found = self.services.get(service)?;
        let vm = found
            .endpoints
            .iter()
            .filter(|vm| self.endpoints.get(*vm).is_some_and(|e| e.usable() && e.free > 0))
            .filter(|vm| usable(vm))
            .max_by_key(|vm| self.endpoints[*vm].free)?
            .clone();
        self.endpoints.get_mut(&vm)?.acquire();
        Some(Permit { endpoint: vm, service: service.clone(), lease: self.lease })
    }

    /// Returns a slot whose exchange has ended on the endpoint.
    pub fn release(&mut self, now: Instant, permit: Permit) {
        self.return_slot(now, permit, None);
    }

    /// Returns a slot after the endpoint refused the exchange for lack of free slots.
    pub fn refuse(&mut self, now: Instant, permit: Permit) {
        self.return_slot(now, permit, Some(now + REFUSAL_COOLDOWN));
    }

    /// Returns a slot whose exchange may still run on the endpoint; the slot stays unused until
    /// `end`.
    pub fn abandon(&mut self, now: Instant, permit: Permit, end: Instant) {
        self.return_slot(now, permit, Some(end));
    }

    /// Sends due messages, starts due recounts and frees slots that are usable again.
    ///
    /// It is to be called every few milliseconds.
    pub fn tick(&mut self, now: Instant) {
        let hellos = self.group.due_hellos(now);
        self.outbox.extend(hellos);
        self.start_due_recounts(now);
        self.resend(now);
        let mut freed = Vec::new();
        for (vm, endpoint) in &mut self.endpoints {
            if endpoint.end_cooldowns(now) {
                freed.push(vm.clone());
            }
        }
        freed.iter().for_each(|vm| self.grant_from_endpoint(now, vm));
    }

    /// Takes the queued messages; to be called after each call that may have queued some.
    pub fn drain_outbox(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.outbox)
    }

    /// Whether this incarnation has joined and may hold slots.
    pub fn joined(&mut self) -> bool {
        self.group.joined()
    }

    /// Number of this entry's free slots on endpoints of a service that get new exchanges.
    pub fn free(&self, service: &ServiceId) -> u32 {
        self.open_endpoints(service).map(|endpoint| endpoint.free).sum()
    }

    /// Number of this entry's slots on endpoints of a service that get new exchanges.
    pub fn held(&self, service: &ServiceId) -> u32 {
        self.open_endpoints(service).map(Endpoint::held).sum()
    }

    /// Number of slots of a service that this entry can expect to use.
    ///
    /// This is the larger of the slots held and an even share of all slots, limited to this entry's
    /// share by the demand reported by its peers, but never below half of the even share, and at
    /// least 1 if there are any slots.
    pub fn supply(&self, service: &ServiceId) -> u32 {
        let all: u32 = self.open_endpoints(service).map(|endpoint| endpoint.slots).sum();
        let entries = self.group.alive().count() as u32 + 1;
        let even = all.div_ceil(entries);
        let kept = self.services.get(service).map_or(0, |found| found.own_share(all));
        self.held(service).max(even).min(kept.max(even / 2)).max(u32::from(all > 0))
    }

    /// Number of exchanges that this entry is running on an endpoint.
    pub fn used(&self, vm: &VmId) -> u32 {
        self.endpoints.get(vm).map_or(0, |endpoint| endpoint.used)
    }

    /// Whether an exchange for one of this entry's slots may still run on an endpoint.
    pub fn busy(&self, vm: &VmId) -> bool {
        self.endpoints.get(vm).is_some_and(Endpoint::busy)
    }

    /// Number of slots of an endpoint that this entry holds, in any state.
    pub fn held_on(&self, vm: &VmId) -> u32 {
        self.endpoints.get(vm).map_or(0, Endpoint::held)
    }

    /// Maximum number of connections, active and idle, that this entry may have open to an
    /// endpoint.
    ///
    /// Each slot entitles its holder to an equal part of the endpoint's connections, so that all
    /// entries together stay within its limit.
    pub fn connections(&self, vm: &VmId) -> u32 {
        let allowed = |endpoint: &Endpoint| {
            endpoint.held() * (endpoint.connections / endpoint.slots.max(1)).max(1)
        };
        self.endpoints.get(vm).map_or(0, allowed)
    }

    fn return_slot(&mut self, now: Instant, permit: Permit, cooldown_until: Option<Instant>) {
        if let Some(endpoint) = self.endpoints.get_mut(&permit.endpoint) {
            endpoint.release(cooldown_until);
            self.grant_free_slots(now, &permit.service);
        }
    }

    /// Endpoints of a service that get new exchanges.
    fn open_endpoints(&self, service: &ServiceId) -> impl Iterator<Item = &Endpoint> {
        let vms = self.services.get(service).map(|found| found.endpoints.as_slice());
        vms.unwrap_or_default()
            .iter()
            .filter_map(|vm| self.endpoints.get(vm))
            .filter(|endpoint| endpoint.usable())
    }

    /// The endpoint's state; an undeclared endpoint is added and gets no exchanges until it is
    /// declared.
    fn endpoint(&mut self, now: Instant, vm: &VmId) -> &mut Endpoint {
        let (min_round, group) = (self.min_round, &self.group);
        let new = || Endpoint::new(min_round, group.ended().cloned().collect(), now);
        self.endpoints.entry(vm.clone()).or_insert_with(new)
    }

    /// Grants free slots for each service that uses an endpoint.
    fn grant_from_endpoint(&mut self, now: Instant, vm: &VmId) {
        let services = self.services.iter().filter(|(_, service)| service.endpoints.contains(vm));
        let services: Vec<ServiceId> = services.map(|(id, _)| id.clone()).collect();
        services.iter().for_each(|service| self.grant_free_slots(now, service));
    }

    /// Removes undeclared endpoints on which this entry holds no slots.
    ///
    /// `min_round` keeps their round numbers from being used again if they are declared later.
    fn forget_unused(&mut self) {
        let min_round = &mut self.min_round;
        self.endpoints.retain(|_, endpoint| {
            let keep = endpoint.declared || endpoint.held() > 0 || !endpoint.grants.is_empty();
            if !keep {
                *min_round = (*min_round).max(endpoint.round.number + 1);
            }
            keep
        });
    }
}

/// Whether `time` has passed since `since`; true if that is not set.
fn elapsed(since: Option<Instant>, now: Instant, time: Duration) -> bool {
    since.is_none_or(|since| now >= since + time)
}
