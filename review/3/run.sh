#!/bin/sh
# Ends with 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/gateway ] || { echo "build first" >&2; exit 2; }
work="$(mktemp -d)" || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 8 110 target/review/standin late-beat target/release/gateway "$work" "$here/record.txt" "${TROUBLE:-1}"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
