#!/usr/bin/env bash
# Builds what the scripts of the third review start: figrill itself, and the
# package with the cases and the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release
cargo build --release --locked --manifest-path review/third/Cargo.toml
