//! Endpoints of this availability zone: which there are, which leave, which are sound.

use {
    super::Engine,
    crate::{
        admit::Supply,
        eject::Word,
        event::Action,
        id::{ServiceId, VmId},
        member::{Health, Proof},
        platform::{self, List},
        slot::{Listed, Standing},
        wire::Message,
    },
    indexmap::IndexMap,
    log::info,
    std::time::{Duration, Instant},
};

/// Difference allowed between the platform's clock and an entry's.
const CLOCK_SKEW: Duration = Duration::from_secs(10);
/// Time after which an endpoint's own word that it leaves must be heard again.
const WORD_KEPT: Duration = Duration::from_secs(30);

impl Engine {
    /// Takes endpoints and team weights from the agreed state.
    pub(super) fn learn_routes(&mut self, now: Instant) {
        let state = self.shared.state();
        let mut listed = IndexMap::new();
        let mut known = IndexMap::new();
        for (name, vms) in state.routes() {
            let Some(service) = state.declaration.services.get(name) else {
                continue;
            };
            let mut runners = Vec::new();
            for (id, vm) in vms.into_iter().filter(|(_, vm)| vm.zone == self.me.zone) {
                self.addresses.insert(id.clone(), vm.address);
                let (slots, connections) = (service.slots, service.connections);
                runners.push(Listed { vm: id.clone(), slots, connections });
            }
            let vms: Vec<VmId> = runners.iter().map(|runner| runner.vm.clone()).collect();
            known.insert(name.clone(), vms);
            listed.insert(name.clone(), runners);
        }
        self.monitor.set_endpoints(known);
        for vm in self.addresses.keys().filter_map(|vm| self.list.find(vm)) {
            let leaving = vm.health != platform::Health::Live;
            self.monitor.set_leaving(&vm.id, Word::Platform, leaving);
        }
        self.slots.set_runners(now, listed);
        self.addresses.retain(|vm, _| state.declaration.vms.contains_key(vm));
        for (name, service) in &mut self.services {
            if state.declaration.services.contains_key(name) {
                for (team, declared) in &state.declaration.teams {
                    service.queue.set_weight(team, declared.weight);
                }
            }
        }
    }

    /// Slots that this entry can count on; none while no endpoint takes work.
    pub(super) fn supply(&self, service: &ServiceId) -> Supply {
        let usable = self.monitor.has_usable(service);
        Supply { slots: if usable { self.slots.supply(service) } else { 0 } }
    }

    /// Tells the slots' table who else is there.
    pub(super) fn learn_standings(&mut self, now: Instant) {
        if !self.joined() {
            return;
        }
        let zone = &self.me.zone;
        let near = self.peers.list(now).filter(|(peer, _)| peer.member.zone == *zone);
        let standings: Vec<_> = near
            .map(|(peer, health)| {
                let standing = match health {
                    Health::Live => Standing::Alive,
                    Health::Suspected => Standing::Suspected,
                    Health::Gone => Standing::Gone,
                };
                ((peer.member.id.clone(), peer.member.incarnation), standing)
            })
            .collect();
        let replaced = self.peers.take_replaced().into_iter().map(|peer| (peer, Standing::Gone));
        self.slots.set_members(now, standings.into_iter().chain(replaced));
        self.slots.set_listed();
        self.slots.tick(now);
    }

    /// Sends what the slots' table has to tell its peers.
    pub(super) fn send_slots(&mut self) {
        for send in self.slots.sends() {
            let (id, incarnation) = send.to;
            let link = self.peers.link(&id, incarnation);
            if let Some(link) = link {
                self.send(id, link, Message::Slot(send.message));
            }
        }
    }

    /// Takes the platform's word on leaving VMs.
    pub(super) fn listed(&mut self, now: Instant, list: List) {
        self.note_dead_entries(now, &list);
        for vm in &list.vms {
            let leaving = vm.health != platform::Health::Live;
            self.monitor.set_leaving(&vm.id, Word::Platform, leaving);
        }
        self.list.merge(list);
    }

    /// Takes the platform's word that an entry's VM has ended since the entry joined.
    fn note_dead_entries(&mut self, now: Instant, list: &List) {
        let as_of = Duration::from_millis(list.as_of_ms);
        let state = self.shared.state();
        for vm in list.vms.iter().filter(|vm| vm.health == platform::Health::Dead) {
            let joined = state.joined.get(&vm.id).is_some_and(|j| j.at + CLOCK_SKEW < as_of);
            let Some(member) = state.members.get(&vm.id).filter(|_| joined) else {
                continue;
            };
            if self.peers.mark_gone(&vm.id, member.incarnation, Proof::Listed) {
                info!("member: Entry {} has ended: its VM is listed as dead.", vm.id);
                self.record_gone(now, vm.id.clone(), member.incarnation);
            }
        }
    }

    /// Takes an endpoint's own word that it leaves.
    pub(super) fn endpoint_leaves(&mut self, now: Instant, vm: &VmId) {
        self.monitor.set_leaving(vm, Word::Endpoint, true);
        self.words.insert(vm.clone(), now);
    }

    /// Forgets words that were not heard again, and probes endpoints that are due.
    pub(super) fn watch_endpoints(&mut self, now: Instant) {
        let (monitor, words) = (&mut self.monitor, &mut self.words);
        words.retain(|vm, said| {
            let keep = now.duration_since(*said) < WORD_KEPT;
            if !keep {
                monitor.set_leaving(vm, Word::Endpoint, false);
            }
            keep
        });
        for vm in self.monitor.tick(now) {
            self.probe(vm);
        }
    }

    pub(super) fn probe(&mut self, vm: VmId) {
        if let Some(address) = self.addresses.get(&vm).copied() {
            self.actions.push(Action::Probe { vm, address });
        }
    }
}
