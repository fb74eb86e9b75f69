//! bin
fn main() {}
