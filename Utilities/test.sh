#!/usr/bin/env bash
# Installs the dependencies, builds and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install.sh
Utilities/build.sh build
# Tests measure latency on loopback, so only a few run side by side.
ctest --test-dir build --output-on-failure -j "${JAYRAMP_TEST_JOBS:-2}"
