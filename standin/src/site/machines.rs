//! The platform's list of VMs, which refuses every action as busy.

use {
    crate::server::{self, Call, Handle, Reply},
    serde_json::json,
    std::net::SocketAddr,
};

/// Connections that the list lets be open.
const CONNECTIONS: usize = 64;

/// Starts serving an empty list.
pub fn serve(listen: SocketAddr) -> server::Result<Handle> {
    server::spawn(listen, CONNECTIONS, |call: Call| async move {
        match call.uri.path() {
            "/v1/machines" => Reply::json(200, &json!({ "machines": [], "nextToken": null })),
            _ => Reply::json(409, &json!({ "reason": "busy" })),
        }
    })
}
