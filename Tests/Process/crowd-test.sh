#!/usr/bin/env bash
# Callers outside the limits at a real entry process, one pattern after the other, with limits that are lowered so that a
# small crowd is enough. The entry has to live within its memory and descriptors and to answer an ordinary request.
# Arguments: the patterns to play; by default all of them. The last line is "crowd-test.sh: N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-build/default}
BASE=${BASE:-25300}
MEMORY_MB=64
DESCRIPTORS=400
patterns=("$@")
if [ ${#patterns[@]} -eq 0 ]; then
  patterns=(large-chunks-without-end small-chunks-without-end length-without-end announced-beyond-the-limit
    sent-beyond-the-limit requests-ahead unread-answers heads-without-end)
fi
entry=
end_entry() { [ -n "$entry" ] && kill -KILL "$entry" 2> /dev/null && wait "$entry" 2> /dev/null; entry=; }
trap end_entry EXIT

passed=0
failed=0
for pattern in "${patterns[@]}"; do
  "$BIN/platform/nutmegrill-platform-entry" --name=entry-1 --failure-domain=n --ip=127.0.0.1 \
    --callers="127.0.0.1:$((BASE + 1))" --readiness="127.0.0.1:$((BASE + 2))" --directory="127.0.0.1:$((BASE + 3))" \
    --internal-port=$((BASE + 4)) --metrics-port=$((BASE + 5)) --store="127.0.0.1:$BASE" --grace-seconds=2 \
    --log-lines-per-second=0 ${LIMITS---memory-megabytes=$MEMORY_MB} > /dev/null 2>&1 &
  entry=$!
  if "$BIN/Tests/crowd" --store "127.0.0.1:$BASE" --worker "127.0.0.1:$((BASE + 6))" --entry "127.0.0.1:$((BASE + 1))" \
    --readiness "127.0.0.1:$((BASE + 2))" --process "$entry" --pattern "$pattern" --max-megabytes "$MEMORY_MB" \
    --max-descriptors "$DESCRIPTORS"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $pattern"
  fi
  end_entry
done
echo "crowd-test.sh: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
