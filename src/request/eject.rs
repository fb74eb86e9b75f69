//! Decides which endpoints get new work.
//!
//! An endpoint whose exchanges fail one after the other is ejected, then probed at growing
//! intervals, and taken back when a probe succeeds. Only a part of a service's endpoints can be
//! ejected at once, so that the others are not overrun; if more fail, the longest-failing stay out.
//! A connection that goes silent is blamed before its endpoint: a probe over a new connection
//! decides. A leaving endpoint gets no new work from the first word that says so, until the word
//! that said so is withdrawn.

use {
    crate::id::{ServiceId, VmId},
    indexmap::{IndexMap, IndexSet},
    std::time::{Duration, Instant},
};

/// Failures in a row after which an endpoint is ejected.
const MAX_FAILURES: u32 = 5;
/// Percentage of a service's endpoints that may be ejected at once.
const MAX_EJECTED_PERCENT: usize = 34;
/// Time from an ejection to the first probe.
const FIRST_PROBE_AFTER: Duration = Duration::from_secs(1);
/// Longest time between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);
/// Time after which a probe without an answer counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Who said that an endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Word {
    /// A drain record.
    Drain,
    /// The platform's list of VMs.
    Platform,
    /// The endpoint itself, in an answer.
    Endpoint,
}

#[derive(Clone, Debug)]
enum Standing {
    Sound,
    Ejected { probe_at: Instant, interval: Duration },
}

#[derive(Clone, Debug)]
struct Endpoint {
    failures: u32,
    standing: Standing,
    probing: Option<Instant>,
    leaving: IndexSet<Word>,
}

impl Default for Endpoint {
    fn default() -> Self {
        Self { failures: 0, standing: Standing::Sound, probing: None, leaving: IndexSet::new() }
    }
}

impl Endpoint {
    fn ejected(&self) -> bool {
        matches!(self.standing, Standing::Ejected { .. })
    }

    fn eject(&mut self, now: Instant) {
        let interval = match self.standing {
            Standing::Sound => FIRST_PROBE_AFTER,
            Standing::Ejected { interval, .. } => (interval * 2).min(MAX_PROBE_INTERVAL),
        };
        self.standing = Standing::Ejected { probe_at: now + interval, interval };
    }
}

/// The endpoints of the services as one entry sees them.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    services: IndexMap<ServiceId, Vec<VmId>>,
    endpoints: IndexMap<VmId, Endpoint>,
}

impl Monitor {
    /// Sets the endpoints of each service.
    pub fn set_endpoints(&mut self, services: IndexMap<ServiceId, Vec<VmId>>) {
        let listed: IndexSet<VmId> = services.values().flatten().cloned().collect();
        self.endpoints.retain(|vm, _| listed.contains(vm));
        for vm in listed {
            self.endpoints.entry(vm).or_default();
        }
        self.services = services;
    }

    /// The endpoint is neither ejected nor leaving.
    pub fn is_usable(&self, vm: &VmId) -> bool {
        self.endpoints.get(vm).is_some_and(|e| !e.ejected() && e.leaving.is_empty())
    }

    /// Some endpoint of the service is neither ejected nor leaving.
    pub fn has_usable(&self, service: &ServiceId) -> bool {
        let vms = self.services.get(service);
        vms.is_some_and(|vms| vms.iter().any(|vm| self.is_usable(vm)))
    }

    /// The endpoint is ejected.
    pub fn is_ejected(&self, vm: &VmId) -> bool {
        self.endpoints.get(vm).is_some_and(Endpoint::ejected)
    }

    /// The endpoint takes no new work.
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        self.endpoints.get(vm).is_some_and(|e| !e.leaving.is_empty())
    }

    /// Notes or withdraws a word that the endpoint is leaving.
    pub fn set_leaving(&mut self, vm: &VmId, word: Word, leaving: bool) {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        match leaving {
            true => endpoint.leaving.insert(word),
            false => endpoint.leaving.swap_remove(&word),
        };
    }

    /// Notes an exchange that did not fail.
    pub fn succeed(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.failures = 0;
        }
    }

    /// Notes an exchange that failed; true if the endpoint was ejected for it.
    pub fn fail(&mut self, now: Instant, vm: &VmId) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return false };
        endpoint.failures = endpoint.failures.saturating_add(1);
        let due = endpoint.failures >= MAX_FAILURES && !endpoint.ejected();
        let ejects = due && self.may_eject(vm);
        if let Some(endpoint) = self.endpoints.get_mut(vm).filter(|_| ejects) {
            endpoint.eject(now);
        }
        ejects
    }

    /// Notes a connection without progress; true if a probe over a new connection should follow.
    pub fn suspect(&mut self, now: Instant, vm: &VmId) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return false };
        if endpoint.probing.is_some() {
            return false;
        }
        endpoint.probing = Some(now);
        true
    }

    /// Notes how a probe over a new connection ended.
    pub fn probed(&mut self, now: Instant, vm: &VmId, sound: bool) {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        endpoint.probing = None;
        if sound {
            endpoint.failures = 0;
            endpoint.standing = Standing::Sound;
            return;
        }
        endpoint.failures = endpoint.failures.max(MAX_FAILURES);
        let ejected = endpoint.ejected();
        if ejected || self.may_eject(vm) {
            self.endpoints[vm].eject(now);
        }
    }

    /// Endpoints to probe now over a new connection each.
    pub fn tick(&mut self, now: Instant) -> Vec<VmId> {
        let lost = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.probing.is_some_and(|since| now >= since + PROBE_TIMEOUT)
        });
        let lost: Vec<VmId> = lost.map(|(vm, _)| vm.clone()).collect();
        lost.iter().for_each(|vm| self.probed(now, vm, false));
        let mut probes = Vec::new();
        for (vm, endpoint) in &mut self.endpoints {
            let due = match endpoint.standing {
                Standing::Ejected { probe_at, .. } => probe_at <= now,
                Standing::Sound => false,
            };
            if due && endpoint.probing.is_none() {
                endpoint.probing = Some(now);
                probes.push(vm.clone());
            }
        }
        probes
    }

    /// Ejecting one more endpoint leaves enough in each of its services.
    fn may_eject(&self, vm: &VmId) -> bool {
        self.services.values().filter(|vms| vms.contains(vm)).all(|vms| {
            let out = vms.iter().filter(|other| *other != vm && !self.is_usable(other)).count();
            (out + 1) * 100 <= vms.len() * MAX_EJECTED_PERCENT
        })
    }
}
