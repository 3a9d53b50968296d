#!/usr/bin/env bash
# Tests of the interfaces for callers and operators: settings, exit codes, messages and answers to invalid requests.
# All cases share one deployment and leave it unchanged.
# Arguments: names of cases; default: all. The last line is "interface-test.sh: N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/../.."
BASE=${BASE:-22500}
source scripts/deployment.sh

PROGRAMS=$BIN/Source/Programs
QUICKSTART=examples/quickstart/quickstart.yaml

expect() { # description command...
  local what=$1
  shift
  "$@" || fail "$what"
}

# Runs a program and checks the exit code, the number of output lines and a pattern in the output.
expect_exit() { # code, lines ('*': any), pattern, command...
  local code=$1 lines=$2 pattern=$3 output status
  shift 3
  output=$("$@" 2>&1)
  status=$?
  echo "$output"
  expect "exit code $status, not $code: $*" [ "$status" = "$code" ]
  expect "no line with '$pattern': $output" grep -qE -- "$pattern" <<< "$output"
  [ "$lines" = '*' ] || expect "not $lines line(s): $output" [ "$(wc -l <<< "$output")" = "$lines" ]
}

# Runs an additional entry or agent; a setting with an empty value is omitted.
probe() { # program, setting=value...
  local program=$1 change flag arguments=()
  local -A flags=([name]=probe [failure-domain]=north [listen]=$(port 71) [control-listen]=$(port 72)
    [store]=$STORE [instances]=$INSTANCES [deployment-key]=$KEY)
  shift
  [ "$program" = agent ] && flags+=([service]=writer [backend]=${BACKEND[writer-north]})
  for change in "$@"; do flags[${change%%=*}]=${change#*=}; done
  for flag in "${!flags[@]}"; do
    [ -z "${flags[$flag]}" ] || arguments+=("--$flag" "${flags[$flag]}")
  done
  # exec makes the process id of a background probe that of the program itself.
  exec ${LIMIT-timeout 10} "$PROGRAMS/nutmegrill-$program" "${arguments[@]}"
}

operator_alone() { timeout 30 "$PROGRAMS/nutmegrill" "$@"; }

control() { # process, path, curl arguments...
  local process=$1 path=$2
  shift 2
  curl -s --max-time 10 "http://${CONTROL[$process]}$path" "$@"
}

# Sends a request as a caller and prints "STATUS BODY".
answer_of() { # path curl-arguments...
  local path=$1
  shift
  curl -s --max-time 30 "http://${CALLER[entry-1]}$path" -H "${AUTHORIZATION-Authorization: Bearer example-key-office}" \
    "$@" -w '\n%{http_code}' | awk '{ body = body last; last = $0 } END { print last " " body }'
}

expect_error() { # status, code, path, curl arguments...
  local status=$1 code=$2 answer
  shift 2
  answer=$(answer_of "$@")
  echo "$answer"
  expect "status $status, not: $answer" [ "${answer%% *}" = "$status" ]
  expect "code $code, not: $answer" grep -q "\"code\":\"$code\"" <<< "$answer"
  expect "run not_run, not: $answer" grep -q '"run":"not_run"' <<< "$answer"
}

# A missing setting must end the program with one clear message instead of a process that cannot work.
case_missing_flag() {
  local program flag
  for program in entry agent; do
    for flag in name failure-domain listen control-listen store deployment-key; do
      expect_exit 2 1 "^nutmegrill-$program: --$flag is missing\$" probe "$program" "$flag="
    done
  done
  expect_exit 2 1 '--instances is missing' probe entry instances=
  expect_exit 2 1 '--service is missing' probe agent service=
  expect_exit 2 1 '--backend is missing' probe agent backend=
}

case_bad_address() {
  local address
  for address in localhost:80 127.0.0.1 127.0.0.1:99999 127.0.0.1:x ':80'; do
    expect_exit 2 1 "--listen: '$address' is not of the form IP:port" probe entry "listen=$address"
  done
  expect_exit 2 1 "--backend: 'x:1' is not of the form" probe agent backend=x:1
  expect_exit 2 1 "--processes: 'x' is not of the form" operator_alone status --processes "$STORE,x"
}

case_port_in_use() {
  expect_exit 3 1 "nutmegrill-entry: cannot listen on $STORE" probe entry "listen=$STORE"
  expect_exit 3 1 "nutmegrill-entry: cannot listen on $STORE" probe entry "control-listen=$STORE"
  expect_exit 3 1 "nutmegrill-agent: cannot listen on $STORE" probe agent "listen=$STORE"
  expect_exit 3 1 "nutmegrill-agent: cannot listen on $STORE" probe agent "control-listen=$STORE"
}

case_bad_number() {
  local number
  for number in many -1 1.5 4294967296 99999999999999999999; do
    expect_exit 2 1 "--subset-size: '$number' is not a number" probe entry "subset-size=$number"
  done
  expect_exit 2 1 "--subset-size: '0' " probe entry subset-size=0
  NUTMEGRILL_SEED='' expect_exit 2 1 "--seed: '' is not a number" probe entry
}

case_unknown_flag_and_word() {
  expect_exit 2 1 "nutmegrill-entry: .*colour" probe entry colour=red
  expect_exit 2 1 "nutmegrill-agent: .*colour" probe agent colour=red
  expect_exit 2 1 "nutmegrill: .*colour" operator_alone status --colour red
  expect_exit 2 1 "unexpected word 'start'" timeout 10 "$PROGRAMS/nutmegrill-entry" start
  expect_exit 2 1 "unknown command 'publish'" operator_alone publish
  expect_exit 2 1 "no command given" operator_alone
  expect_exit 2 1 "no declaration files given" operator_alone apply
  expect_exit 2 1 "exactly one failure domain" operator_alone take-out
  expect_exit 2 1 "exactly one request id" operator_alone explain
  expect_exit 2 1 "--pending" operator_alone take-out north --pending maybe
}

case_environment_variable() {
  NUTMEGRILL_LISTEN=x:1 expect_exit 2 1 "--listen: 'x:1' is not of the form" probe entry listen=
  NUTMEGRILL_LISTEN=x:1 expect_exit 3 1 "cannot listen on $STORE" probe entry "listen=$STORE"
  NUTMEGRILL_DEPLOYMENT_KEY=$KEY NUTMEGRILL_CONTROL_LISTEN=$STORE \
    expect_exit 3 1 "cannot listen on $STORE" probe agent deployment-key= control-listen=
  NUTMEGRILL_STORE=$STORE expect_exit 0 '*' 'published version' operator_alone status
}

case_help_and_version() {
  local program
  for program in nutmegrill nutmegrill-entry nutmegrill-agent; do
    expect_exit 0 '*' '--deployment-key' timeout 10 "$PROGRAMS/$program" --help
    expect_exit 0 1 "^$program [0-9]+\.[0-9]+\.[0-9]+\$" timeout 10 "$PROGRAMS/$program" --version
  done
  expect_exit 0 '*' 'explain REQUEST' operator_alone --help
}

# Instances have no disks: processes must not write files. The logging library would create one by default.
case_no_file_is_written() {
  local programs files
  programs=$(realpath "$PROGRAMS")
  mkdir "$WORK/empty"
  (cd "$WORK/empty" && PROGRAMS=$programs && LIMIT='timeout 1' probe agent store="$(port 99)")
  (cd "$WORK/empty" && "$programs/nutmegrill" status --store "$STORE" --processes "${CONTROL[entry-1]}" --deployment-key "$KEY")
  files=$(ls -A "$WORK/empty")
  expect "written: $files" [ -z "$files" ]
}

# Operators' scripts distinguish a store outage (exit code 4) from invalid declarations.
case_unreachable_store() {
  local verb
  for verb in status "apply $QUICKSTART" "diff $QUICKSTART" "take-out north" "bring-back north"; do
    # shellcheck disable=SC2086
    expect_exit 4 1 '^nutmegrill: ' operator_alone $verb --store "$(port 99)"
  done
  expect_exit 0 1 '^ok: ' operator_alone check "$QUICKSTART" --store "$(port 99)"
}

# Pipelines decide by these exit codes whether to publish.
case_check() {
  expect_exit 0 1 '^ok: ' operator_alone check "$QUICKSTART" --strict yes
  expect_exit 0 2 '^no changes to the version in force' \
    operator_alone check "$WORK/accounts.yaml" --against store --store "$STORE"
  expect_exit 0 '*' '^removed ClientAccount clerk' \
    operator_alone check "$QUICKSTART" --against store --store "$STORE"
  expect_exit 4 1 '^nutmegrill: ' operator_alone check "$QUICKSTART" --against store --store "$(port 99)"
  expect_exit 0 '*' '^ok: ' operator_alone check examples/check/platform.json --format platform
  expect_exit 3 '*' '^nutmegrill: 6 warnings' \
    operator_alone check examples/check/platform.json --format platform --strict yes
  expect_exit 2 1 'unknown format' operator_alone check "$QUICKSTART" --format other
}

case_no_process_answers() {
  expect_exit 1 1 'did not answer' operator_alone dump --processes "$(port 99)" --deployment-key "$KEY"
  expect_exit 1 1 'accepted the take-out' operator_alone take-out north --pending yes --processes "$(port 99)"
  expect_exit 1 1 'knows request nobody' operator explain nobody
  expect_exit 1 1 'no such failure domain|unknown failure domain' operator take-out nowhere
}

case_malformed_declarations() {
  local before
  before=$(operator status | head -1)
  printf 'kind: Place\nname: p\nfailureDomains: [a]\ncolour: red\n---\nkind: Service\nname: s\ntype: plian\nfailureDomains: [b]\n' \
    > "$WORK/bad.yaml"
  expect_exit 1 '*' "bad.yaml:4: .*colour" operator apply "$WORK/bad.yaml"
  expect_exit 1 '*' "bad.yaml:8: .*plian" operator apply "$WORK/bad.yaml"
  expect_exit 1 '*' "bad.yaml:9: .*b" operator apply "$WORK/bad.yaml"
  expect_exit 1 '*' "nothing was published" operator apply "$WORK/bad.yaml"
  printf 'kind: [\n' > "$WORK/broken.yaml"
  expect_exit 1 2 "broken.yaml:[0-9]+: " operator check "$WORK/broken.yaml"
  expect_exit 1 2 "absent.yaml" operator check "$WORK/absent.yaml"
  expect "the stored configuration changed" [ "$(operator status | head -1)" = "$before" ]
}

case_unauthorized_and_forbidden() {
  local body='{"model":"writer-moe","prompt":"a","max_tokens":1}'
  local AUTHORIZATION
  for AUTHORIZATION in 'Authorization: Bearer nobody' 'Authorization: Bearer' 'Authorization: example-key-office' 'X-None: x'; do
    expect_error 401 unauthorized /v1/completions -d "$body"
    expect_error 401 unauthorized /v1/models
    expect_error 401 unauthorized /v1/services/ledger/balances/1
  done
  AUTHORIZATION='Authorization: Bearer example-key-clerk'
  expect_error 403 forbidden /v1/completions -d "$body"
  expect_error 404 service_not_found /v1/services/writer/x
  expect "a model is listed for the clerk" grep -q '"data":\[\]' <<< "$(answer_of /v1/models)"
}

case_unknown_paths_and_models() {
  expect_error 404 model_not_found /v1/completions -d '{"model":"none","prompt":"a"}'
  expect_error 404 model_not_found /v1/completions -d '{"prompt":"a"}'
  expect_error 404 not_found /v1/nothing
  expect_error 404 not_found /
  expect_error 404 service_not_found /v1/services/none/x
  expect_error 404 service_not_found /v1/services/
  expect_error 405 method_not_allowed /v1/completions
  expect "GET /v1/models does not list writer-moe" grep -q '"id":"writer-moe"' <<< "$(answer_of /v1/models)"
}

case_malformed_requests() {
  local body
  for body in '{' '[]' '"a"' ''; do
    expect_error 400 malformed_json /v1/completions -X POST -d "$body"
  done
  for body in '{"model":"writer-moe"}' '{"model":"writer-moe","prompt":7}' '{"model":7,"prompt":"a"}' \
    '{"model":"writer-moe","prompt":"a","max_tokens":0}' '{"model":"writer-moe","prompt":"a","max_tokens":-1}' \
    '{"model":"writer-moe","prompt":"a","max_tokens":"x"}' '{"model":"writer-moe","prompt":"a","stream":"yes"}'; do
    expect_error 400 malformed_request /v1/completions -d "$body"
  done
  expect_error 400 malformed_request /v1/chat/completions -d '{"model":"writer-moe","messages":"a"}'
  expect_error 400 bad_request_id /v1/completions -d '{"model":"writer-moe","prompt":"a"}' -H 'X-Request-Id: a/b'
  expect_error 400 idempotency_key_required /v1/services/ledger/records -d '{"round":1}'
  expect "a record was executed" [ "$(count_executions)" = 0 ]
}

# evhttp answers these requests itself with an HTML page, so only the status is checked.
case_answers_of_the_http_library() {
  head -c 5000000 /dev/zero | tr '\0' 'a' > "$WORK/large"
  local answer
  answer=$(answer_of /v1/completions -H 'Expect:' --data-binary "@$WORK/large")
  expect "status 413, not: $answer" [ "${answer%% *}" = 413 ]
  answer=$(answer_of /v1/models -H "X-Large: $(head -c 20000 "$WORK/large")")
  expect "status 400, not: $answer" [ "${answer%% *}" = 400 ]
  answer=$(answer_of /v1/models -X TRACE)
  expect "status 501, not: $answer" [ "${answer%% *}" = 501 ]
  expect "the entry does not answer any more" first_answer
}

case_control_port_requires_the_key() {
  local process path status
  for process in entry-1 writer-north; do
    for path in /dump /metrics /nothing; do
      status=$(control "$process" "$path" -o "$WORK/answer" -w '%{http_code}')
      expect "$process $path without a key: $status" [ "$status" = 401 ]
      expect "the error is not JSON" grep -q '"code":"unauthorized"' "$WORK/answer"
      status=$(control "$process" "$path" -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer wrong')
      expect "$process $path with a wrong key: $status" [ "$status" = 401 ]
    done
    status=$(control "$process" /nothing -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $KEY")
    expect "unknown path: $status" [ "$status" = 404 ]
    expect "/health without a key does not report ready" grep -q '"ready":true' <<< "$(control "$process" /health)"
  done
  status=$(control entry-1 /take-out -o /dev/null -w '%{http_code}' -d '{"failureDomain":"north","changeId":"x"}')
  expect "take-out without a key: $status" [ "$status" = 401 ]
}

# A malformed take-out must neither crash the entry nor take a failure domain out.
case_malformed_take_out() {
  local body status
  for body in '{' '[]' '{}' '{"failureDomain":7,"changeId":"x"}' '{"failureDomain":"nowhere","changeId":"x"}'; do
    status=$(control entry-1 /take-out -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $KEY" -d "$body")
    expect "$body: $status" [ "$status" = 400 ]
  done
  expect "the entry does not answer any more" first_answer
  expect "a failure domain is out" grep -q '"pending_take_outs": \[\]' <<< "$(control entry-1 /dump -H "Authorization: Bearer $KEY")"
}

case_wrong_deployment_key_is_refused() {
  local before status
  before=$(count_starts north)
  LIMIT= start probe probe entry name=rogue deployment-key=wrong
  wait_for "the refusal" grep -q 'E3001' "$WORK/agent-writer-north.log"
  status=$(curl -s --max-time 2 -o /dev/null -w '%{http_code}' "http://$(port 71)/v1/completions" \
    -H 'Authorization: Bearer example-key-office' -d '{"model":"writer-moe","prompt":"a","max_tokens":1}')
  expect "the request through the rogue entry was answered: $status" [ "$status" != 200 ]
  expect "work was started" [ "$(count_starts north)" = "$before" ]
  kill -KILL "${PID[probe]}"
  wait "${PID[probe]}" 2> /dev/null || true
}

# A caller that sends its request body slowly must not block other callers.
case_slow_request_body() {
  local connection attempt body='{"model":"writer-moe","prompt":"slow","max_tokens":1}'
  exec {connection}<> "/dev/tcp/127.0.0.1/${CALLER[entry-1]#*:}"
  printf 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer example-key-office\r\nContent-Length: %d\r\n\r\n%s' \
    "${#body}" "${body:0:9}" >&"$connection"
  for attempt in 1 2 3 4 5; do
    expect "another request is not answered during the slow one" first_answer
  done
  printf '%s' "${body:9}" >&"$connection"
  read -r -t 10 -u "$connection" attempt
  expect "the slow request is answered, not: $attempt" grep -q '200' <<< "$attempt"
  exec {connection}>&-
}

case_metrics_parse() {
  local process text
  for process in entry-1 writer-north; do
    text=$(control "$process" /metrics -H "Authorization: Bearer $KEY")
    expect "no metrics of $process" grep -q '^nutmegrill_' <<< "$text"
    expect "a malformed metrics line: $(grep -vE '^(# (HELP|TYPE) .*|[a-z_]+(\{[^{}]*\})? [0-9.e+-]+)$' <<< "$text")" \
      [ -z "$(grep -vE '^(# (HELP|TYPE) .*|[a-z_]+(\{[^{}]*\})? [0-9.e+-]+)$' <<< "$text")" ]
  done
}

# `nutmegrill status` parses every dump. A renamed key would show as version 0 or as a missing process.
case_dumps_parse() {
  local name state published
  state=$(operator status)
  echo "$state"
  published=$(head -1 <<< "$state" | grep -oE 'version [0-9]+')
  for name in "${!CONTROL[@]}"; do
    wait_for "$name in the status" grep -q "^${CONTROL[$name]}: $name $published\$" <<< "$state"
    expect "a key that is not snake_case" [ -z "$(control "$name" /dump -H "Authorization: Bearer $KEY" | grep -E '^  "[a-z_]*[^a-z_"]')" ]
  done
}

case_signal_dumps_state() {
  local name
  for name in entry-1 agent-writer-north; do
    kill -USR1 "${PID[$name]}"
    wait_for "the dump of $name" grep -q '"configuration_version"' "$WORK/$name.log"
  done
  expect "the entry does not answer any more after the dump" first_answer
}

case_request_is_explained() {
  ask /v1/completions -H 'X-Request-Id: told' -d '{"model":"writer-moe","prompt":"a","max_tokens":1}' > /dev/null
  local text
  text=$(operator explain told)
  echo "$text"
  expect "no line of the entry" grep -qE '^entry-1: office/told, .*finished with ok, run completed, 1 start on writer-' <<< "$text"
  expect "no line of the agent" grep -qE '^writer-(north|south): office/told, .*finished with ok, run completed' <<< "$text"
}

passed=0
failed=0
run_case() {
  local log=$WORK/case-$1.log
  if ("case_$1") > "$log" 2>&1; then
    passed=$((passed + 1))
  elif grep -qx "test: interface $1" KNOWN-RED.txt 2> /dev/null; then
    echo "known red: interface $1"
    grep 'FAILED' "$log"
  else
    failed=$((failed + 1))
    echo "FAILED: interface $1"
    cat "$log"
  fi
}

trap stop_everything EXIT
start_deployment
# A second client account that may not use the model.
{ cat "$QUICKSTART"; printf -- '---\nkind: ClientAccount\nname: clerk\nkeyHash: %s\nservices: [ledger]\n' \
  "$(printf %s example-key-clerk | sha256sum | cut -d' ' -f1)"; } > "$WORK/accounts.yaml"
operator apply "$WORK/accounts.yaml" || fail "apply"
wait_ready

names=("$@")
[ "${#names[@]}" -gt 0 ] || mapfile -t names < <(grep -oE '^case_[a-z_]+' "$0" | sed 's/^case_//')
for name in "${names[@]}"; do
  run_case "$name"
done
echo "interface-test.sh: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
