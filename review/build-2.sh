#!/usr/bin/env bash
# Builds the cases 6 to 10, with their stand-ins, into build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
compiler=${CXX:-$(command -v c++ || command -v g++ || command -v clang++)}
mkdir -p build/review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp review/10/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "$compiler" -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Ireview/standin-2 "$source" -o "build/review-2/case-$number"
done
