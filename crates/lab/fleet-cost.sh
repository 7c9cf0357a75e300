#!/bin/sh
# What the decision module costs now, and at an earlier commit, in one run: sh crates/lab/fleet-cost.sh COMMIT
set -eu
cd "$(dirname "$0")/../.."
before=$(mktemp -d)
trap 'rm -rf "$before"' EXIT
git clone -q . "$before/repo"
git -C "$before/repo" checkout -q "$1"
mkdir -p "$before/repo/crates/lab/examples"
cp crates/lab/examples/fleet_cost.rs "$before/repo/crates/lab/examples/"
cargo run -q --release -p fallgap-lab --example fleet_cost > "$before/now"
(cd "$before/repo" && CARGO_TARGET_DIR="$before/target" cargo run -q --release -p fallgap-lab --example fleet_cost) > "$before/then"
awk 'NR == FNR { then[$2] = $3; next } { printf "figure %s %s before %s ratio %.3f\n", $2, $3, then[$2], $3 / then[$2] }' \
    "$before/then" "$before/now"
