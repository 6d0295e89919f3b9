#!/usr/bin/env bash
# Builds all targets in build/, or in the folder given as the first argument.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build"
