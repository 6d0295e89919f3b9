#!/usr/bin/env bash
# Measures the growth rates listed in docs/CAPACITY.md, in under 3 minutes. The
# arguments select which of them: keys workers members requests tasks. Without
# arguments, all are measured. The machine should otherwise be idle.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/Tests/Benchmark/CapacityBenchmark ] || Utilities/build.sh build
exec build/Tests/Benchmark/CapacityBenchmark "$@"
