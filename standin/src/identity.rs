//! What an endpoint answers, so that a caller knows whole answers and its own.
//!
//! A request is `/{service}/work?id=&work_ms=&answer_bytes=`; its answer names the service, the
//! request and the length of the request's body, and is filled up to the length asked for.

use std::iter::repeat_n;

/// One request of a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Service that answers.
    pub service: String,
    /// Name of the request; no two requests share one.
    pub id: String,
    /// Time that it takes.
    pub work_ms: u64,
    /// Length of the request's body.
    pub request_bytes: usize,
    /// Length of the answer's body, at least.
    pub answer_bytes: usize,
}

impl Work {
    /// Path and query of the request.
    pub fn path(&self) -> String {
        let Self { service, id, work_ms, answer_bytes, .. } = self;
        format!("/{service}/work?id={id}&work_ms={work_ms}&answer_bytes={answer_bytes}")
    }

    /// Body of the request.
    pub fn request_body(&self) -> Vec<u8> {
        repeat_n(b'q', self.request_bytes).collect()
    }

    /// Body of the answer.
    pub fn answer_body(&self) -> Vec<u8> {
        let mut body =
            format!("{} {} {}\n", self.service, self.id, self.request_bytes).into_bytes();
        let filler: Vec<u8> = self.id.bytes().chain([b'\n']).collect();
        let missing = self.answer_bytes.saturating_sub(body.len());
        body.extend(filler.into_iter().cycle().take(missing));
        body
    }
}
