//! A demand, fleets that serve it, and schedules that know it.

#![allow(dead_code, reason = "tests and benches use different parts")]

pub mod bound;
pub mod demand;
pub mod supply;
