//! What operators declare: pools, VMs, services, teams and maintenance waves.
//!
//! A declaration is a whole: it names every pool, service, team and wave that should exist. The VMs
//! come from the platform's list; a declaration says which pool each belongs to.

pub mod budget;
pub mod buffer;
pub mod burn;
pub mod change;
pub mod check;
pub mod controller;
pub mod declaration;
pub mod diff;
pub mod history;
pub mod moves;
pub mod operator;
pub mod plot;
pub mod record;
pub mod rpc;
pub mod snapshot;
pub mod state;
pub mod step;
pub mod verdict;
pub mod wave;

use {
    crate::id::{PoolId, RackId, ServiceId, TeamId, VmId, WaveId, ZoneId},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Exchanges that an endpoint serves at once.
pub const DEFAULT_SLOTS: u32 = 8;
/// Connections that an endpoint accepts at once.
pub const DEFAULT_CONNECTIONS: u32 = 64;

/// A named set of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Pool {
    /// Holds the spare VMs that other pools may borrow.
    pub spare: bool,
    /// VMs that the pool keeps at least.
    pub min_vms: u32,
}

/// A machine that belongs to exactly one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Pool that the VM belongs to.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack in that availability zone.
    pub rack: RackId,
    /// Where its endpoint accepts connections.
    pub address: SocketAddr,
}

/// Availability promised by a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// Endpoints that may be unavailable at once, planned and unplanned together.
    pub max_unavailable: u32,
    /// Of these, in one availability zone.
    pub max_unavailable_zone: u32,
    /// Availability promised over the window, in parts per million.
    pub target_ppm: u32,
    /// Length of the window in seconds.
    pub window_secs: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            max_unavailable: 1,
            max_unavailable_zone: 1,
            target_ppm: 999_000,
            window_secs: 30 * 24 * 3600,
        }
    }
}

/// A service whose endpoints are the VMs of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Pool whose VMs run the endpoints.
    pub pool: PoolId,
    /// Exchanges at once on each endpoint.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections at once to each endpoint, by all entries together.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Availability budget.
    #[serde(default)]
    pub budget: Budget,
}

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

fn default_connections() -> u32 {
    DEFAULT_CONNECTIONS
}

/// A caller's team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Team {
    /// Share of contended slots, relative to the other teams.
    pub weight: u32,
    /// Processor quota for jobs in thousandths of a core.
    pub quota_millicores: u64,
}

impl Default for Team {
    fn default() -> Self {
        Self { weight: 1, quota_millicores: 0 }
    }
}

/// A maintenance wave over the VMs of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wave {
    /// Pool whose VMs are drained and rebooted.
    pub pool: PoolId,
    /// VMs in maintenance at once, at most.
    pub max_at_once: u32,
    /// Failures inside the wave after which it pauses.
    #[serde(default = "default_max_failures")]
    pub max_failures: u32,
}

fn default_max_failures() -> u32 {
    2
}

/// Everything that operators declare, in force as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declaration {
    /// Pools by name.
    pub pools: IndexMap<PoolId, Pool>,
    /// VMs by name, each in exactly one pool.
    pub vms: IndexMap<VmId, Vm>,
    /// Services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// Teams by name.
    pub teams: IndexMap<TeamId, Team>,
    /// Maintenance waves by name.
    pub waves: IndexMap<WaveId, Wave>,
}
