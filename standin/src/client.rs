//! Blocking HTTP client for short JSON calls to the stand-ins and to entries.

use {
    displaydoc::Display,
    oxhttp::{
        Client,
        model::{Body, Method, Request},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt, net::SocketAddr, time::Duration},
};

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call failed.
#[derive(Debug, Display)]
pub enum Error {
    /// {method} {url}: {reason}
    Call {
        /// Method.
        method: Method,
        /// Address, path and query of the call.
        url: String,
        /// Cause of the failure.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// Result of a call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Makes a call and returns the response's body; any status but 2xx is an error.
pub fn text(method: Method, peer: SocketAddr, path: &str, body: Vec<u8>) -> Result<String> {
    let url = format!("http://{peer}{path}");
    let fail = |reason: &dyn fmt::Display| Error::Call {
        method: method.clone(),
        url: url.clone(),
        reason: reason.to_string(),
    };
    let request = Request::builder().method(method.clone()).uri(&url).body(Body::from(body));
    let client = Client::new().with_global_timeout(TIMEOUT);
    let response = client.request(request.map_err(|e| fail(&e))?).map_err(|e| fail(&e))?;
    let status = response.status();
    let text = response.into_body().to_string().map_err(|e| fail(&e))?;
    if status.is_success() { Ok(text) } else { Err(fail(&format!("{status}: {text}"))) }
}

/// Makes a GET call and decodes the response's JSON body.
pub fn get<T: DeserializeOwned>(peer: SocketAddr, path: &str) -> Result<T> {
    decode(Method::GET, peer, path, Vec::new())
}

/// Posts a value as JSON and decodes the response's JSON body.
pub fn post<T: DeserializeOwned>(
    peer: SocketAddr,
    path: &str,
    value: &impl Serialize,
) -> Result<T> {
    let body = serde_json::to_vec(value).map_err(|e| Error::Call {
        method: Method::POST,
        url: format!("http://{peer}{path}"),
        reason: e.to_string(),
    })?;
    decode(Method::POST, peer, path, body)
}

fn decode<T: DeserializeOwned>(
    method: Method,
    peer: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<T> {
    let text = text(method.clone(), peer, path, body)?;
    serde_json::from_str(&text).map_err(|e| Error::Call {
        method,
        url: format!("http://{peer}{path}"),
        reason: format!("{e} in {text:?}"),
    })
}
