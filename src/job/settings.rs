//! Settings of an entry that places jobs.

use {
    crate::intake,
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
    /// Address to which callers connect.
    pub callers: SocketAddr,
    /// Address at which the load balancer checks whether this entry is ready.
    pub ready: SocketAddr,
    /// Address to which the other entries connect.
    pub peer: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's VM service, which lists VMs and carries out actions on them.
    pub fleet: Option<SocketAddr>,
    /// Address of the advisor, which names the runners that may run a step.
    pub advisor: Option<SocketAddr>,
    /// Number of this VM's cores; may be a fraction.
    pub cores: f64,
    /// Limits on what callers may hold of this VM's memory and descriptors.
    pub intake: intake::Limits,
    /// Longest deadline of a request; a longer one is reduced to it.
    pub max_deadline: Duration,
    /// Maximum number of requests that wait for the owner's answer.
    pub max_pending: usize,
    /// Maximum number of the platform's connections to the readiness check and the metrics.
    pub internal_connections: usize,
    /// Bounds that the platform sets.
    pub bounds: Bounds,
}

/// Bounds that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Longest lease of a runner.
    pub lease: Duration,
    /// Longest time that the stop of a task takes.
    pub stop: Duration,
    /// Time for which the state of an ended job can be read.
    pub status: Duration,
    /// Time between the request to stop a process and its forced termination.
    pub grace: Duration,
    /// Time without work after which an endless task counts as unavailable.
    pub notice: Duration,
    /// Time that a VM takes to move to another pool.
    pub move_time: Duration,
    /// Time that the maintenance of a VM takes.
    pub upkeep_time: Duration,
    /// Time within which two different holders may not act on the same VM.
    pub holder: Duration,
    /// Time that a task takes to resume from a checkpoint.
    pub restore: Duration,
    /// Factor by which a task is slower on another rack than that of its data.
    pub far_factor: f64,
    /// Time for which fillers may make an endless task miss its latency objective.
    pub harm: Duration,
    /// Age of the operators' records after which keys are no longer accepted; if `None`, known keys
    /// stay valid for as long as these records can't be read.
    pub key_validity: Option<Duration>,
    /// Whether jobs are refused whose result would be of no use by the backlog of their service.
    pub sheds_load: bool,
    /// Largest record that the store accepts, in bytes.
    pub record_bytes: usize,
    /// Largest total of the records in one append, in bytes.
    pub append_bytes: usize,
    /// Memory for jobs at the owner above which new ones are refused, in bytes.
    pub job_memory: usize,
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
            key_validity: None,
            sheds_load: false,
            record_bytes: 256 << 10,
            append_bytes: 2 << 20,
            job_memory: 40_000_000,
        }
    }
}
