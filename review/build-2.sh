#!/usr/bin/env bash
# Builds the programs of the second review's scripts into target/review-2. They need a C++ compiler and nlohmann-json,
# which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  [ -f "review/$number/Case.cpp" ] || continue
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I review "review/$number/Case.cpp" -o "target/review-2/case-$number"
done
