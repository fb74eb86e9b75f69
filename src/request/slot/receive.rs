//! Messages from other incarnations: what each changes, and which answer it gets.

use {
    super::{
        Table,
        group::{self, Liveness},
        message::{Body, Message, Peer, Round},
    },
    crate::id::VmId,
    std::time::Instant,
};

impl Table {
    /// Handles a message from another incarnation.
    pub fn receive(&mut self, now: Instant, from: &Peer, message: Message) {
        if message.to != self.group.me.1 || self.group.is_gone(from) {
            return;
        }
        self.group.add(from);
        match message.body {
            Body::Hello => self.handle_hello(from),
            Body::Welcome { joined, known } => self.handle_welcome(from, joined, &known),
            Body::Want { service, waiting, held } => {
                self.handle_want(now, from, &service, waiting, held)
            }
            Body::Grant { endpoint, round, serial, slots } => {
                self.handle_grant(now, from, endpoint, &round, serial, slots)
            }
            Body::Taken { endpoint, serial } => self.handle_taken(from, &endpoint, serial),
            Body::Count { endpoint, round, ended } => {
                self.set_members(now, ended.into_iter().map(|peer| (peer, Liveness::Gone)));
                self.handle_count(now, from, endpoint, round);
            }
            Body::Held { endpoint, round, slots } => {
                self.handle_held(now, from.clone(), &endpoint, &round, slots)
            }
            Body::Outdated { endpoint, round } => self.join_round(now, &endpoint, &round),
            Body::Shed { endpoint, round, slots } => self.handle_shed(&endpoint, &round, slots),
        }
    }

    fn handle_hello(&mut self, from: &Peer) {
        self.group.add_welcome(from);
        let (joined, known) = (self.group.joined(), self.group.known());
        self.outbox.push(group::envelope(from, Body::Welcome { joined, known }));
    }

    fn handle_welcome(&mut self, from: &Peer, joined: bool, known: &[Peer]) {
        self.group.add_welcome(from);
        if joined {
            self.group.confirm_members();
        }
        known.iter().for_each(|peer| self.group.add(peer));
    }

    /// Takes the slots of a grant, or rejects it if its round is outdated.
    fn handle_grant(
        &mut self,
        now: Instant,
        from: &Peer,
        vm: VmId,
        round: &Round,
        serial: u64,
        slots: u32,
    ) {
        self.join_round(now, &vm, round);
        let endpoint = self.endpoint(now, &vm);
        let body = if endpoint.round == *round {
            endpoint.take(from, serial, slots);
            Body::Taken { endpoint: vm.clone(), serial }
        } else {
            Body::Outdated { endpoint: vm.clone(), round: endpoint.round.clone() }
        };
        self.outbox.push(group::envelope(from, body));
    }

    fn handle_taken(&mut self, from: &Peer, vm: &VmId, serial: u64) {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        if endpoint.grants.get(from).is_some_and(|grant| grant.serial == serial) {
            endpoint.grants.swap_remove(from);
        }
    }

    fn handle_shed(&mut self, vm: &VmId, round: &Round, slots: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(vm).filter(|e| e.round == *round) {
            endpoint.shed(slots);
        }
    }
}
