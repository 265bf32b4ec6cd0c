#!/usr/bin/env bash
# Builds the stand-ins and programs of the review's cases 6 to 10 into target/review-2/; needs only a C++ compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -pthread)
"${CXX:-c++}" "${flags[@]}" -c review/stand_ins_2/harness.cpp -o target/review-2/harness.o
for case in review/*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    [ "$number" -ge 6 ] || continue
    "${CXX:-c++}" "${flags[@]}" "$case" target/review-2/harness.o -o "target/review-2/case-$number"
done
