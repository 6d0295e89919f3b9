#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md in under 3 minutes. Arguments choose
# parts: keys workers members requests tasks. The machine should be idle.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/Tests/Benchmark/CapacityBenchmark ] || Utilities/build.sh build
exec build/Tests/Benchmark/CapacityBenchmark "$@"
