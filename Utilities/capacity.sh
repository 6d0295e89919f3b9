#!/usr/bin/env bash
# Measures the resource use per worker, entry host, request, task and key record
# that docs/CAPACITY.md lists. Takes less than 3 minutes on an idle machine, which
# the measurement needs. Arguments select parts: keys workers members requests
# tasks. Without arguments all parts run.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/Tests/Benchmark/CapacityBenchmark ] || Utilities/build.sh build
exec build/Tests/Benchmark/CapacityBenchmark "$@"
