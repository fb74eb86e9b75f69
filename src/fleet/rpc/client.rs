//! Blocking client for operators' calls, which tries the next entry if one does not answer.

use {
    super::{Cause, Error, MAX_MESSAGE_BYTES, Result, proto::operator_client::OperatorClient},
    std::{future::Future, net::SocketAddr, thread, time::Duration},
    tokio::runtime::Runtime,
    tonic::{
        Code, Response, Status,
        transport::{Channel, Endpoint},
    },
};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of rounds in which all entries are tried.
const ROUNDS: usize = 2;
/// Delay before the next round.
const ROUND_DELAY: Duration = Duration::from_millis(500);

/// gRPC client of one entry.
pub type Stub = OperatorClient<Channel>;
type Answer<T> = std::result::Result<Response<T>, Status>;

/// Client that tries entries in turn. Its calls block the thread.
pub struct Client {
    runtime: Runtime,
    entries: Vec<SocketAddr>,
    timeout: Duration,
}

impl Client {
    /// Creates a client of these entries that waits up to `timeout` for each reply.
    pub fn new(entries: Vec<SocketAddr>, timeout: Duration) -> Result<Self> {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| {
                Error {
                    step: "start runtime",
                    peer: String::from("this process"),
                    cause: Cause::Unavailable(e.to_string()),
                }
            })?;
        Ok(Self { runtime, entries, timeout })
    }

    /// Makes a call at the first entry that answers.
    ///
    /// The call is repeated after an error that leaves its outcome unknown, so it must be
    /// idempotent.
    pub fn call<T, F>(&self, step: &'static str, call: impl Fn(Stub) -> F) -> Result<T>
    where
        F: Future<Output = Answer<T>>,
    {
        let mut last = Error {
            step,
            peer: String::from("any entry"),
            cause: Cause::Invalid(String::from("no entry was given")),
        };
        for round in 0..ROUNDS {
            if round > 0 {
                thread::sleep(ROUND_DELAY);
            }
            for entry in &self.entries {
                match self.runtime.block_on(self.try_call(*entry, &call)) {
                    Ok(answer) => return Ok(answer),
                    Err(status) => last = error(step, *entry, &status),
                }
                if matches!(last.cause, Cause::Invalid(_)) {
                    return Err(last);
                }
            }
        }
        Err(last)
    }

    async fn try_call<T, F>(
        &self,
        entry: SocketAddr,
        call: impl Fn(Stub) -> F,
    ) -> std::result::Result<T, Status>
    where
        F: Future<Output = Answer<T>>,
    {
        let endpoint = Endpoint::from_shared(format!("http://{entry}"))
            .map_err(|e| Status::invalid_argument(e.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(self.timeout);
        let channel =
            endpoint.connect().await.map_err(|e| Status::unavailable(innermost_cause(&e)))?;
        let stub = OperatorClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Ok(call(stub).await?.into_inner())
    }
}

/// Converts a gRPC status to an error. [`Cause::Invalid`] is for errors that any entry would
/// return, so the call is not repeated.
fn error(step: &'static str, entry: SocketAddr, status: &Status) -> Error {
    let message = String::from(status.message());
    let cause = match status.code() {
        Code::Unavailable => Cause::Unavailable(message),
        Code::InvalidArgument | Code::NotFound | Code::Unimplemented => Cause::Invalid(message),
        _ => Cause::Unknown(message),
    };
    Error { step, peer: entry.to_string(), cause }
}

/// Text of the innermost cause of an error.
fn innermost_cause(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = cause.to_string();
        source = cause.source();
    }
    text
}
