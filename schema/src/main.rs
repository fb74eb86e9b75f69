//! Regenerates the committed RPC code.
//!
//! To be run by hand after a change of the schema. The output is committed, so that no build needs
//! this program.

use {carobhitch_schema::OUTPUT, std::path::Path};

fn main() -> carobhitch_schema::Result {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    carobhitch_schema::generate(&root, &root.join(OUTPUT))
}
