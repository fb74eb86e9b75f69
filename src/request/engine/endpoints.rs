//! Endpoints of this availability zone: which exist, which are leaving and which are healthy.

use {
    super::Engine,
    crate::{
        admit::Supply,
        eject::Source,
        event::Action,
        id::{ServiceId, VmId},
        member::{Health, Proof},
        platform::{self, List},
        slot::{Liveness, Spec},
        wire::Message,
    },
    indexmap::IndexMap,
    log::info,
    std::time::{Duration, Instant},
};

/// Tolerated difference between the platform's clock and an entry's.
const CLOCK_SKEW: Duration = Duration::from_secs(10);
/// Time after which an endpoint's own report that it is leaving expires unless it is repeated.
const LEAVING_REPORT_LIFETIME: Duration = Duration::from_secs(30);

impl Engine {
    /// Updates the endpoints and the teams' weights from the replicated state.
    pub(super) fn update_endpoints(&mut self, now: Instant) {
        let state = self.shared.state();
        let mut specs = IndexMap::new();
        let mut vms_by_service = IndexMap::new();
        for (name, vms) in state.routes() {
            let Some(service) = state.declaration.services.get(name) else {
                continue;
            };
            let mut endpoints = Vec::new();
            for (id, vm) in vms.into_iter().filter(|(_, vm)| vm.zone == self.me.zone) {
                self.addresses.insert(id.clone(), vm.address);
                let (slots, connections) = (service.slots, service.connections);
                endpoints.push(Spec { vm: id.clone(), slots, connections });
            }
            let vms: Vec<VmId> = endpoints.iter().map(|endpoint| endpoint.vm.clone()).collect();
            vms_by_service.insert(name.clone(), vms);
            specs.insert(name.clone(), endpoints);
        }
        self.monitor.set_endpoints(vms_by_service);
        for vm in self.addresses.keys().filter_map(|vm| self.inventory.find(vm)) {
            let leaving = vm.health != platform::Health::Live;
            self.monitor.set_leaving(&vm.id, Source::Platform, leaving);
        }
        self.slots.set_endpoints(now, specs);
        self.addresses.retain(|vm, _| state.declaration.vms.contains_key(vm));
        for (name, service) in &mut self.services {
            if state.declaration.services.contains_key(name) {
                for (team, declared) in &state.declaration.teams {
                    service.queue.set_weight(team, declared.weight);
                }
            }
        }
    }

    /// Slots that this entry can expect to use; none while the service has no usable endpoint.
    pub(super) fn supply(&self, service: &ServiceId) -> Supply {
        let usable = self.monitor.has_usable(service);
        Supply { slots: if usable { self.slots.supply(service) } else { 0 } }
    }

    /// Updates the slot table's members: the peers in this availability zone.
    pub(super) fn update_slot_members(&mut self, now: Instant) {
        if !self.joined() {
            return;
        }
        let zone = &self.me.zone;
        let near = self.peers.list(now).filter(|(peer, _)| peer.member.zone == *zone);
        let members: Vec<_> = near
            .map(|(peer, health)| {
                let liveness = match health {
                    Health::Live => Liveness::Alive,
                    Health::Suspected => Liveness::Suspected,
                    Health::Gone => Liveness::Gone,
                };
                ((peer.member.id.clone(), peer.member.incarnation), liveness)
            })
            .collect();
        let replaced = self.peers.take_replaced().into_iter().map(|peer| (peer, Liveness::Gone));
        self.slots.set_members(now, members.into_iter().chain(replaced));
        self.slots.allow_bootstrap();
        self.slots.tick(now);
    }

    /// Sends the slot table's messages to the peers.
    pub(super) fn send_slots(&mut self) {
        for envelope in self.slots.drain_outbox() {
            let (id, incarnation) = envelope.to;
            let link = self.peers.link(&id, incarnation);
            if let Some(link) = link {
                self.send(id, link, Message::Slot(envelope.message));
            }
        }
    }

    /// Handles a read of the platform's list of VMs.
    pub(super) fn vms_listed(&mut self, now: Instant, list: List) {
        self.note_dead_entries(now, &list);
        for vm in &list.vms {
            let leaving = vm.health != platform::Health::Live;
            self.monitor.set_leaving(&vm.id, Source::Platform, leaving);
        }
        self.inventory.merge(list);
    }

    /// Records the end of entries whose VM is listed as dead, if the list is newer than the entry's
    /// join.
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

    /// Handles an endpoint's own report that it is leaving.
    pub(super) fn endpoint_leaves(&mut self, now: Instant, vm: &VmId) {
        self.monitor.set_leaving(vm, Source::Endpoint, true);
        self.leaving_reports.insert(vm.clone(), now);
    }

    /// Expires the endpoints' own leaving reports, and probes the endpoints that are due.
    pub(super) fn check_endpoints(&mut self, now: Instant) {
        let (monitor, leaving_reports) = (&mut self.monitor, &mut self.leaving_reports);
        leaving_reports.retain(|vm, reported| {
            let keep = now.duration_since(*reported) < LEAVING_REPORT_LIFETIME;
            if !keep {
                monitor.set_leaving(vm, Source::Endpoint, false);
            }
            keep
        });
        for vm in self.monitor.tick(now) {
            self.probe(vm);
        }
    }

    /// Probes an endpoint over a new connection.
    pub(super) fn probe(&mut self, vm: VmId) {
        if let Some(address) = self.addresses.get(&vm).copied() {
            self.actions.push(Action::Probe { vm, address });
        }
    }
}
