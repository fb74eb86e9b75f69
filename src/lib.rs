//! Fleet capacity and maintenance manager.
//!
//! The library holds every decision as plain synchronous structs that take the time as an argument
//! and return actions; the daemons in `src/bin` only parse settings and connect the parts.

pub mod budget;
pub mod change;
pub mod check;
pub mod controller;
pub mod fleet;
pub mod history;
pub mod id;
pub mod lease;
pub mod moves;
pub mod platform;
pub mod record;
pub mod request;
pub mod settings;
pub mod snapshot;
pub mod state;
pub mod step;
pub mod verdict;
pub mod wave;
