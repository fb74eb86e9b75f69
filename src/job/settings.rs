//! Settings of an entry that places jobs.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of an entry that places jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM.
    pub node: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this entry is ready.
    pub ready: SocketAddr,
    /// Where the other entries connect.
    pub peer: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The platform's list of VMs, and actions on them.
    pub fleet: Option<SocketAddr>,
    /// The service that names the runners which may run a step.
    pub advisor: Option<SocketAddr>,
    /// Cores that this VM has; may be a part of one.
    pub cores: f64,
    /// Bounds that the platform sets.
    pub bounds: Bounds,
}

/// Bounds that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Longest lease of a runner.
    pub lease: Duration,
    /// Time a stop of a task takes at most.
    pub stop: Duration,
    /// Time for which the state of an ended job can be read.
    pub status: Duration,
    /// Time between the request to stop a process and its end by force.
    pub grace: Duration,
    /// Time without work after which an endless task counts as unavailable.
    pub notice: Duration,
    /// Time a VM takes to move to another pool.
    pub move_time: Duration,
    /// Time the upkeep of a VM takes.
    pub upkeep_time: Duration,
    /// Time for which two holders may not both act on a VM.
    pub holder: Duration,
    /// Time a task takes to resume from a checkpoint.
    pub restore: Duration,
    /// Factor by which a task is slower away from its data.
    pub far_factor: f64,
    /// Time for which an endless task may miss its latency objective through fillers.
    pub harm: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            stop: Duration::from_millis(400),
            status: Duration::from_secs(120),
            grace: Duration::from_secs(6),
            notice: Duration::from_millis(4_500),
            move_time: Duration::from_millis(1_500),
            upkeep_time: Duration::from_secs(2),
            holder: Duration::from_secs(3),
            restore: Duration::from_millis(250),
            far_factor: 2.0,
            harm: Duration::from_secs(4),
        }
    }
}
