#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/standin-3
[ -x "$program" ] && [ -x target/release/balsamturn ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# All processes of the case are in one group, which ends with this script. SIGTERM would leave the nodes
# their grace period.
set -m
timeout 110 "$program" no-tenants target/release/balsamturn "review/15/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
