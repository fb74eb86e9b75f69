//! Simulated demand, fleets that serve it under a policy, and schedules that know the demand in
//! advance.

#![allow(dead_code, reason = "tests and benches use different parts")]

pub mod bound;
pub mod demand;
pub mod supply;
