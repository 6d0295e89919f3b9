#!/usr/bin/env bash
# Installs the dependencies, builds, and starts stand-ins and two entry hosts on
# loopback. Runs the example workload of both deployments, or the workload file
# given as argument, prints the outcome of each caller and the latency, and stops
# all processes. Fails if an outcome is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
workload=${1:-Help/examples/workload.json}
Utilities/install.sh
Utilities/build.sh build
exec build/Tests/EndToEnd/quickstart "$workload"
