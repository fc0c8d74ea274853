#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 110 node review/9/case.js
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
