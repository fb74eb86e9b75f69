//! Validation of declarations and changes, which reports all faults and not just the first.
//!
//! A whole declaration and a change of single objects go through the same code, since both are
//! lists of edits to the state. Validation needs one pass over the VMs, and only if the edits
//! concern VMs or pools.

use {
    crate::{
        budget::MAX_WINDOW,
        change::{Change, Edit},
        fleet::{Pool, Service, Team, Vm, Wave},
        id::{ObjectId, Offset, PoolId, ServiceId, TeamId, VmId, WaveId},
        state::State,
        verdict::Faults,
    },
    displaydoc::Display,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Maximum number of faults listed in one verdict; further ones are only counted.
const MAX_FAULTS: usize = 64;
/// One in parts per million.
pub const MILLION: u32 = 1_000_000;

/// One fault of a declared object. The `why` texts are part of the stored state, so rewording them
/// would make entries of different versions disagree.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// {object} was edited from version {expected:?}, but {found:?} is in force
    Version {
        /// The object.
        object: ObjectId,
        /// Version that the author saw.
        expected: Option<Offset>,
        /// Version in force.
        found: Option<Offset>,
    },
    /// {0} is edited more than once
    Twice(ObjectId),
    /// {object}: the name must have 1 to 128 bytes
    Name {
        /// The object.
        object: ObjectId,
    },
    /// {object} refers to pool {pool:?}, which is not declared
    UnknownPool {
        /// The object.
        object: ObjectId,
        /// The pool.
        pool: PoolId,
    },
    /// pool {pool:?} cannot be removed: {object} still uses it
    UsedPool {
        /// The pool.
        pool: PoolId,
        /// The object.
        object: ObjectId,
    },
    /// pool {pool:?} would have {found} VMs, fewer than its minimum of {min}
    FewVms {
        /// The pool.
        pool: PoolId,
        /// Number of VMs that would be declared in it.
        found: u32,
        /// Its declared minimum.
        min: u32,
    },
    /// vms {first:?} and {second:?} have the same address {address}
    Address {
        /// One VM.
        first: VmId,
        /// The other VM.
        second: VmId,
        /// Their address.
        address: SocketAddr,
    },
    /// service {service:?} has an invalid budget: {why}
    Budget {
        /// The service.
        service: ServiceId,
        /// What is invalid.
        why: String,
    },
    /// service {0:?} has no slots or no connections
    NoSlots(ServiceId),
    /// team {0:?} has weight 0
    NoWeight(TeamId),
    /// wave {wave:?} is invalid: {why}
    Wave {
        /// The wave.
        wave: WaveId,
        /// What is invalid.
        why: String,
    },
    /// and {0} more
    More(usize),
}

/// Edits whose expected version is not the current one, and objects that are edited twice.
pub(crate) fn conflicts(state: &State, changes: &[Change]) -> Faults {
    let mut seen = IndexMap::new();
    let mut faults = Vec::new();
    for change in changes {
        let object = change.object();
        let (expected, found) = (change.expected(), state.versions.get(&object));
        if seen.insert(object.clone(), ()).is_some() {
            faults.push(Fault::Twice(object));
        } else if expected != found {
            faults.push(Fault::Version { object, expected, found });
        }
    }
    truncate(faults)
}

/// All faults of the declaration that the edits would lead to.
pub(crate) fn faults(state: &State, changes: &[Change]) -> Faults {
    let proposal = Proposal::new(state, changes);
    let mut faults: Vec<_> = changes.iter().filter_map(check_name).collect();
    for change in changes {
        proposal.check(change, &mut faults);
    }
    proposal.check_pools(&mut faults);
    proposal.check_addresses(&mut faults);
    truncate(faults)
}

/// Fault of an object whose name is empty or too long.
fn check_name(change: &Change) -> Option<Fault> {
    let object = change.object();
    let length = object.split_once('/').map_or(0, |(_, name)| name.len());
    (length == 0 || length > 128).then_some(Fault::Name { object })
}

/// Limits a list of faults to [`MAX_FAULTS`] and counts the others.
fn truncate(mut faults: Vec<Fault>) -> Faults {
    if faults.len() > MAX_FAULTS {
        let more = faults.len() - MAX_FAULTS;
        faults.truncate(MAX_FAULTS);
        faults.push(Fault::More(more));
    }
    Faults(faults)
}

/// The current state overlaid with edits.
struct Proposal<'a> {
    state: &'a State,
    pools: IndexMap<&'a str, Option<&'a Pool>>,
    vms: IndexMap<&'a str, Option<&'a Vm>>,
    services: IndexMap<&'a str, Option<&'a Service>>,
    waves: IndexMap<&'a str, Option<&'a Wave>>,
}

impl<'a> Proposal<'a> {
    fn new(state: &'a State, changes: &'a [Change]) -> Self {
        let mut proposal = Self {
            state,
            pools: IndexMap::new(),
            vms: IndexMap::new(),
            services: IndexMap::new(),
            waves: IndexMap::new(),
        };
        for change in changes {
            match change {
                Change::Pool(e) => overlay_edit(&mut proposal.pools, e),
                Change::Vm(e) => overlay_edit(&mut proposal.vms, e),
                Change::Service(e) => overlay_edit(&mut proposal.services, e),
                Change::Wave(e) => overlay_edit(&mut proposal.waves, e),
                Change::Team(_) => {}
            }
        }
        proposal
    }

    fn check(&self, change: &Change, faults: &mut Vec<Fault>) {
        match change {
            Change::Pool(_) => {}
            Change::Vm(e) => self.check_pool(change, e.value.as_ref().map(|v| &v.pool), faults),
            Change::Service(e) => {
                self.check_pool(change, e.value.as_ref().map(|s| &s.pool), faults);
                e.value.iter().for_each(|s| self.check_service(&e.id, s, faults));
            }
            Change::Team(e) => faults.extend(check_team(e)),
            Change::Wave(e) => {
                self.check_pool(change, e.value.as_ref().map(|w| &w.pool), faults);
                self.check_wave(e, faults);
            }
        }
    }

    fn has_pool(&self, pool: &str) -> bool {
        match self.pools.get(pool) {
            Some(edited) => edited.is_some(),
            None => self.state.declaration.pools.contains_key(pool),
        }
    }

    fn check_pool(&self, change: &Change, pool: Option<&PoolId>, faults: &mut Vec<Fault>) {
        if let Some(pool) = pool.filter(|p| !self.has_pool(p)) {
            faults.push(Fault::UnknownPool { object: change.object(), pool: pool.clone() });
        }
    }

    fn check_service(&self, id: &ServiceId, service: &Service, faults: &mut Vec<Fault>) {
        if service.slots == 0 || service.connections == 0 {
            faults.push(Fault::NoSlots(id.clone()));
        }
        let budget = &service.budget;
        let mut reject_if = |condition: bool, why: &str| {
            if condition {
                faults.push(Fault::Budget { service: id.clone(), why: why.into() });
            }
        };
        reject_if(
            budget.max_unavailable_zone > budget.max_unavailable,
            "more endpoints unavailable in one availability zone than in all",
        );
        reject_if(budget.target_ppm > MILLION, "a target above 1,000,000 parts per million");
        reject_if(budget.window_secs == 0, "a window of 0 s");
        let too_long = Duration::from_secs(budget.window_secs) > MAX_WINDOW;
        reject_if(too_long, "a window longer than 92 days");
        let has_wave = self.waves().any(|(_, wave)| wave.pool == service.pool);
        let none = budget.max_unavailable == 0 || budget.max_unavailable_zone == 0;
        reject_if(has_wave && none, "no endpoint may be unavailable, but a wave is declared");
    }

    fn check_wave(&self, edit: &Edit<Wave>, faults: &mut Vec<Fault>) {
        let run = self.state.waves.get(&edit.id).filter(|r| r.ended.is_none());
        let old = self.state.declaration.waves.get(&edit.id);
        let changes_pool = edit.value.as_ref().map(|w| &w.pool) != old.map(|w| &w.pool);
        let mut reject_if = |condition: bool, why: &str| {
            if condition {
                faults.push(Fault::Wave { wave: edit.id.clone(), why: why.into() });
            }
        };
        reject_if(
            run.is_some() && changes_pool,
            "it runs; cancel it before it is removed or moved",
        );
        let Some(wave) = &edit.value else { return };
        reject_if(wave.max_at_once == 0, "it may hold no VM at once");
        reject_if(wave.max_failures == 0, "it would pause before the first failure");
        let mut on_pool = self.services().filter(|(_, s)| s.pool == wave.pool);
        let none =
            |s: &Service| s.budget.max_unavailable == 0 || s.budget.max_unavailable_zone == 0;
        let forbidden = on_pool.any(|(id, s)| none(s) && !self.services.contains_key(id));
        reject_if(forbidden, "a service of its pool may have no endpoint unavailable");
    }

    fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        overlay(&self.state.declaration.services, &self.services)
    }

    fn waves(&self) -> impl Iterator<Item = (&str, &Wave)> {
        overlay(&self.state.declaration.waves, &self.waves)
    }

    /// VMs as they would be declared, with pending moves already applied.
    fn vms(&self) -> impl Iterator<Item = (&str, &Vm)> {
        let kept = self.state.declaration.vms.iter().filter_map(|(id, vm)| {
            if self.vms.contains_key(id.as_str()) {
                return None;
            }
            match self.state.moves.get(id) {
                Some(pending) => pending.to.as_ref().map(|to| (id.as_str(), to)),
                None => Some((id.as_str(), vm)),
            }
        });
        kept.chain(self.vms.iter().filter_map(|(id, vm)| vm.map(|v| (*id, v))))
    }

    fn check_pools(&self, faults: &mut Vec<Fault>) {
        let mut left: IndexMap<&str, u32> = IndexMap::new();
        for (id, edited) in &self.vms {
            let old =
                self.state.declared_vm(id).filter(|o| edited.map(|e| &e.pool) != Some(&o.pool));
            left.extend(old.map(|o| (o.pool.as_str(), 0)));
        }
        for (id, edited) in &self.pools {
            match edited {
                Some(_) => _ = left.insert(id, 0),
                None => faults.extend(self.removed_pool_fault(id)),
            }
        }
        if left.is_empty() {
            return;
        }
        for (_, vm) in self.vms() {
            left.entry(vm.pool.as_str()).and_modify(|count| *count += 1);
        }
        for (pool, found) in left {
            let min = self.min_vms(pool);
            if found < min {
                faults.push(Fault::FewVms { pool: pool.into(), found, min });
            }
        }
    }

    fn min_vms(&self, pool: &str) -> u32 {
        match self.pools.get(pool) {
            Some(edited) => edited.map_or(0, |p| p.min_vms),
            None => self.state.declaration.pools.get(pool).map_or(0, |p| p.min_vms),
        }
    }

    /// Fault if a removed pool is still in use, naming the first object that uses it. VMs that have
    /// not left the pool yet count, too.
    fn removed_pool_fault(&self, pool: &str) -> Option<Fault> {
        let inside = self.state.declaration.vms.iter().find(|(_, vm)| vm.pool == pool);
        let object = inside
            .map(|(id, _)| format!("vm/{id}"))
            .or_else(|| self.vms().find(|(_, v)| v.pool == pool).map(|(id, _)| format!("vm/{id}")))
            .or_else(|| first_user(self.services(), |s| s.pool == pool, "service"))
            .or_else(|| first_user(self.waves(), |w| w.pool == pool, "wave"))?;
        Some(Fault::UsedPool { pool: pool.into(), object })
    }

    /// Reports edited VMs whose address another VM has, now or after its pending move.
    fn check_addresses(&self, faults: &mut Vec<Fault>) {
        let mut edited: IndexMap<SocketAddr, &str> = IndexMap::new();
        for (id, vm) in &self.vms {
            let Some(vm) = vm else { continue };
            if let Some(other) = edited.insert(vm.address, id) {
                faults.push(address_fault(other, id, vm.address));
            }
        }
        if edited.is_empty() {
            return;
        }
        let in_force = self.state.declaration.vms.iter().map(|(id, vm)| (id.as_str(), vm));
        let mut found: IndexMap<(&str, &str), SocketAddr> = IndexMap::new();
        for (id, vm) in in_force.chain(self.vms()) {
            if let Some(other) = edited.get(&vm.address).filter(|o| **o != id) {
                let both_edited = self.vms.get(id).is_some_and(|v| *v == Some(vm));
                if !both_edited {
                    found.insert((id, other), vm.address);
                }
            }
        }
        faults.extend(
            found.into_iter().map(|((id, other), address)| address_fault(id, other, address)),
        );
    }
}

fn overlay_edit<'a, T>(map: &mut IndexMap<&'a str, Option<&'a T>>, edit: &'a Edit<T>) {
    map.insert(&edit.id, edit.value.as_ref());
}

fn address_fault(first: &str, second: &str, address: SocketAddr) -> Fault {
    Fault::Address { first: first.into(), second: second.into(), address }
}

fn check_team(edit: &Edit<Team>) -> Option<Fault> {
    let none = edit.value.as_ref().is_some_and(|t| t.weight == 0);
    none.then(|| Fault::NoWeight(edit.id.clone()))
}

/// Objects of one kind after the edits.
fn overlay<'a, T>(
    found: &'a IndexMap<String, T>,
    edited: &'a IndexMap<&'a str, Option<&'a T>>,
) -> impl Iterator<Item = (&'a str, &'a T)> {
    let kept = found.iter().map(|(id, value)| (id.as_str(), value));
    let kept = kept.filter(|(id, _)| !edited.contains_key(id));
    kept.chain(edited.iter().filter_map(|(id, value)| value.map(|v| (*id, v))))
}

/// First object of one kind for which `uses` is true.
fn first_user<'a, T: 'a>(
    mut objects: impl Iterator<Item = (&'a str, &'a T)>,
    uses: impl Fn(&T) -> bool,
    kind: &str,
) -> Option<ObjectId> {
    objects.find(|(_, value)| uses(value)).map(|(id, _)| format!("{kind}/{id}"))
}
