//! Distributes the slots of an availability zone's runners among the zone's entries.
//!
//! A runner has one slot for each exchange that it can serve concurrently. Each slot is held by
//! exactly one incarnation of one entry, and only the holder may send an exchange for it. Free
//! slots are transferred to entries with waiting requests. No entry derives its slots from the list
//! of members, so entries with different lists cannot overload a runner together. Slots lost with
//! an incarnation that has ended are recovered by a recount that every incarnation that may still
//! run has answered.
//!
//! Invariant: in the latest round of a runner, the slots held by all incarnations plus those in
//! undelivered grants never exceed the runner's slots.
//!
//! Messages may be lost, delayed, duplicated and reordered.

mod demand;
mod group;
mod message;
mod recount;
mod runner;

use {
    crate::id::{ServiceId, VmId},
    demand::Service,
    group::Group,
    indexmap::IndexMap,
    runner::Runner,
    std::time::{Duration, Instant},
};
pub use {
    group::Standing,
    message::{Body, Message, Peer, Round, Send},
};

/// Time for which a slot stays unused after the runner refused its exchange for lack of free slots.
const REFUSED_REST: Duration = Duration::from_millis(100);

/// Right to send one exchange to a runner.
///
/// It must be returned by [`Table::release`], [`Table::refuse`] or [`Table::abandon`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    /// Runner to send to.
    pub runner: VmId,
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

/// A runner with its declared limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// VM that it runs on.
    pub vm: VmId,
    /// Maximum number of concurrent exchanges.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
}

/// Slots held by this entry on the runners of its availability zone.
#[derive(Clone, Debug)]
pub struct Table {
    group: Group,
    runners: IndexMap<VmId, Runner>,
    services: IndexMap<ServiceId, Service>,
    outbox: Vec<Send>,
    serial: u64,
    floor: u64,
    audit: usize,
    audited: Instant,
    lease: Option<Instant>,
}

impl Table {
    /// Creates a table without slots for the incarnation `me`.
    pub fn new(now: Instant, me: Peer) -> Self {
        Self {
            group: Group::new(me),
            runners: IndexMap::new(),
            services: IndexMap::new(),
            outbox: Vec::new(),
            serial: 0,
            floor: 0,
            audit: 0,
            audited: now,
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
        members: impl IntoIterator<Item = (Peer, Standing)>,
    ) {
        for (peer, standing) in members {
            if self.group.note(&peer, standing) {
                self.note_gone(now, &peer);
            }
        }
    }

    /// Allows this incarnation to join although no other one has joined.
    ///
    /// Its list of members must be at least as new as its own join record in the log, so that of
    /// two incarnations that join at the same time at least one knows the other.
    pub fn set_listed(&mut self) {
        self.group.anchor();
    }

    /// Known incarnations that have not ended for certain.
    pub fn running(&self) -> impl Iterator<Item = &Peer> {
        self.group.running()
    }

    /// Sets the runners of each service; runners that are left out get no new exchanges.
    pub fn set_runners(
        &mut self,
        now: Instant,
        services: impl IntoIterator<Item = (ServiceId, Vec<Listed>)>,
    ) {
        self.runners.values_mut().for_each(|runner| runner.declared = false);
        self.services.values_mut().for_each(|service| service.runners.clear());
        for (service, listed) in services {
            let vms = listed.iter().map(|runner| runner.vm.clone()).collect();
            self.services.entry(service).or_default().runners = vms;
            for Listed { vm, slots, connections } in listed {
                let runner = self.runner(now, &vm);
                if runner.slots != slots {
                    runner.due = Some(now);
                }
                (runner.slots, runner.connections) = (slots, connections);
                runner.declared = true;
            }
        }
        self.services.retain(|_, service| !service.runners.is_empty());
        self.forget_unused();
    }

    /// Stops or resumes new exchanges on a runner; its slots stay with their holders.
    pub fn set_open(&mut self, vm: &VmId, open: bool) {
        if let Some(runner) = self.runners.get_mut(vm) {
            runner.open = open;
        }
    }

    /// Lets this incarnation use its slots until `end` only; without a call there is no limit.
    ///
    /// An incarnation that may be paused can be declared gone once its lease has expired: when it
    /// resumes, it finds the lease expired and sends nothing.
    pub fn set_lease(&mut self, end: Instant) {
        self.lease = Some(end);
    }

    /// Acquires a free slot of the service on the runner with the most free slots here among those
    /// that `usable` accepts.
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
            .runners
            .iter()
            .filter(|vm| self.runners.get(*vm).is_some_and(|r| r.usable() && r.free > 0))
            .filter(|vm| usable(vm))
            .max_by_key(|vm| self.runners[*vm].free)?
            .clone();
        self.runners.get_mut(&vm)?.acquire();
        Some(Permit { runner: vm, service: service.clone(), lease: self.lease })
    }

    /// Returns a slot whose exchange has ended on the runner.
    pub fn release(&mut self, now: Instant, permit: Permit) {
        self.give_back(now, permit, None);
    }

    /// Returns a slot after the runner refused the exchange for lack of free slots.
    pub fn refuse(&mut self, now: Instant, permit: Permit) {
        self.give_back(now, permit, Some(now + REFUSED_REST));
    }

    /// Returns a slot whose exchange may still run on the runner; the slot stays unused until
    /// `end`.
    pub fn abandon(&mut self, now: Instant, permit: Permit, end: Instant) {
        self.give_back(now, permit, Some(end));
    }

    /// Handles a message from another incarnation.
    pub fn receive(&mut self, now: Instant, from: &Peer, message: Message) {
        if message.to != self.group.me.1 || self.group.is_gone(from) {
            return;
        }
        self.group.learn(from);
        match message.body {
            Body::Hello => self.welcome(from),
            Body::Welcome { joined, known } => self.note_welcome(from, joined, &known),
            Body::Want { service, waiting, held } => {
                self.note_want(now, from, &service, waiting, held)
            }
            Body::Grant { runner, round, serial, slots } => {
                self.take(now, from, runner, &round, serial, slots)
            }
            Body::Taken { runner, serial } => self.note_taken(from, &runner, serial),
            Body::Count { runner, round, ended } => {
                self.set_members(now, ended.into_iter().map(|peer| (peer, Standing::Gone)));
                self.answer_count(now, from, runner, round);
            }
            Body::Held { runner, round, slots } => {
                self.note_held(now, from.clone(), &runner, &round, slots)
            }
            Body::Outdated { runner, round } => self.join(now, &runner, &round),
            Body::Shed { runner, round, slots } => self.shed(&runner, &round, slots),
        }
    }

    /// Sends due messages, starts due recounts and frees slots that are usable again.
    ///
    /// It is to be called every few milliseconds.
    pub fn tick(&mut self, now: Instant) {
        let greetings = self.group.greet(now);
        self.outbox.extend(greetings);
        self.recount_due(now);
        self.resend(now);
        let mut woken = Vec::new();
        for (vm, runner) in &mut self.runners {
            if runner.wake(now) {
                woken.push(vm.clone());
            }
        }
        woken.iter().for_each(|vm| self.share_runner(now, vm));
    }

    /// Takes the queued messages; to be called after each call that may have queued some.
    pub fn sends(&mut self) -> Vec<Send> {
        std::mem::take(&mut self.outbox)
    }

    /// Whether this incarnation has joined and may hold slots.
    pub fn joined(&mut self) -> bool {
        self.group.joined()
    }

    /// Number of this entry's free slots on runners of a service that get new exchanges.
    pub fn free(&self, service: &ServiceId) -> u32 {
        self.open_runners(service).map(|runner| runner.free).sum()
    }

    /// Number of this entry's slots on runners of a service that get new exchanges.
    pub fn held(&self, service: &ServiceId) -> u32 {
        self.open_runners(service).map(Runner::held).sum()
    }

    /// Number of slots of a service that this entry can expect to use.
    ///
    /// This is the larger of the slots held and an even share of all slots, limited to this entry's
    /// share by the demand reported by its peers, but never below half of the even share, and at
    /// least 1 if there are any slots.
    pub fn supply(&self, service: &ServiceId) -> u32 {
        let all: u32 = self.open_runners(service).map(|runner| runner.slots).sum();
        let entries = self.group.alive().count() as u32 + 1;
        let even = all.div_ceil(entries);
        let kept = self.services.get(service).map_or(0, |found| found.part_of(all));
        self.held(service).max(even).min(kept.max(even / 2)).max(u32::from(all > 0))
    }

    /// Number of exchanges that this entry is running on a runner.
    pub fn used(&self, vm: &VmId) -> u32 {
        self.runners.get(vm).map_or(0, |runner| runner.used)
    }

    /// Whether an exchange for one of this entry's slots may still run on a runner.
    pub fn busy(&self, vm: &VmId) -> bool {
        self.runners.get(vm).is_some_and(Runner::busy)
    }

    /// Number of slots of a runner that this entry holds, in any state.
    pub fn held_on(&self, vm: &VmId) -> u32 {
        self.runners.get(vm).map_or(0, Runner::held)
    }

    /// Maximum number of connections, active and idle, that this entry may have open to a runner.
    ///
    /// Each slot stands for an equal part of the runner's connections, so that all entries together
    /// stay within its limit.
    pub fn connections(&self, vm: &VmId) -> u32 {
        let allowed =
            |runner: &Runner| runner.held() * (runner.connections / runner.slots.max(1)).max(1);
        self.runners.get(vm).map_or(0, allowed)
    }

    fn give_back(&mut self, now: Instant, permit: Permit, rest: Option<Instant>) {
        if let Some(runner) = self.runners.get_mut(&permit.runner) {
            runner.release(rest);
            self.share(now, &permit.service);
        }
    }

    fn welcome(&mut self, from: &Peer) {
        self.group.acquaint(from);
        let (joined, known) = (self.group.joined(), self.group.known());
        self.outbox.push(group::send(from, Body::Welcome { joined, known }));
    }

    fn note_welcome(&mut self, from: &Peer, joined: bool, known: &[Peer]) {
        self.group.acquaint(from);
        if joined {
            self.group.anchor();
        }
        known.iter().for_each(|peer| self.group.learn(peer));
    }

    fn take(
        &mut self,
        now: Instant,
        from: &Peer,
        vm: VmId,
        round: &Round,
        serial: u64,
        slots: u32,
    ) {
        self.join(now, &vm, round);
        let runner = self.runner(now, &vm);
        let body = if runner.round == *round {
            runner.take(from, serial, slots);
            Body::Taken { runner: vm.clone(), serial }
        } else {
            Body::Outdated { runner: vm.clone(), round: runner.round.clone() }
        };
        self.outbox.push(group::send(from, body));
    }

    fn note_taken(&mut self, from: &Peer, vm: &VmId, serial: u64) {
        let Some(runner) = self.runners.get_mut(vm) else { return };
        if runner.grants.get(from).is_some_and(|grant| grant.serial == serial) {
            runner.grants.swap_remove(from);
        }
    }

    fn shed(&mut self, vm: &VmId, round: &Round, slots: u32) {
        if let Some(runner) = self.runners.get_mut(vm).filter(|r| r.round == *round) {
            runner.shed(slots);
        }
    }

    fn open_runners(&self, service: &ServiceId) -> impl Iterator<Item = &Runner> {
        let vms = self.services.get(service).map(|found| found.runners.as_slice());
        vms.unwrap_or_default()
            .iter()
            .filter_map(|vm| self.runners.get(vm))
            .filter(|runner| runner.usable())
    }

    /// The runner's state; an undeclared runner is added and gets no exchanges until it is
    /// declared.
    fn runner(&mut self, now: Instant, vm: &VmId) -> &mut Runner {
        let (floor, group) = (self.floor, &self.group);
        let new = || Runner::new(floor, group.ended().cloned().collect(), now);
        self.runners.entry(vm.clone()).or_insert_with(new)
    }

    fn share_runner(&mut self, now: Instant, vm: &VmId) {
        let services = self.services.iter().filter(|(_, service)| service.runners.contains(vm));
        let services: Vec<ServiceId> = services.map(|(id, _)| id.clone()).collect();
        services.iter().for_each(|service| self.share(now, service));
    }

    /// Removes undeclared runners on which this entry holds no slots.
    ///
    /// `floor` keeps their round numbers from being used again if they are declared later.
    fn forget_unused(&mut self) {
        let floor = &mut self.floor;
        self.runners.retain(|_, runner| {
            let keep = runner.declared || runner.held() > 0 || !runner.grants.is_empty();
            if !keep {
                *floor = (*floor).max(runner.round.number + 1);
            }
            keep
        });
    }
}

fn elapsed(since: Option<Instant>, now: Instant, time: Duration) -> bool {
    since.is_none_or(|since| now >= since + time)
}
