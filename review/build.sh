#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, with the versions
# of the project's lock file. The crates are those that the project's own build
# has fetched.
set -eu
cd "$(dirname "$0")"
cp ../Cargo.lock Cargo.lock
cargo build --release --offline --target-dir target ||
    cargo build --release --target-dir target
