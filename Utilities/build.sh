#!/usr/bin/env bash
# Builds everything in build/, or in the folder given as first argument.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build"
