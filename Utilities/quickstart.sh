#!/usr/bin/env bash
# Installs the dependencies and builds. Then starts two entry hosts, with stand-ins
# for the services that they call, on loopback and runs a workload of both
# deployments, or the workload file given as the first argument. Prints the outcome
# for each caller and the latency, and stops all processes. Fails if an outcome is
# missing.
set -euo pipefail
cd "$(dirname "$0")/.."
workload=${1:-Help/examples/workload.json}
Utilities/install.sh
Utilities/build.sh build
exec build/Tests/EndToEnd/quickstart "$workload"
