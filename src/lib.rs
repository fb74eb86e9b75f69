//! Fleet capacity and maintenance manager.
//!
//! All decisions are made by plain synchronous structs that take the time as an argument and return
//! actions. The daemons in `src/bin` only parse settings and connect the parts.
//!
//! There are three planes: [`request`] serves callers at endpoints, [`fleet`] agrees on pools,
//! budgets and waves, and [`job`] places callers' jobs on runners. Modules that they share are next
//! to them. [`platform`] holds the types of the platform's published protocol, which [`client`]
//! calls; [`adapter`] translates between the daemon of the job plane and the users' platform.

#[path = "../platform/mod.rs"]
pub mod adapter;
pub mod client;
pub mod event;
pub mod fault;
pub mod fleet;
pub mod id;
pub mod intake;
pub mod job;
pub mod lease;
pub mod logging;
pub mod member;
pub mod metrics;
pub mod platform;
pub mod request;
pub mod settings;
pub mod supervise;
pub mod traffic;
pub mod units;
pub mod wire;

use request::body;
pub use {
    fleet::{
        budget, buffer, burn, change, check, controller, declaration, diff, history, moves,
        operator, plot, record, rpc, snapshot, state, step, verdict, wave,
    },
    job::{diagnose, learn, place, quota},
    request::{
        admit, daemon, eject, engine, exchange, inventory, link, order, relay, retry, server, slot,
    },
};
