//! The operators' declaration in force for jobs: queues, and the services whose runners serve them.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Version of a manifest; rises.
pub type Version = u64;

/// Queues and services.
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
    /// Precedence; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// Time allowed for a job, as a multiple of its longest chain of work.
    pub stretch: f64,
    /// Time allowed for a job beside that.
    pub slack: Duration,
    /// Time the advisor takes, if tasks need tickets of one.
    pub advice: Option<Advice>,
}

/// How the advisor of a queue answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advice {
    /// Time for a call.
    pub decide: Duration,
    /// Time for each runner named in it.
    pub each: Duration,
    /// How long a ticket is valid.
    pub valid: Duration,
}

/// A pool of VMs with its runners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Whether its runners reject what does not fit.
    pub guards: bool,
    /// Whether its VMs are off and cost nothing.
    pub spare: bool,
}

impl Manifest {
    /// Queue that serves a path at a host: the one with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let serves = |queue: &&Queue| queue.host == host && path.starts_with(&queue.prefix);
        self.queues.iter().filter(serves).max_by_key(|queue| queue.prefix.len())
    }

    /// Queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
