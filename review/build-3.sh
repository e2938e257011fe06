#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start, after `cargo build --release -p
# balsam-node`. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin-3 review/standin-3/main.rs
