//! Stand-in for the platform's VM service: its list of VMs is empty, and it refuses every action as
//! busy.

use {
    crate::server::{self, Call, Handle, Reply},
    serde_json::json,
    std::net::SocketAddr,
};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 64;

/// Starts the server.
pub fn serve(listen: SocketAddr) -> server::Result<Handle> {
    server::spawn(listen, MAX_CONNECTIONS, |call: Call| async move {
        match call.uri.path() {
            "/v1/machines" => Reply::json(200, &json!({ "machines": [], "nextToken": null })),
            _ => Reply::json(409, &json!({ "reason": "busy" })),
        }
    })
}
