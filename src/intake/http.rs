//! Buffers of the HTTP library and the kernel for a connection.

use {
    super::{Limits, RECEIVE_BYTES},
    hyper::server::conn::http1::Builder,
    hyper_util::rt::TokioTimer,
    rustix::{io, net::sockopt},
    std::os::fd::AsFd,
};

/// HTTP/1.1 server whose buffers hold a head within the limits, and which gives up a connection that does
/// not send a head in time.
pub fn builder(limits: &Limits) -> Builder {
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        // The library takes a head that fills its buffer for too long.
        .max_buf_size(limits.head_bytes + 1)
        .max_headers(limits.head_fields);
    builder
}

/// Bounds what the kernel receives for each connection of a listener before it is read.
pub fn set_receive_buffer(listener: impl AsFd) -> io::Result<()> {
    sockopt::set_socket_recv_buffer_size(listener, RECEIVE_BYTES)
}
