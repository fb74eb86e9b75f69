//! Fleet capacity and maintenance manager.
//!
//! The library holds every decision as plain synchronous structs that take the time as an argument
//! and return actions; the daemons in `src/bin` only parse settings and connect the parts.

pub mod diagnose;
pub mod fleet;
pub mod id;
pub mod job;
pub mod learn;
pub mod place;
pub mod platform;
pub mod quota;
pub mod record;
pub mod request;
pub mod settings;
pub mod state;
