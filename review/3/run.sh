#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
trouble=${TROUBLE:-1}
folder=$(mktemp -d) || exit 2
child=
clean() {
  if [ -n "$child" ]; then kill -KILL "$child" 2> /dev/null; fi
  for pid in $(cat "$folder"/*.pid 2> /dev/null); do kill -KILL "$pid" 2> /dev/null; done
  rm -rf "$folder"
}
trap clean EXIT
trap 'exit 2' INT TERM
# The command of the role 'entry' in the deploy file.
command=$(sed -n '/^\[roles\.entry\]/,/^\[/s/^run = "\(.*\)"/\1/p' deploy/system.toml)
program=target/review/case-3
if [ ! -x "$program" ] || [ ! -x "${command%% *}" ]; then
  echo "build first: the line 'build' of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
"$program" "$folder" "$command" "review/3/record.txt" "$trouble" &
child=$!
wait "$child"
result=$?
child=
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
