#!/usr/bin/env bash
# Builds the programs of the third review's scripts into target/review-3. They need a C++ compiler and nlohmann-json,
# which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for number in 11 12 13 14 15; do
  [ -f "review/$number/Case.cpp" ] || continue
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I review "review/$number/Case.cpp" -o "target/review-3/case-$number"
done
