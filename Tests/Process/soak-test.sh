#!/usr/bin/env bash
# Fault soak of real entry processes. For each seed, soak-world plays the store, backend servers, operator and callers, and
# orders signals for the entries; this script sends them and starts entries again that have ended.
# Arguments: --seeds "A B ..", --seconds S, --entries N, --callers N, --keep-logs DIR. By default a short run of two seeds.
# The last line is "soak-test.sh: N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-build/default}
BASE=${BASE:-24500}
SEEDS="1 2"
SECONDS_EACH=26
ENTRIES=4
CALLERS=24
LOGS=$(mktemp -d)
while [ $# -gt 0 ]; do
  case $1 in
    --seeds) SEEDS=$2 ;;
    --seconds) SECONDS_EACH=$2 ;;
    --entries) ENTRIES=$2 ;;
    --callers) CALLERS=$2 ;;
    --keep-logs) LOGS=$2; mkdir -p "$LOGS" ;;
    *) echo "unknown argument: $1" >&2; exit 2 ;;
  esac
  shift 2
done
declare -A PID=()
WORLD=

end_processes() {
  for pid in "${PID[@]}" $WORLD; do
    kill -CONT "$pid" 2> /dev/null
    kill -KILL "$pid" 2> /dev/null
  done
  wait 2> /dev/null
  PID=()
  WORLD=
}
trap end_processes EXIT

start_entry() { # number
  local first=$((BASE + 100 + 10 * $1))
  "$BIN/platform/nutmegrill-platform-entry" --name="entry-$1" --failure-domain="domain-$(($1 % 3))" --ip=127.0.0.1 \
    --callers="127.0.0.1:$first" --readiness="127.0.0.1:$((first + 1))" --directory="127.0.0.1:$((first + 2))" \
    --internal-port=$((first + 3)) --metrics-port=$((first + 4)) --store="127.0.0.1:$BASE" --grace-seconds=2 \
    --retry-allowance=200 >> "$LOGS/entry-$1.log" 2>&1 &
  PID[$1]=$!
}

play() { # seed, further arguments of soak-world
  local seed=$1 line kind name entry
  shift
  rm -f "$LOGS/orders"
  mkfifo "$LOGS/orders"
  "$BIN/Tests/soak-world" --seed "$seed" --entries "$ENTRIES" --callers "$CALLERS" --seconds "$SECONDS_EACH" \
    --first-port "$BASE" "$@" > "$LOGS/orders" 2> "$LOGS/world.log" &
  WORLD=$!
  exec 3< "$LOGS/orders"
  for ((entry = 0; entry < ENTRIES; entry++)); do start_entry "$entry"; done
  : > "$LOGS/report-$seed"
  while true; do
    if read -r -t 0.1 -u 3 line; then
      echo "$line" >> "$LOGS/report-$seed"
      read -r kind name entry <<< "$line"
      [ "$kind" = order ] && kill "-$name" "${PID[$entry]}" 2> /dev/null
    elif [ $? -le 128 ]; then
      break
    fi
    for entry in "${!PID[@]}"; do
      kill -0 "${PID[$entry]}" 2> /dev/null || { wait "${PID[$entry]}" 2> /dev/null; start_entry "$entry"; }
    done
  done
  exec 3<&-
  wait "$WORLD"
  local status=$?
  end_processes
  grep -E '^(outcome|checked|broken)' "$LOGS/report-$seed" | sed "s/^/seed $seed: /"
  return $status
}

passed=0
failed=0
for seed in $SEEDS; do
  if play "$seed"; then passed=$((passed + 1)); else failed=$((failed + 1)); echo "FAILED: seed $seed"; fi
done
# The check itself: a promise that is broken on purpose has to be reported.
SECONDS_EACH=12
if play 0 --runs-twice > /dev/null; then
  failed=$((failed + 1))
  echo "FAILED: runs that count twice are not reported"
else
  passed=$((passed + 1))
fi
echo "soak-test.sh: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
