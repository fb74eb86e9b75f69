//! The committed code is what the schema gives.

#![allow(clippy::unwrap_used)]

use {
    carobhitch_schema::{CODE, DESCRIPTOR, OUTPUT},
    std::{fs, path::Path},
};

#[test]
fn the_committed_code_is_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let fresh = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    carobhitch_schema::generate(&root, &fresh).unwrap();
    for file in [CODE, DESCRIPTOR] {
        let committed = fs::read(root.join(OUTPUT).join(file)).unwrap();
        assert!(committed == fs::read(fresh.join(file)).unwrap(), "{file} is out of date");
    }
}
