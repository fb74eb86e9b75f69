#!/bin/sh
# Plays the case with stand-ins on loopback; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run.
dir=$(cd "$(dirname "$0")" && pwd) && cd "$dir/../.." || exit 2
[ -x target/review/rig ] && [ -x target/release/carobhitch-entry ] || exit 2
exec target/review/rig filler "$dir/record.txt"
