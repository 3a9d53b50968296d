#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$here")
cd "$here/../.."
TROUBLE=${TROUBLE:-1}
export TROUBLE
program=target/review-2/case-$number
[ -x "$program" ] && [ -x target/platform/nutmegrill-platform-entry ] || { echo "not built"; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 110 "$program" "$here/record.txt" "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
