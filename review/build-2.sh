#!/bin/sh
# Builds the stand-ins of review/6 to review/10, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/stand-2 review/stand-2/main.rs
