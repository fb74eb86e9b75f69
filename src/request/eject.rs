//! Outlier ejection: decides which endpoints get new requests.
//!
//! An endpoint is ejected after consecutive failed exchanges, probed at increasing intervals and
//! readmitted when a probe succeeds. Only a limited share of a service's endpoints can be ejected
//! at once, so that the others are not overloaded; if more fail, those ejected first stay ejected.
//! A connection that stops responding does not eject its endpoint by itself, since the connection
//! alone may be at fault: a probe over a new connection decides. A leaving endpoint gets no new
//! requests from the first report that it leaves until every source has withdrawn its report.

use {
    crate::id::{ServiceId, VmId},
    indexmap::{IndexMap, IndexSet},
    std::time::{Duration, Instant},
};

/// Consecutive failures after which an endpoint is ejected.
const MAX_FAILURES: u32 = 5;
/// Percentage of a service's endpoints that may be ejected or leaving after another ejection.
const MAX_EJECTED_PERCENT: usize = 34;
/// Delay from an ejection to the first probe; each failed probe doubles it.
const FIRST_PROBE_AFTER: Duration = Duration::from_secs(1);
/// Upper limit of the delay between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);
/// Time after which a probe without a response counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Who reported that an endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// A drain record.
    Drain,
    /// The platform's list of VMs.
    Platform,
    /// The endpoint itself, in a response.
    Endpoint,
}

/// Whether an endpoint is ejected.
#[derive(Clone, Debug)]
enum State {
    Healthy,
    Ejected { probe_at: Instant, interval: Duration },
}

/// State of one endpoint.
#[derive(Clone, Debug)]
struct Endpoint {
    /// Number of consecutive failures.
    failures: u32,
    state: State,
    /// When the running probe was started.
    probing: Option<Instant>,
    /// Sources that report the endpoint as leaving.
    leaving: IndexSet<Source>,
}

impl Default for Endpoint {
    fn default() -> Self {
        Self { failures: 0, state: State::Healthy, probing: None, leaving: IndexSet::new() }
    }
}

impl Endpoint {
    fn ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Ejects the endpoint, or doubles the delay to the next probe if it is ejected already.
    fn eject(&mut self, now: Instant) {
        let interval = match self.state {
            State::Healthy => FIRST_PROBE_AFTER,
            State::Ejected { interval, .. } => (interval * 2).min(MAX_PROBE_INTERVAL),
        };
        self.state = State::Ejected { probe_at: now + interval, interval };
    }
}

/// State of the services' endpoints as observed by this entry.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    services: IndexMap<ServiceId, Vec<VmId>>,
    endpoints: IndexMap<VmId, Endpoint>,
}

impl Monitor {
    /// Replaces the endpoints of each service; known endpoints keep their state.
    pub fn set_endpoints(&mut self, services: IndexMap<ServiceId, Vec<VmId>>) {
        let listed: IndexSet<VmId> = services.values().flatten().cloned().collect();
        self.endpoints.retain(|vm, _| listed.contains(vm));
        for vm in listed {
            self.endpoints.entry(vm).or_default();
        }
        self.services = services;
    }

    /// Whether the endpoint is neither ejected nor leaving.
    pub fn is_usable(&self, vm: &VmId) -> bool {
        self.endpoints.get(vm).is_some_and(|e| !e.ejected() && e.leaving.is_empty())
    }

    /// Whether the service has an endpoint that is neither ejected nor leaving.
    pub fn has_usable(&self, service: &ServiceId) -> bool {
        let vms = self.services.get(service);
        vms.is_some_and(|vms| vms.iter().any(|vm| self.is_usable(vm)))
    }

    /// Whether the endpoint is ejected.
    pub fn is_ejected(&self, vm: &VmId) -> bool {
        self.endpoints.get(vm).is_some_and(Endpoint::ejected)
    }

    /// Whether any source reports that the endpoint is leaving.
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        self.endpoints.get(vm).is_some_and(|e| !e.leaving.is_empty())
    }

    /// Adds or withdraws a source's report that the endpoint is leaving.
    pub fn set_leaving(&mut self, vm: &VmId, source: Source, leaving: bool) {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        match leaving {
            true => endpoint.leaving.insert(source),
            false => endpoint.leaving.swap_remove(&source),
        };
    }

    /// Records an exchange that did not fail.
    pub fn succeed(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.failures = 0;
        }
    }

    /// Records a failed exchange; returns whether it caused the endpoint's ejection.
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

    /// Records a connection that stopped responding; returns whether to probe the endpoint over a
    /// new connection, which is false while a probe is running.
    pub fn suspect(&mut self, now: Instant, vm: &VmId) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return false };
        if endpoint.probing.is_some() {
            return false;
        }
        endpoint.probing = Some(now);
        true
    }

    /// Records the result of a probe over a new connection.
    pub fn probed(&mut self, now: Instant, vm: &VmId, reachable: bool) {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        endpoint.probing = None;
        if reachable {
            endpoint.failures = 0;
            endpoint.state = State::Healthy;
            return;
        }
        endpoint.failures = endpoint.failures.max(MAX_FAILURES);
        let ejected = endpoint.ejected();
        if ejected || self.may_eject(vm) {
            self.endpoints[vm].eject(now);
        }
    }

    /// Fails the probes that timed out; returns the endpoints to probe now, each over a new
    /// connection.
    pub fn tick(&mut self, now: Instant) -> Vec<VmId> {
        let timed_out = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.probing.is_some_and(|since| now >= since + PROBE_TIMEOUT)
        });
        let timed_out: Vec<VmId> = timed_out.map(|(vm, _)| vm.clone()).collect();
        timed_out.iter().for_each(|vm| self.probed(now, vm, false));
        let mut probes = Vec::new();
        for (vm, endpoint) in &mut self.endpoints {
            let due = match endpoint.state {
                State::Ejected { probe_at, .. } => probe_at <= now,
                State::Healthy => false,
            };
            if due && endpoint.probing.is_none() {
                endpoint.probing = Some(now);
                probes.push(vm.clone());
            }
        }
        probes
    }

    /// Whether each of the endpoint's services keeps enough usable endpoints without it.
    fn may_eject(&self, vm: &VmId) -> bool {
        self.services.values().filter(|vms| vms.contains(vm)).all(|vms| {
            let out = vms.iter().filter(|other| *other != vm && !self.is_usable(other)).count();
            (out + 1) * 100 <= vms.len() * MAX_EJECTED_PERCENT
        })
    }
}
