#!/bin/bash
# Plays the case `reborn`; exits with 1 if TWICE was broken, 0 if it held, and 2 if it could not run.
# Without trouble: TROUBLE=0 review/6/run.sh
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/carobhitch-entry ] && [ -x target/review-2/carobhitch-review-2 ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-2/carobhitch-review-2 reborn "$folder" review/6/record.txt
status=$?
rm -rf "$folder"
exit "$status"
