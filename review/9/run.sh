#!/usr/bin/env bash
# Runs the case; claim.txt says what it shows. TROUBLE=0 leaves out the
# disruption. Needs the build of the deploy file and review/build-2.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/release/figrill-review-2
[ -x "$program" ] || exit 2
exec "$program" timed "$folder"
