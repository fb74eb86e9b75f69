//! Simulated demand, fleets that serve it under a policy, and bounds that no policy can beat.

#![allow(dead_code, reason = "tests and benches use different parts")]

pub mod bound;
pub mod demand;
pub mod supply;
