#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/release/many-ends ] || exit 2
exec timeout 118 review/target/release/many-ends review/4
