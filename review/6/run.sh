#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same with a store that serves both entry nodes.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 10 100 target/review-2/case6 review/6/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
