#!/usr/bin/env bash
# Map changes on real processes: a stand-in rank group of 8 ranks with their agents, 2 entries that compete for the
# ownership, and the platform's stand-ins. Each case starts a new deployment and checks with the counters of the rank
# group that no step ran with two maps and that the steps continue.
# Arguments: names of cases; default: all. The last line is "group-test.sh: N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/../.."
BASE=${BASE:-23500}
source scripts/deployment.sh

RANKS=8
# Setting of the entries, in seconds; it takes effect only in the case that reports expert loads.
export NUTMEGRILL_REBALANCE_AFTER=2
WEIGHTS=$(port 2)
RANK_GROUP=$(port 3)
CONTROL=([entry-1]=$(port 21) [entry-2]=$(port 22))
PEER=()
for ((rank = 0; rank < RANKS; rank++)); do
  CONTROL[moe-$rank]=$(port $((60 + rank)))
  PEER[moe-$rank]=$(port $((40 + rank)))
done

expect() { # description command...
  local what=$1
  shift
  "$@" || fail "$what"
}

write_declarations() {
  cat > "$WORK/group.yaml" << YAML
kind: Place
name: loopback
failureDomains: [north, south]
---
kind: Service
name: moe
type: model
model: moe
failureDomains: [north]
---
kind: ModelGroup
name: ranks
service: moe
failureDomain: north
ranks: $RANKS
layers: 2
expertsPerLayer: 16
slotsPerRank: 3
expertBytes: 64KiB
---
kind: ClientAccount
name: office
keyHash: dce9cad4265041afaff8ed18700a9339abe2a248be9749552cc96dd8ec026250
weight: 1
services: [moe]
YAML
}

start_rank_agent() { # rank
  start "agent-$1" "$BIN/Source/Programs/nutmegrill-agent" --name "moe-$1" --service moe --failure-domain north \
    --listen "${PEER[moe-$1]}" --control-listen "${CONTROL[moe-$1]}" --backend "$RANK_GROUP" --store "$STORE" \
    --instances "$INSTANCES" --group ranks --weights "$WEIGHTS" --deployment-key "$KEY"
}

start_group() {
  start_platform
  start weights "$BIN/Tests/StandIns/stand-in-weights" --listen "$WEIGHTS" --bytes-per-second 8000000
  start ranks "$BIN/Tests/StandIns/stand-in-ranks" --listen "$RANK_GROUP" --ranks "$RANKS" --step-ms 20 \
    --check-fence "${CHECK_FENCE:-1}"
  local rank number
  for ((rank = 0; rank < RANKS; rank++)); do
    register "moe-$rank" agent "${PEER[moe-$rank]}" north moe
    start_rank_agent "$rank"
  done
  for number in 1 2; do
    register "entry-$number" entry "${CALLER[entry-$number]}" "${ENTRY_DOMAIN[$number]}" ""
    start_entry "$number"
  done
  write_declarations
  operator apply "$WORK/group.yaml" || fail "apply"
  wait_for "an owner" find_owner
  wait_for "the initial map at every rank" in_use_everywhere 0
  expect_steps_go_on
}

count() { # counter of the rank group
  curl -s "http://$RANK_GROUP/counters" | grep -oE "\"$1\":[0-9]+" | cut -d: -f2
}

rank_group_fault() { curl -s -X POST "http://$RANK_GROUP/faults" -d "$1" > /dev/null; }
store_fault() { curl -s -X POST "http://$STORE/faults" -d "$1" > /dev/null; }

# Prints the dump of a process without white space, so that the cases do not depend on its indentation.
dump() { curl -s --max-time 2 "http://${CONTROL[$1]}/dump" -H "Authorization: Bearer $KEY" | tr -d ' \n'; }

# Sets OWNER and OTHER to the names of the entries.
find_owner() {
  local name
  for name in ${1:-entry-1 entry-2}; do
    if dump "$name" | grep -q '"isOwner":true'; then
      OWNER=$name
      [ "$name" = entry-1 ] && OTHER=entry-2 || OTHER=entry-1
      return 0
    fi
  done
  return 1
}

# Succeeds if every rank uses the map of the given change (0: initial map) and no rank is held.
in_use_everywhere() {
  local rank state epoch
  local expected=
  for ((rank = 0; rank < RANKS; rank++)); do
    state=$(dump "moe-$rank")
    epoch=$(grep -oE '"engineEpoch":[0-9]+' <<< "$state" | cut -d: -f2)
    [ "${epoch:-0}" -gt 0 ] || return 1
    # The epoch of the initial map is a multiple of 2^28; each change adds 1.
    [ $((epoch % (1 << 28))) = "$1" ] || return 1
    [ "${expected:=$epoch}" = "$epoch" ] || return 1
    grep -q '"engineHeldAt":0' <<< "$state" || return 1
  done
}

# Requests a map in which the experts are shifted by this number.
change_map() { # shift, entry (default: the owner)
  local layer="" rank slot
  for ((rank = 0; rank < RANKS; rank++)); do
    layer+="${layer:+,}[$(((rank * 2 + $1) % 16)),$(((rank * 2 + 1 + $1) % 16)),$(((rank * 2 + 7 + $1) % 16))]"
  done
  curl -s --max-time 5 "http://${CONTROL[${2:-$OWNER}]}/groups/ranks/map" -H "Authorization: Bearer $KEY" \
    -d "{\"slots\":[[$layer],[$layer]]}"
}

expect_accepted() { expect "the owner did not accept the map" grep -q accepted <<< "$(change_map "$@")"; }

is_arming() { dump "$OWNER" | grep -q '"openChange":"arming"'; }

# Waits until the change is armed. The cases slow down the rank group before, so that the change stays open long enough
# to inject a fault after the first arm command.
wait_arming() {
  local attempt
  for attempt in $(seq 1 1000); do
    is_arming && return 0
  done
  fail "the change was never armed"
}

expect_steps_go_on() {
  local before after
  before=$(count stepsRun)
  sleep 1
  after=$(count stepsRun)
  echo "steps: $before, then $after"
  expect "the steps did not continue" [ "$((after - before))" -gt 10 ]
  expect "$(count stepsWithTwoMaps) steps ran with two maps" [ "$(count stepsWithTwoMaps)" = 0 ]
}

# Map changes without faults must not delay a step.
case_normal_changes() {
  local held number
  held=$(count heldSteps)
  for number in 1 2 3; do
    expect_accepted "$number"
    wait_for "change $number" in_use_everywhere "$number"
  done
  expect_steps_go_on
  expect "the changes delayed steps: $held before, $(count heldSteps) after" [ "$(count heldSteps)" = "$held" ]
  expect "orders with old fencing numbers" [ "$(count oldFences)" = 0 ]
  expect "no weights were loaded" [ "$(curl -s "http://$WEIGHTS/counters" | grep -oE '"completed":[0-9]+' | cut -d: -f2)" -gt 0 ]
}

# The owner is killed after the first arm command. The ranks must finish the change, and the next owner must be able to
# make another one. One agent is stopped meanwhile, which delays the outcome beyond the step of the change: armed ranks
# must wait at that step.
case_owner_killed_after_the_first_arm() {
  rank_group_fault '{"slowMs":100}'
  expect_accepted 1
  wait_arming
  kill -KILL "${PID[$OWNER]}"
  # On a loaded machine the owner may have committed the change before the signal reached it; no rank has to wait then.
  if grep -q 'map change committed' "$WORK/$OWNER.log"; then
    exit "$MISSED_WINDOW"
  fi
  sleep 0.2
  kill -STOP "${PID[agent-3]}"
  rank_group_fault '{"slowMs":0}'
  local held
  held=$(count heldMs)
  sleep 1.5
  kill -CONT "${PID[agent-3]}"
  expect "armed ranks did not wait at the step of the change: held for $held ms, then $(count heldMs) ms" [ "$(count heldMs)" -gt $((held + 100)) ]
  wait_for "the next owner" find_owner "$OTHER"
  expect_change_after_break 2
}

# After a fault the open change may have been committed or aborted. The ranks must agree, and the next change must
# succeed.
expect_change_after_break() { # shift of the experts
  wait_for "the ranks to agree on a map" agreed
  expect_steps_go_on
  # The owner makes an aborted change again at once, so the map may have changed meanwhile.
  wait_for "the ranks to agree on a map" agreed
  local next=$((AGREED + 1))
  expect_accepted "$1"
  wait_for "change $next" in_use_everywhere "$next"
  expect_steps_go_on
}

agreed() {
  for AGREED in 0 1 2; do
    in_use_everywhere "$AGREED" && return 0
  done
  return 1
}

# The owner is stopped past its lease and resumes. It must give up the ownership and send no command with its old
# fencing token.
case_owner_frozen_past_its_lease() {
  rank_group_fault '{"slowMs":100}'
  expect_accepted 1
  wait_arming
  local frozen=$OWNER
  kill -STOP "${PID[$frozen]}"
  rank_group_fault '{"slowMs":0}'
  sleep 5
  wait_for "the next owner" find_owner "$OTHER"
  expect_accepted 2
  kill -CONT "${PID[$frozen]}"
  sleep 1
  expect "the resumed owner did not give up the ownership" grep -q '"isOwner":false' <<< "$(dump "$frozen")"
  expect_change_after_break 3
  expect "orders with old fencing numbers" [ "$(count oldFences)" = 0 ]
}

# An agent is killed with an armed change and restarts. It must learn the map and the change from the other agents
# before its rank continues.
case_agent_killed_in_the_middle() {
  rank_group_fault '{"slowMs":100}'
  expect_accepted 1
  wait_arming
  kill -KILL "${PID[agent-3]}"
  rank_group_fault '{"slowMs":0}'
  start_rank_agent 3
  expect_change_after_break 2
}

# The store fails after the change is armed. No rank may block, and the owner must give up when its lease has expired.
case_store_down_from_the_arm_on() {
  rank_group_fault '{"slowMs":100}'
  expect_accepted 1
  wait_arming
  store_fault '{"down":"silent"}'
  rank_group_fault '{"slowMs":0}'
  wait_for "the end of the change" agreed
  sleep 4
  expect_steps_go_on
  expect "an entry is owner although its lease cannot be renewed" [ -z "$(find_owner && echo "$OWNER")" ]
  store_fault '{"down":""}'
  wait_for "an owner after the outage" find_owner
  expect_change_after_break 2
}

# The owner key is deleted although the lease of its holder is valid, so two entries act as owner. The rank group
# ignores fencing tokens here; the agents must reject the commands of the stale owner.
case_stale_owner_before_an_engine_without_fencing() {
  local stale=$OWNER key
  key=$(printf 'nutmegrill/groups/ranks/owner' | base64)
  curl -s -X POST "http://$STORE/v3/kv/deleterange" -d "{\"key\":\"$key\"}" > /dev/null
  wait_for "the next owner" find_owner "$OTHER"
  expect_accepted 1
  wait_for "change 1" in_use_everywhere 1
  change_map 5 "$stale"
  sleep 2
  expect "the stale owner changed the map" in_use_everywhere 1
  expect "orders with old fencing numbers" [ "$(count oldFences)" = 0 ]
  wait_for "the stale owner to give up the ownership" gave_up "$stale"
  expect_change_after_break 2
}

# Skewed load reports must make the owner start one map change by itself.
case_owner_rebalances_by_load() {
  local layer='[20,20,5,5,5,5,5,5,5,5,5,5,5,5,5,5]'
  curl -s -X PUT "http://$RANK_GROUP/ranks/load" -d "{\"tokens\":[$layer,$layer]}" > /dev/null
  wait_for "the change started by the owner" in_use_everywhere 1
  expect_steps_go_on
  sleep 4
  local skew
  skew=$(dump "$OWNER" | grep -oE '"skew":[0-9.]+' | cut -d: -f2)
  grep 4012 "$WORK/$OWNER.log"
  echo "skew after the change: $skew"
  expect "the skew is below 1.2, not $skew" awk "BEGIN { exit !($skew >= 1 && $skew < 1.2) }"
  expect "more than one change was made" in_use_everywhere 1
}

gave_up() { dump "$1" | grep -q '"lastResult":"deposed"'; }

passed=0
failed=0
# Exit code of a play in which the fault came too late to test anything. It is played again, three times at most.
MISSED_WINDOW=75
play_case() { # name, log
  local attempt status
  for attempt in 1 2 3; do
    (trap stop_everything EXIT; WORK=$(mktemp -d); start_group; "case_$1") > "$2" 2>&1
    status=$?
    [ "$status" -eq "$MISSED_WINDOW" ] || return "$status"
    echo "group $1: play $attempt missed its window"
  done
  return "$MISSED_WINDOW"
}

run_case() {
  local log=$WORK/../group-$1.log
  [ "$1" = stale_owner_before_an_engine_without_fencing ] && CHECK_FENCE=0 || CHECK_FENCE=1
  if play_case "$1" "$log"; then
    passed=$((passed + 1))
    rm -f "$log"
  elif grep -qx "test: group $1" KNOWN-RED.txt 2> /dev/null; then
    echo "known red: group $1"
    grep 'FAILED' "$log"
  else
    failed=$((failed + 1))
    echo "FAILED: group $1"
    cat "$log"
  fi
}

names=("$@")
[ "${#names[@]}" -gt 0 ] || mapfile -t names < <(grep -oE '^case_[a-z_]+' "$0" | sed 's/^case_//')
for name in "${names[@]}"; do
  run_case "$name"
done
rmdir "$WORK"
echo "group-test.sh: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
