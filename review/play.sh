#!/usr/bin/env bash
# play.sh SCENARIO FOLDER: plays a scenario of the stand-ins against one entry
# host and writes FOLDER/record.txt. Exits with the result of the stand-ins.
set -u
cd "$(dirname "$0")/.."
scenario=$1
record=$2/record.txt
daemon=
if [ ! -x target/platform/jayramp-entryd ] || [ ! -x target/review/standins ]; then
  echo 'build the deploy file and run review/build.sh first' >"$record"
  exit 2
fi
folder=$(mktemp -d)
settings=$folder/settings.conf
target/review/standins "$scenario" "$settings" "$record" &
standins=$!
cleanup() {
  for process in $daemon $standins; do
    kill -9 "$process" 2>/dev/null
    wait "$process" 2>/dev/null
  done
  rm -rf "$folder"
}
trap cleanup EXIT
for _ in $(seq 100); do
  [ -e "$settings" ] && break
  sleep 0.1
done
[ -e "$settings" ] || exit 2
JAYRAMP_NODE_FILE=$settings target/platform/jayramp-entryd >"$folder/daemon.log" 2>&1 &
daemon=$!
wait "$standins"
result=$?
if ! kill -0 "$daemon" 2>/dev/null; then
  echo 'the entry host ended by itself' >>"$record"
fi
[ -n "${KEEP_LOG:-}" ] && cp "$folder/daemon.log" "$KEEP_LOG"
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
