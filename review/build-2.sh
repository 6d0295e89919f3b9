#!/usr/bin/env bash
# Builds the programs of the script cases 6 to 10, with all their stand-ins, into
# target/review-2/. Needs the compiler and the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -g -Wall -Wextra -pthread)
jobs=()
for source in stage/*.cpp; do
  c++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
for source in [0-9]*/Case.cpp; do
  c++ "${flags[@]}" "$source" "$out"/*.o -o "$out/case-$(dirname "$source")"
done
