#!/usr/bin/env bash
# Formats all sources. With --check, only reports files that are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' |
  grep -v '^Source/Schema/Generated/' | xargs -r clang-format "${mode[@]}"
