//! Manifest of the operators for jobs: queues, and the services whose runners run their tasks.

use {
    super::{access::Access, spec::Spec},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Version of a manifest; later ones have higher versions.
pub type Version = u64;

/// Queues and services that the operators declare.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version.
    pub version: Version,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services.
    pub services: Vec<Service>,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Organisations with their keys; if there are none, no caller needs a key. The ledger stores
    /// them as an extension of the manifest.
    #[serde(skip)]
    pub access: Option<Access>,
}

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host by which callers address it.
    pub host: String,
    /// Path prefix by which callers address it.
    pub prefix: String,
    /// Service whose runners run its tasks.
    pub service: String,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Number of failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// Factor of the deadline: a job's critical path is multiplied by it.
    pub stretch: f64,
    /// Time that is added to this product to get the job's deadline.
    pub slack: Duration,
    /// Response times of the advisor, if tasks need its tickets to start.
    pub advice: Option<Advice>,
}

/// Response times of a queue's advisor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advice {
    /// Time for a call.
    pub decide: Duration,
    /// Additional time for each runner in the call.
    pub each: Duration,
    /// Time for which a ticket is valid.
    pub valid: Duration,
}

/// A service: a pool of VMs with their runners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Whether its runners reject a start that doesn't fit into their free resources.
    pub guards: bool,
    /// Whether its VMs are spare: they are switched off and cost nothing.
    pub spare: bool,
}

impl Queue {
    /// Time within which a job should complete.
    pub fn time_allowed(&self, spec: &Spec) -> Duration {
        spec.critical_path().mul_f64(self.stretch.clamp(1.0, 1_000.0)) + self.slack
    }
}

impl Manifest {
    /// Queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
