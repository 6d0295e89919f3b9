#!/usr/bin/env bash
# Checks the protocol models with Spin: every property must hold, and Spin must
# find a counterexample for every mutant, which is a model with one safeguard
# removed. Prints the number of explored states for each check.
#
# Usage: check-models.sh [TEXT]   (runs only checks whose name contains TEXT)
#
# JAYRAMP_MODEL_JOBS is the number of checks that run at the same time (3 by
# default).
set -uo pipefail
models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
filter=${1:-}
jobs=${JAYRAMP_MODEL_JOBS:-3}

# run_check NAME MODEL MODE EXPECTED DEFINITIONS...
# Runs one check, prints its result and returns whether the result is EXPECTED.
# MODE is "safety" (assertions and invalid end states) or the name of an LTL
# property, which is checked under weak fairness. EXPECTED is "holds", or a text
# that Spin's error message must contain.
run_check() {
  local name=$1 model=$2 mode=$3 expected=$4
  shift 4
  local directory=$work/$name
  mkdir "$directory" && cd "$directory" || return 1
  if ! spin -a "$@" "$models/$model.pml" >spin.out 2>&1; then
    echo "FAILED $name: spin cannot translate $model.pml:"; cat spin.out; return 1
  fi
  local compile=(-w -O2 -DMEMLIM=2000) arguments=(-m2000000 -w22)
  if [ "$mode" = safety ]; then
    compile+=(-DSAFETY -DNOCLAIM)
  else
    compile+=(-DNFAIR=5)
    arguments+=(-a -f -N "$mode")
  fi
  if ! gcc "${compile[@]}" -o pan pan.c 2>gcc.out; then
    echo "FAILED $name: gcc cannot compile the verifier:"; cat gcc.out; return 1
  fi
  local status=0
  timeout 60 ./pan "${arguments[@]}" >pan.out 2>&1 || status=$?
  local states seconds errors verdict=FAILED
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
  seconds=$(sed -n 's/^pan: elapsed time \([0-9.e+-]*\) seconds/\1/p' pan.out)
  errors=$(sed -n 's/.*errors: \([0-9]*\)$/\1/p' pan.out)
  if [ "$expected" = holds ]; then
    # A search that was cut short does not show that the property holds.
    if [ "$status" = 0 ] && [ "$errors" = 0 ] && [ -n "$states" ] &&
      ! grep -qE "max search depth too small|out of memory|not completed|error:|truncated" pan.out; then
      verdict=ok
    fi
  elif [ "$errors" = 1 ] && grep -E "^pan:1:" pan.out | grep -qF "$expected"; then
    verdict=ok
  fi
  echo "$verdict $name: expected \"$expected\", states ${states:-none}," \
    "errors ${errors:-none}, ${seconds:-over 60} s"
  if [ "$verdict" != ok ]; then
    grep -E "^pan:|error:|too small|not completed|truncated" pan.out | head -5
    return 1
  fi
}

names=()
failed=0
# Starts a check in the background, with the arguments of run_check, as soon as
# fewer than $jobs checks run.
start_check() {
  if [[ "$1" != *"$filter"* ]]; then
    return
  fi
  while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do
    sleep 0.05
  done
  names+=("$1")
  (run_check "$@" >"$work/$1.result" 2>&1 || touch "$work/$1.failed") &
}

# The long searches start first, which shortens the total time: the short ones
# then fill the job slots that become free.
start_check gang-safety Gang safety holds
start_check gang-partial-ends Gang partialGangEnds holds -DLIVENESS -DDEATHS=2
start_check gang-reservation-ends Gang reservationEnds holds -DLIVENESS
start_check configuration-safety Configuration safety holds
start_check configuration-accepted Configuration headIsAccepted holds -DFROZEN_FOR_EVER
start_check dispatch-two-views Dispatch safety holds -DVIEWS=2 -DCALLERS=3 -DSEQUENCES=2
start_check dispatch-three-views Dispatch safety holds -DVIEWS=3 -DCALLERS=2 -DSEQUENCES=1
start_check dispatch-outcome Dispatch everyCallerGetsOutcome holds -DVIEWS=2 -DSEQUENCES=2
start_check shard-safety Shard safety holds
start_check ownership-safety Ownership safety holds
start_check ownership-owned Ownership liveHostOwnsWorker holds -DVIEW_ONLY -DHOSTS=3 -DWRONG_SUSPICIONS=1

slot_limit_assertion='RunningRequests)<2'
start_check ownership-mutant-no-fencing Ownership safety assertion -DMUTANT_NO_FENCING
start_check ownership-mutant-unconditional-write Ownership safety assertion -DHOSTS=3 -DMUTANT_UNCONDITIONAL_WRITE
start_check ownership-mutant-empty-ledger Ownership safety "$slot_limit_assertion" -DMUTANT_EMPTY_LEDGER
start_check ownership-mutant-ledger-from-status Ownership safety "$slot_limit_assertion" -DMUTANT_LEDGER_FROM_STATUS
start_check ownership-mutant-no-write-id Ownership safety 'AppliedVersion' -DMUTANT_NO_WRITE_ID
start_check ownership-mutant-no-takeover Ownership liveHostOwnsWorker 'acceptance cycle' -DVIEW_ONLY -DMUTANT_NO_TAKEOVER

start_check gang-mutant-no-fencing Gang safety "NewestEpoch[W]" -DMUTANT_NO_FENCING
start_check gang-mutant-no-view-check Gang safety 'Version==StoreVersion' -DMUTANT_NO_VIEW_CHECK
start_check gang-mutant-start-unprepared Gang safety 'PreparedWorkers[Job]==3' -DMUTANT_START_UNPREPARED
start_check gang-mutant-start-uncommitted Gang safety 'JobState[Job]==2' -DMUTANT_START_UNCOMMITTED
start_check gang-mutant-release-without-stop Gang safety 'TaskJob' -DMUTANT_RELEASE_WITHOUT_STOP
start_check gang-mutant-late-prepare Gang safety 'TaskJob' -DMUTANT_LATE_PREPARE
start_check gang-mutant-renew-partial Gang partialGangEnds 'acceptance cycle' -DLIVENESS -DMUTANT_RENEW_PARTIAL
start_check gang-mutant-no-lease Gang partialGangEnds 'acceptance cycle' -DLIVENESS -DDEATHS=2 -DMUTANT_NO_LEASE
start_check gang-mutant-no-release Gang reservationEnds 'acceptance cycle' -DLIVENESS -DMUTANT_NO_RELEASE

at_most_once_assertion='(Executions<=1)'
start_check dispatch-mutant-no-replica Dispatch safety "$at_most_once_assertion" -DVIEWS=2 -DMUTANT_NO_REPLICA
start_check dispatch-mutant-no-view-check Dispatch safety "$at_most_once_assertion" -DVIEWS=2 -DMUTANT_NO_VIEW_CHECK
start_check dispatch-mutant-no-sequence Dispatch safety "$at_most_once_assertion" -DVIEWS=2 -DCALLERS=3 -DSEQUENCES=3 -DMUTANT_NO_SEQUENCE
start_check dispatch-mutant-incomplete-home Dispatch safety "$at_most_once_assertion" -DSEQUENCES=1 -DMUTANT_INCOMPLETE_HOME
start_check dispatch-mutant-transfer-overwrites Dispatch safety "$at_most_once_assertion" -DSEQUENCES=1 -DMUTANT_TRANSFER_OVERWRITES
start_check dispatch-mutant-release-without-claim-id Dispatch safety "$at_most_once_assertion" -DVIEWS=2 -DCALLERS=3 -DMUTANT_RELEASE_WITHOUT_CLAIM_ID
start_check dispatch-mutant-not-run-after-send Dispatch safety 'ReportedOutcome[' -DVIEWS=2 -DMUTANT_NOT_RUN_AFTER_SEND
start_check dispatch-mutant-no-deadline Dispatch everyCallerGetsOutcome 'acceptance cycle' -DVIEWS=2 -DSEQUENCES=2 -DMUTANT_NO_DEADLINE
# Not a mutant, but a limit of the protocol: "not run" says nothing about other
# submissions of the same key.
start_check dispatch-limit-key-level-not-run Dispatch safety '(Executions==0)' -DVIEWS=2 -DLIMIT_KEY_LEVEL_NOT_RUN

start_check shard-mutant-no-write-ahead Shard safety assertion -DMUTANT_NO_WRITE_AHEAD
# Without the fence, at most one run still exists at a time, because a stop
# makes the worker refuse the run number. The fence is needed to end the leases
# that an old owner would renew; leases are not part of this model.
start_check shard-variant-no-fence Shard safety holds -DVARIANT_NO_FENCE
start_check shard-mutant-unconditional-write Shard safety assertion -DMUTANT_UNCONDITIONAL_WRITE
start_check shard-mutant-partial-takeover Shard safety assertion -DMUTANT_PARTIAL_TAKEOVER
start_check shard-mutant-read-before-claim Shard safety assertion -DMUTANT_READ_BEFORE_CLAIM
start_check shard-mutant-stop-forgotten Shard safety assertion -DMUTANT_STOP_FORGOTTEN
start_check shard-mutant-ack-before-durable Shard safety assertion -DMUTANT_ACK_BEFORE_DURABLE
start_check shard-mutant-refuse-after-unanswered-write Shard safety assertion -DMUTANT_REFUSE_AFTER_UNANSWERED_WRITE

start_check configuration-mutant-accept-without-waiting Configuration safety 'assertion violated 0' -DMUTANT_ACCEPT_WITHOUT_WAITING
start_check configuration-mutant-clock-stops Configuration safety 'assertion violated 0' -DMUTANT_CLOCK_STOPS
start_check configuration-variant-silence-in-outage Configuration safety holds -DVARIANT_SILENCE_IN_OUTAGE
start_check configuration-mutant-age-from-answer Configuration safety 'assertion violated 0' -DMUTANT_AGE_FROM_ANSWER
start_check configuration-mutant-age-from-read Configuration safety 'assertion violated 0' -DMUTANT_AGE_FROM_READ
start_check configuration-mutant-serve-on-join Configuration safety 'assertion violated 0' -DMUTANT_SERVE_ON_JOIN
start_check configuration-mutant-outage-without-contact Configuration safety 'assertion violated 0' -DMUTANT_OUTAGE_WITHOUT_CONTACT
start_check configuration-mutant-version-goes-back Configuration safety 'VersionBefore' -DMUTANT_VERSION_GOES_BACK
start_check configuration-mutant-unconditional-write Configuration safety 'SuccessfulWrites' -DMUTANT_UNCONDITIONAL_WRITE
start_check configuration-mutant-no-removal Configuration headIsAccepted 'acceptance cycle' -DFROZEN_FOR_EVER -DMUTANT_NO_REMOVAL
# Not a mutant, but the unsafe rule of the design page for confirmation ages
# that a host adopts from its peers.
start_check configuration-limit-peer-age Configuration safety 'assertion violated 0' -DPEERS -DLIMIT_PEER_AGE
wait

for name in "${names[@]}"; do
  cat "$work/$name.result"
  if [ -e "$work/$name.failed" ]; then
    failed=$((failed + 1))
  fi
done
echo "${#names[@]} checks, $failed failed"
[ "${#names[@]}" -gt 0 ] && [ "$failed" = 0 ]
