//! Stand-ins for the platform, the endpoints, the runners and the callers, for tests.
//!
//! They replace the systems that carobhitch calls or serves, in tests and on a developer's machine,
//! and faults can be injected into them while they run. Nothing here is part of the product.

pub mod burst;
pub mod caller;
pub mod client;
pub mod endpoint;
pub mod fault;
pub mod job;
pub mod load;
pub mod operator;
pub mod order_key;
pub mod payload;
pub mod platform;
pub mod server;
pub mod stream;
pub mod task;
pub mod totals;
pub mod vm;
pub mod work;
