#!/bin/sh
# Builds the stand-ins of the second review's cases into build/review-2, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$source/case.cpp" ] || continue
  ${CXX:-c++} -std=c++20 -O1 -pthread -o "build/review-2/${source#review/}" "$source/case.cpp"
done
