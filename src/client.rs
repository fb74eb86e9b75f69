//! Blocking HTTP/1.1 client of the platform's service.
//!
//! Every call opens its own connection, so a dead connection costs one timeout and affects no later
//! call. A call that timed out may have taken effect; callers retry it with the same id.

use {
    crate::{
        id::{Offset, OperationId, VmId},
        platform::{Action, Append, Appended, List, Operation, Page},
        traffic::Traffic,
    },
    displaydoc::Display,
    oxhttp::model::{Body, Method, Request, StatusCode, header::CONTENT_TYPE},
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, result, sync::Arc, time::Duration},
};

/// Timeout of connecting and of each read or write.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a read at the end of a stream waits for a new record.
pub const READ_WAIT: Duration = Duration::from_secs(1);

/// Why a call to the platform failed.
#[derive(Debug, Display)]
pub enum Error {
    /// {step} at {peer}: {source}
    Io {
        /// What was attempted.
        step: String,
        /// The platform's address.
        peer: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// {step} at {peer}: answered {status}
    Status {
        /// What was attempted.
        step: String,
        /// The platform's address.
        peer: SocketAddr,
        /// Status of the answer.
        status: u16,
    },
    /// {step} at {peer}: records below offset {first} are no longer kept
    Trimmed {
        /// What was attempted.
        step: String,
        /// The platform's address.
        peer: SocketAddr,
        /// Lowest offset that the stream still holds.
        first: Offset,
    },
    /// {step} at {peer}: decode answer: {source}
    Decode {
        /// What was attempted.
        step: String,
        /// The platform's address.
        peer: SocketAddr,
        /// Cause.
        source: serde_json::Error,
    },
}

impl std::error::Error for Error {}

/// Result of a call to the platform.
pub type Result<T> = result::Result<T, Error>;

/// Client of the platform's service.
pub struct Client {
    http: oxhttp::Client,
    peer: SocketAddr,
    traffic: Arc<Traffic>,
}

impl Client {
    /// Creates a client of the platform at `peer`; `traffic` counts its bytes.
    pub fn new(peer: SocketAddr, traffic: Arc<Traffic>) -> Self {
        Self { http: oxhttp::Client::new().with_global_timeout(IO_TIMEOUT), peer, traffic }
    }

    /// Appends a record. Idempotent for the same record id.
    pub fn append(&self, stream: &str, record: &Append) -> Result<Appended> {
        let step = format!("append {} to log stream {stream}", record.id);
        self.post(step, &format!("/streams/{stream}/records"), record)
    }

    /// Reads at most `max` records from the offset `from`, waiting for the first up to `wait`.
    pub fn read(&self, stream: &str, from: Offset, max: usize, wait: Duration) -> Result<Page> {
        let step = format!("read log stream {stream} from {from}");
        let wait = wait.as_millis();
        let path = format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait}");
        self.call(step, Method::GET, &path, Body::empty())
    }

    /// Reads the list of VMs, or only what has changed since `since_ms`, the `as_of_ms` of an earlier
    /// list.
    pub fn list(&self, since_ms: Option<u64>) -> Result<List> {
        let path = match since_ms {
            Some(since) => format!("/vms?since_ms={since}"),
            None => String::from("/vms"),
        };
        self.call(String::from("list VMs"), Method::GET, &path, Body::empty())
    }

    /// Reboots a VM. Idempotent for the same operation.
    pub fn reboot(&self, vm: &VmId, operation: &OperationId) -> Result<Operation> {
        let step = format!("reboot VM {vm} as {operation}");
        self.post(step, &format!("/vms/{vm}/reboot"), &Action { operation: operation.clone() })
    }

    /// Reads the progress of an action; `None` if it was never begun.
    pub fn operation(&self, operation: &OperationId) -> Result<Option<Operation>> {
        let step = format!("read operation {operation}");
        match self.call(step, Method::GET, &format!("/operations/{operation}"), Body::empty()) {
            Ok(found) => Ok(Some(found)),
            Err(Error::Status { status, .. }) if status == StatusCode::NOT_FOUND.as_u16() => {
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    fn post<T: DeserializeOwned>(
        &self,
        step: String,
        path: &str,
        content: &impl Serialize,
    ) -> Result<T> {
        let text = match serde_json::to_vec(content) {
            Ok(text) => text,
            Err(source) => return Err(Error::Decode { step, peer: self.peer, source }),
        };
        self.traffic.platform.add_sent(text.len());
        self.call(step, Method::POST, path, Body::from(text))
    }

    fn call<T: DeserializeOwned>(
        &self,
        step: String,
        method: Method,
        path: &str,
        body: Body,
    ) -> Result<T> {
        let peer = self.peer;
        let fail = |step: &str, source| Error::Io { step: step.to_string(), peer, source };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|e| fail(&step, std::io::Error::other(e)))?;
        let response = self.http.request(request).map_err(|e| fail(&step, e))?;
        let status = response.status();
        let text = response.into_body().to_vec().map_err(|e| fail(&step, e))?;
        self.traffic.platform.add_received(text.len());
        if status == StatusCode::GONE {
            let first = serde_json::from_slice::<Page>(&text).map_or(0, |page| page.first);
            return Err(Error::Trimmed { step, peer, first });
        }
        if !status.is_success() {
            return Err(Error::Status { step, peer, status: status.as_u16() });
        }
        serde_json::from_slice(&text).map_err(|source| Error::Decode { step, peer, source })
    }
}
