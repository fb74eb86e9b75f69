#!/bin/sh
# Builds the stand-ins of the review's scripts. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
