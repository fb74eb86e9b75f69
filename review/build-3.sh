#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. It needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O --crate-name carobhitch_review_3 review/standin-3/main.rs \
  -o target/review-3/carobhitch-review-3
