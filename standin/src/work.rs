//! Requests whose responses identify them, so that a caller can distinguish a complete response to
//! its own request from a truncated one or one to another request.
//!
//! A request is `/{service}/work?id=&work_ms=&answer_bytes=`; its response names the service, the
//! request and the length of the request's body, and is padded to the requested length.

use std::iter::repeat_n;

/// A request of a caller to an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Service that handles the request.
    pub service: String,
    /// Unique id of the request.
    pub id: String,
    /// Time that the endpoint takes to handle the request.
    pub work_ms: u64,
    /// Length of the request's body.
    pub request_bytes: usize,
    /// Minimum length of the response's body; `answer_bytes` in the query.
    pub response_bytes: usize,
}

impl Work {
    /// Path and query of the request.
    pub fn path(&self) -> String {
        let Self { service, id, work_ms, response_bytes, .. } = self;
        format!("/{service}/work?id={id}&work_ms={work_ms}&answer_bytes={response_bytes}")
    }

    /// Body of the request.
    pub fn request_body(&self) -> Vec<u8> {
        repeat_n(b'q', self.request_bytes).collect()
    }

    /// Body of the expected response.
    pub fn response_body(&self) -> Vec<u8> {
        let mut body =
            format!("{} {} {}\n", self.service, self.id, self.request_bytes).into_bytes();
        let padding: Vec<u8> = self.id.bytes().chain([b'\n']).collect();
        let missing = self.response_bytes.saturating_sub(body.len());
        body.extend(padding.into_iter().cycle().take(missing));
        body
    }
}
