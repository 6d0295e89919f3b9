#!/usr/bin/env bash
# Plays this case and writes record.txt beside this file. Exits with 1 if the
# rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0
# leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../play.sh" idle-worker-cut "$folder"
