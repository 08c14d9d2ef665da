#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target
