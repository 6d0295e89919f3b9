#!/usr/bin/env bash
# Regenerates docs/settings.md from the settings table. Needs a build in
# build/, or in the folder given as first argument.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
page=$("$build/Source/Settings/print-settings-reference")
printf '%s\n' "$page" >docs/settings.md
