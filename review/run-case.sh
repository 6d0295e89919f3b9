#!/usr/bin/env bash
# Plays the script case in the folder given as first argument: the program that
# review/build-2.sh made of its Case.cpp. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case couldn't run. KEEP_LOGS names a folder that
# keeps the settings and logs of the entry hosts.
set -uo pipefail
case=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/target/review-2/case-$(basename "$case")
daemon=$root/target/platform/jayramp-entryd
if [ ! -x "$program" ] || [ ! -x "$daemon" ]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 3 115 "$program" "$daemon" "$case" "$folder" &
group=$!
wait "$group"
result=$?
# timeout is the leader of a process group of its own.
kill -KILL -- "-$group" 2>/dev/null
[ -n "${KEEP_LOGS:-}" ] && cp -r "$folder"/. "$KEEP_LOGS"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
