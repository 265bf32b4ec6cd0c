#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin; needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
compiler=${CXX:-g++}
for case in */case.cpp; do
    number=${case%/case.cpp}
    "$compiler" -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case_$number" "$case" stand_ins/stand_ins.cpp
done
