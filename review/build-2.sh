#!/bin/bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/[4-8]/case.cc; do
    n=$(basename "$(dirname "$case")")
    g++ -std=c++17 -Wall -Wextra -O1 -pthread -o "$out/case-$n" "$case" \
        review/standins-2/*.cc
done
