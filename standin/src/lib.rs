//! Small stand-ins for the platform, the endpoints and the callers.
//!
//! They take the place of what carobhitch talks to, in tests and on a developer's machine, and can
//! be given faults while they run. Nothing here is part of the product.

pub mod burst;
pub mod caller;
pub mod client;
pub mod fault;
pub mod identity;
pub mod key;
pub mod load;
pub mod machine;
pub mod operator;
pub mod payload;
pub mod platform;
pub mod runner;
pub mod server;
pub mod site;
pub mod stream;
pub mod tally;
pub mod task;
