//! Fleet capacity and maintenance manager.
//!
//! The library holds every decision as plain synchronous structs that take the time as an argument
//! and return actions; the daemons in `src/bin` only parse settings and connect the parts.

#[path = "../platform/mod.rs"]
pub mod adapter;
pub mod admit;
mod body;
pub mod budget;
pub mod buffer;
pub mod burn;
pub mod change;
pub mod check;
pub mod client;
pub mod controller;
pub mod daemon;
pub mod declaration;
pub mod diagnose;
pub mod diff;
pub mod eject;
pub mod engine;
pub mod event;
pub mod exchange;
pub mod fault;
pub mod fleet;
pub mod history;
pub mod id;
pub mod job;
pub mod learn;
pub mod lease;
pub mod link;
pub mod logging;
pub mod member;
pub mod metrics;
pub mod moves;
pub mod operator;
pub mod order;
pub mod place;
pub mod platform;
pub mod plot;
pub mod quota;
pub mod record;
pub mod relay;
pub mod request;
pub mod retry;
pub mod roster;
pub mod rpc;
pub mod server;
pub mod settings;
pub mod slot;
pub mod snapshot;
pub mod state;
pub mod step;
pub mod supervise;
pub mod traffic;
pub mod units;
pub mod verdict;
pub mod wave;
pub mod wire;
