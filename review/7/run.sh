#!/usr/bin/env bash
# Plays the case on loopback; see claim.txt. Needs the build of the deploy file and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] || { echo "run review/build-2.sh first"; exit 2; }
exec timeout -k 5 110 target/review-2/standin unrecorded review/7
