#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
sources=(review/standins/*.cpp)
printf '%s\n' "${sources[@]}" | xargs -P 4 -I{} sh -c \
  'g++ -std=c++20 -O1 -pthread -c -o target/review/$(basename {} .cpp).o {}'
objects=("${sources[@]##*/}")
objects=("${objects[@]/#/target/review/}")
g++ -pthread -o target/review/standins "${objects[@]/%.cpp/.o}"
