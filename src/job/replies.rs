//! Callers' requests at the owner that wait for an answer, and how many may.
//!
//! A request whose caller has gone waits on until the cell has answered it, for example until the store is
//! back. So their number is bounded here, whatever the number of connections.

use {super::cell::RequestId, indexmap::IndexMap};

/// Requests that wait for an answer, each with where its answer goes.
#[derive(Debug)]
pub struct Replies<R> {
    max: usize,
    last: RequestId,
    waiting: IndexMap<RequestId, R>,
}

impl<R> Replies<R> {
    /// Begins without requests; at most `max` may wait.
    pub fn new(max: usize) -> Self {
        Self { max, last: 0, waiting: IndexMap::new() }
    }

    /// Whether no more requests may wait.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.max
    }

    /// Registers a request, which gets a number of its own.
    pub fn register(&mut self, reply: R) -> RequestId {
        self.last += 1;
        self.waiting.insert(self.last, reply);
        self.last
    }

    /// Removes a request that is answered; none if it was answered before.
    pub fn take(&mut self, request: RequestId) -> Option<R> {
        self.waiting.swap_remove(&request)
    }
}
