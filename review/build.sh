#!/bin/sh
# Builds the stand-ins of the review's scripts with the tool chain alone: standard library, no dependency.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
"${RUSTC:-rustc}" --edition 2024 -O --crate-name standin -o target/review/standin review/standin/main.rs
