#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec timeout --signal=TERM --kill-after=3 116 target/review-3
