//! Types of the platform's published protocol, JSON over HTTP/1.1.
//!
//! | Call | Answer |
//! |---|---|
//! | `POST /streams/{stream}/records` with [`Append`] | [`Appended`] |
//! | `GET /streams/{stream}/records?from=&max=&wait_ms=` | [`Page`]; waits up to `wait_ms` for a record |
//! | `GET /vms?since_ms=` | [`List`]; with `since_ms` only the VMs that changed after that time |
//! | `POST /vms/{vm}/reboot` with [`Action`] | [`Operation`] |
//! | `GET /operations/{operation}` | [`Operation`]; 404 if never begun |
//! | `POST /tasks/{task}/{start,checkpoint,throttle,stop,renew}` with [`Task`] | [`Operation`] |
//! | `GET /usage?zone=` | [`Usage`] list, lagging |
//!
//! An append whose `id` the stream already holds (within its retention) is not repeated; the answer
//! has the offset of the first append. A read below the retention is answered with status 410 and
//! [`Page::first`].

use {
    crate::id::{Offset, OperationId, RackId, VmId, ZoneId},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::value::{RawValue, to_raw_value},
    std::net::SocketAddr,
};

/// A record to append.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Append {
    /// Idempotency key of the append.
    pub id: String,
    /// Content, as JSON text until it is decoded.
    pub data: Box<RawValue>,
}

impl Append {
    /// Creates a record with `content` and the idempotency key `id`.
    pub fn new(id: String, content: &impl Serialize) -> serde_json::Result<Self> {
        Ok(Self { id, data: to_raw_value(content)? })
    }
}

/// Where a record was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Its offset.
    pub offset: Offset,
}

/// A record read from a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// When the platform appended it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Content, as JSON text until it is decoded.
    pub data: Box<RawValue>,
}

impl Record {
    /// Decodes the content.
    pub fn decode<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_str(self.data.get())
    }
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Page {
    /// Lowest offset that the stream still holds.
    pub first: Offset,
    /// Offset of the next record to be appended.
    pub end: Offset,
    /// Records from the requested offset on.
    pub records: Vec<Record>,
}

/// Health of a VM as the platform sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Runs.
    Live,
    /// Will stop soon.
    Leaving,
    /// Is being rebooted.
    Rebooting,
    /// Permanently stopped; its processes have ended.
    Dead,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub id: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack.
    pub rack: RackId,
    /// Address at which its endpoint accepts connections.
    pub address: SocketAddr,
    /// Health.
    pub health: Health,
    /// Number of its boots so far.
    pub boots: u64,
}

/// The platform's list of VMs, which lags behind their real state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct List {
    /// Time that the list describes, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// Time since which the listed VMs have changed; `None` if the list is complete.
    #[serde(default)]
    pub since_ms: Option<u64>,
    /// VMs.
    pub vms: Vec<Vm>,
}

/// An action on a VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Action {
    /// Idempotency key of the action.
    pub operation: OperationId,
}

/// Progress of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// In progress.
    Running,
    /// Ended successfully.
    Done,
    /// Ended without effect.
    Failed,
}

/// An action as the platform knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Operation {
    /// Idempotency key of the action.
    pub operation: OperationId,
    /// Progress.
    pub progress: Progress,
}

/// A task under a lease on a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Task {
    /// Idempotency key of the action.
    pub operation: OperationId,
    /// Worker that runs the task.
    pub worker: VmId,
    /// Duration of the lease from now, in milliseconds.
    pub lease_ms: u64,
    /// Processor limit in thousandths of a core.
    pub millicores: u64,
}

/// Resource usage of one task, which lags behind the real usage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Usage {
    /// Task.
    pub task: String,
    /// Worker.
    pub worker: VmId,
    /// Processor use in thousandths of a core.
    pub millicores: u64,
    /// Memory use.
    pub memory_bytes: u64,
    /// How the task ended; `None` while it runs.
    pub ended: Option<Progress>,
}
