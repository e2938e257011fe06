#!/bin/bash
# Builds the stand-ins that the scripts of the review start. It needs the Rust toolchain alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
