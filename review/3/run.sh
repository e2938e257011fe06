#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs target/release/balsamturn (build of deploy/system.toml) and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
set -m
timeout 115 target/review/standin late-orders review/3 &
pid=$!
# The job is a process group of its own, with the nodes that it starts.
trap 'kill -KILL -- -$pid 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$pid"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
