#!/usr/bin/env bash
# Installs, builds, starts stand-ins and two entry hosts on loopback, runs a
# workload of both deployments (or the file given), prints each caller's outcome
# and the latency, and stops every process again. Fails if an outcome is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
workload=${1:-Help/examples/workload.json}
Utilities/install.sh
Utilities/build.sh build
exec build/Tests/EndToEnd/quickstart "$workload"
