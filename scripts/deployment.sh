# Functions for scripts that run a small deployment on loopback: 3 entries, 2 engines and 2 instances of a plain
# service in the failure domains north and south, each backend server with its agent, and the platform's stand-ins.
# Sourced by scripts/quickstart, scripts/measure-processes and the process tests.

BIN=${BIN:-build/default}
BASE=${BASE:-21500}
KEY=quickstart-deployment-key
WORK=$(mktemp -d)
declare -A PID=()
FAILED=0

port() { echo "127.0.0.1:$((BASE + $1))"; }
STORE=$(port 0)
INSTANCES=$(port 1)
declare -A CALLER=([entry-1]=$(port 11) [entry-2]=$(port 12) [entry-3]=$(port 13))
declare -A CONTROL=([entry-1]=$(port 21) [entry-2]=$(port 22) [entry-3]=$(port 23)
  [writer-north]=$(port 51) [writer-south]=$(port 52) [ledger-north]=$(port 53) [ledger-south]=$(port 54))
declare -A BACKEND=([writer-north]=$(port 31) [writer-south]=$(port 32) [ledger-north]=$(port 33)
  [ledger-south]=$(port 34))
declare -A PEER=([writer-north]=$(port 41) [writer-south]=$(port 42) [ledger-north]=$(port 43)
  [ledger-south]=$(port 44))
ENTRY_DOMAIN=([1]=north [2]=south [3]=north)

step() { printf '\n== %s\n' "$*"; }
fail() { echo "FAILED: $*"; FAILED=1; exit 1; }

build_programs() {
  scripts/install-packages && cmake --preset default > /dev/null \
    && cmake --build --preset default -j "$(nproc)" > "$WORK/build.log" 2>&1 || { tail -30 "$WORK/build.log"; return 1; }
}

start() {
  local name=$1
  shift
  "$@" > "$WORK/$name.log" 2>&1 &
  PID[$name]=$!
}

start_agent() {
  local name=$1
  start "agent-$name" "$BIN/Source/Programs/nutmegrill-agent" --name "$name" --service "${name%-*}" \
    --failure-domain "${name#*-}" --listen "${PEER[$name]}" --control-listen "${CONTROL[$name]}" \
    --backend "${BACKEND[$name]}" --store "$STORE" --instances "$INSTANCES" --deployment-key "$KEY"
}

start_entry() {
  local number=$1
  start "entry-$number" "$BIN/Source/Programs/nutmegrill-entry" --name "entry-$number" \
    --failure-domain "${ENTRY_DOMAIN[$number]}" --listen "${CALLER[entry-$number]}" \
    --control-listen "${CONTROL[entry-$number]}" --store "$STORE" --instances "$INSTANCES" \
    --deployment-key "$KEY" --seed "$number"
}

start_backend() {
  local name=$1
  case $name in
    writer-*) start "backend-$name" "$BIN/Tests/StandIns/stand-in-engine" --listen "${BACKEND[$name]}" \
      --model writer-moe --step-us 5000 --limit 32 --cold-limit 4 --cold-ms 1000 ;;
    ledger-*) start "backend-$name" "$BIN/Tests/StandIns/stand-in-service" --listen "${BACKEND[$name]}" \
      --ledger "$WORK/$name.ledger" ;;
  esac
}

register() { # name role address failure-domain service
  curl -s -X PUT "http://$INSTANCES/instances/$1" -H 'Content-Type: application/json' \
    -d "{\"role\":\"$2\",\"address\":\"$3\",\"failureDomain\":\"$4\",\"service\":\"$5\"}" > /dev/null
}

start_platform() {
  start store "$BIN/Tests/StandIns/stand-in-store" --listen "$STORE"
  start instances "$BIN/Tests/StandIns/stand-in-instances" --listen "$INSTANCES"
  wait_for "the platform's stand-ins" curl -s -o /dev/null "http://$INSTANCES/instances"
}

start_deployment() {
  step "start 3 entries, 4 backend servers with their agents, and the stand-ins"
  start_platform
  local name number
  for name in writer-north writer-south ledger-north ledger-south; do
    register "$name" agent "${PEER[$name]}" "${name#*-}" "${name%-*}"
    start_backend "$name"
    start_agent "$name"
  done
  for number in 1 2 3; do
    register "entry-$number" entry "${CALLER[entry-$number]}" "${ENTRY_DOMAIN[$number]}" ""
    start_entry "$number"
  done
  echo "processes: ${#PID[@]}"
}

operator() {
  local processes
  processes=$(IFS=,; echo "${CONTROL[*]}")
  "$BIN/Source/Programs/nutmegrill" "$@" --store "$STORE" --processes "$processes" --deployment-key "$KEY"
}

# Kills a process and waits for its end: its address stays in use until then, and a new process could not listen.
end_at_once() { # name
  kill -KILL "${PID[$1]}"
  wait "${PID[$1]}" 2> /dev/null
  return 0
}

wait_for() { # description command...
  local what=$1 attempt
  shift
  for attempt in $(seq 1 200); do
    "$@" && return 0
    sleep 0.05
  done
  fail "timeout after 10 s waiting for $what"
}

wait_ready() {
  local name
  for name in "${!CONTROL[@]}"; do
    wait_for "$name" curl -sf -o /dev/null "http://${CONTROL[$name]}/health"
  done
  wait_for "a first answer" first_answer
}

first_answer() {
  ask /v1/completions -H 'Content-Type: application/json' \
    -d '{"model":"writer-moe","prompt":"ready","max_tokens":1}' | grep -q '"choices"'
}

ask() { # path curl-arguments...
  local path=$1
  shift
  curl -sN --max-time 30 "http://${CALLER[entry-1]}$path" -H 'Authorization: Bearer example-key-office' "$@"
}

counter() { # backend name, counter
  curl -s "http://${BACKEND[$1]}/counters" | grep -oE "\"$2\":[0-9]+" | head -1 | cut -d: -f2
}

count_starts() { counter "writer-$1" starts; }

count_executions() {
  local total=0 name value
  for name in ledger-north ledger-south; do
    value=$(counter "$name" executed)
    total=$((total + ${value:-0}))
  done
  echo "$total"
}

start_load() { # seconds
  local arguments=() name
  for name in entry-1 entry-2 entry-3; do
    arguments+=(--entry "${CALLER[$name]}")
  done
  start load "$BIN/Tests/StandIns/load-caller" "${arguments[@]}" --account office:example-key-office \
    --model writer-moe --seconds "$1" --rate 40 --concurrency 64 --max-tokens 24
}

wait_load() {
  wait "${PID[load]}"
  local status=$?
  unset 'PID[load]'
  cat "$WORK/load.log"
  return "$status"
}

# Stops the entries before the agents, so that they can finish their streams.
stop_gracefully() {
  local name
  for name in $(printf '%s\n' "${!PID[@]}" | grep -E '^entry'; printf '%s\n' "${!PID[@]}" | grep -E '^agent'); do
    kill -TERM "${PID[$name]}"
  done
  for name in $(printf '%s\n' "${!PID[@]}" | grep -E '^(entry|agent)'); do
    local attempt
    for attempt in $(seq 1 600); do
      kill -0 "${PID[$name]}" 2> /dev/null || break
      sleep 0.05
    done
    kill -0 "${PID[$name]}" 2> /dev/null && return 1
    wait "${PID[$name]}" || { echo "$name ended with $?"; return 1; }
    unset "PID[$name]"
  done
}

stop_everything() {
  local name
  for name in "${!PID[@]}"; do
    kill -KILL "${PID[$name]}" 2> /dev/null
  done
  wait 2> /dev/null
  [ "$FAILED" = 1 ] && tail -n 5 "$WORK"/*.log
  rm -rf "$WORK"
}
