#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -Ireview review/Harness.cpp "$source" -o "target/review/case-$number"
done
