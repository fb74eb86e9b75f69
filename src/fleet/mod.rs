//! Fleet plane: the desired state that operators declare, and the replicated state machine that
//! carries it out.
//!
//! This file holds the declared types: pools, VMs, services, teams and maintenance waves. A
//! declaration is always complete: it names every pool, VM, service, team and wave that should
//! exist, and gives the pool, availability zone, rack and address of each VM. None of these come
//! from the platform's list of VMs, which reports their health.
//!
//! Requests to change the fleet are records in the platform's log ([`record`]). Every entry applies
//! them in log order to its copy of the [`state`], which accepts or rejects each record.
//! Declarations are read from files by [`declaration`], validated by [`check`] and compared by
//! [`diff`]; [`moves`], [`wave`], [`step`] and [`budget`] hold the parts of the state machine;
//! [`controller`] drives waves and moves; [`rpc`] serves operators' calls.

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

/// Requests that an endpoint serves concurrently, unless its service declares another limit.
pub const DEFAULT_SLOTS: u32 = 8;
/// Connections that an endpoint accepts, unless its service declares another limit.
pub const DEFAULT_CONNECTIONS: u32 = 64;

/// A named set of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Pool {
    /// Whether this is the pool of spare VMs, from which other pools may borrow.
    pub spare: bool,
    /// Minimum number of VMs in the pool.
    pub min_vms: u32,
}

/// A VM, which belongs to exactly one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Pool that the VM belongs to.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack in that availability zone.
    pub rack: RackId,
    /// Address at which its endpoint accepts connections.
    pub address: SocketAddr,
}

/// Availability objective of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// Maximum number of endpoints unavailable at the same time, planned and unplanned together.
    pub max_unavailable: u32,
    /// Maximum number of endpoints unavailable at the same time in one availability zone.
    pub max_unavailable_zone: u32,
    /// Target availability over the window, in parts per million.
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
    /// Maximum number of concurrent requests per endpoint.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of connections per endpoint, summed over all entries.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Availability objective and error budget.
    #[serde(default)]
    pub budget: Budget,
}

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

fn default_connections() -> u32 {
    DEFAULT_CONNECTIONS
}

/// A team of callers, the unit of fair sharing and quotas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Team {
    /// Weight of the team in the fair sharing of contended slots.
    pub weight: u32,
    /// CPU quota for jobs in thousandths of a core.
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
    /// Maximum number of VMs in maintenance at the same time.
    pub max_at_once: u32,
    /// Number of recently failed VMs of the pool at which the wave pauses, counted since it was
    /// started or resumed.
    #[serde(default = "default_max_failures")]
    pub max_failures: u32,
}

fn default_max_failures() -> u32 {
    2
}

/// The complete desired state of the fleet, replaced as a unit.
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
