#!/usr/bin/env bash
# Runs clang-tidy on the given files, or on all sources if none are given.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
else
  files=("$@")
fi
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>/dev/null
