#!/usr/bin/env bash
# Regenerates docs/settings.md from the settings table in the code. Runs
# print-settings-reference, which must have been built in build/, or in the folder
# given as the first argument.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
page=$("$build/Source/Settings/print-settings-reference")
printf '%s\n' "$page" >docs/settings.md
