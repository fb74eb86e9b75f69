//! Writes the generated RPC code.
//!
//! Run by hand after a change of the schema; the output is committed, so that no build needs it.

use {carobhitch_schema::OUTPUT, std::path::Path};

fn main() -> carobhitch_schema::Result {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    carobhitch_schema::generate(&root, &root.join(OUTPUT))
}
