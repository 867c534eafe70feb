#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They need no library, and so no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-3/Cargo.toml --target-dir target/review-3
