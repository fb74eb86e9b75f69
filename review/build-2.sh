#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. It needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name carobhitch_review_2 review/standin-2/main.rs \
  -o target/review-2/carobhitch-review-2
