//! Fleet capacity and maintenance manager.
//!
//! The library holds every decision as plain synchronous structs that take the time as an argument
//! and return actions; the daemons in `src/bin` only parse settings and connect the parts.

pub mod client;
pub mod daemon;
pub mod engine;
pub mod event;
pub mod exchange;
pub mod fault;
pub mod fleet;
pub mod id;
pub mod link;
pub mod member;
pub mod platform;
pub mod record;
pub mod request;
pub mod rpc;
pub mod server;
pub mod settings;
pub mod state;
pub mod supervise;
pub mod wire;
