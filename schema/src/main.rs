//! Writes the generated RPC code.
fn main() {}
