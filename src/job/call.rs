//! HTTP/1.1 requests to other servers, and their replies.

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Headers in addition to those that every request has.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Call {
    /// Creates a GET request without a body.
    pub fn get(path: &str) -> Self {
        Self { method: "GET", path: String::from(path), headers: Vec::new(), body: Vec::new() }
    }

    /// Creates a POST request with a body.
    pub fn post(path: &str, body: Vec<u8>) -> Self {
        Self { method: "POST", path: String::from(path), headers: Vec::new(), body }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, String::from(value)));
        self
    }
}

/// A complete reply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}
