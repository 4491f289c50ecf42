#!/usr/bin/env bash
# Builds the stand-ins and drivers of all cases into build/review/, with the compiler and nlohmann-json that the gateway's own build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]*/case.cpp; do
    case=$(basename "$(dirname "$source")")
    "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread "$source" -o "build/review/case$case" &
done
for job in $(jobs -p); do wait "$job"; done
