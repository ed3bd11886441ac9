#!/bin/bash
# Sourced by the tests of a small fleet: starts it on free ports, waits until its gateways are ready, and ends it with
# the test. Takes the test's arguments: the folder of the programs, and options for local-cluster.
#
# Sets for the test:
#   BIN          the folder of the programs
#   DIR          a temporary folder; the fleet's own files are in $DIR/fleet
#   CONTROL      the address at which local-cluster stops and starts processes
#   CONTROLLERS  the addresses of the controllers
set -eu
# shellcheck source=tests/process/waiting.sh
. "$(dirname "$0")/waiting.sh"

BIN=$1
DIR=$(mktemp -d)
"$BIN/local-cluster" --fleet small --dir "$DIR/fleet" --base 0 "${@:2}" >"$DIR/out" 2>"$DIR/err" &
CLUSTER=$!

# Ends the fleet; a test that passed fails where local-cluster had ended before, or ends with an error.
# shellcheck disable=SC2317  # called by the trap
end_cluster() {
  local test_status=$? cluster_status=0
  kill "$CLUSTER" 2>/dev/null || cluster_status=1
  wait "$CLUSTER" 2>/dev/null || cluster_status=$?
  rm -rf "$DIR"
  [ "$test_status" = 0 ] || exit "$test_status"
  exit "$cluster_status"
}
trap end_cluster EXIT

fail() {
  echo "$*"
  exit 1
}

# Ends the test where local-cluster has ended.
require_cluster() {
  kill -0 "$CLUSTER" 2>/dev/null && return
  cat "$DIR/out" "$DIR/err"
  fail "the local cluster ended"
}

# succeeds_or_cluster_ended COMMAND...
succeeds_or_cluster_ended() {
  "$@" || ! kill -0 "$CLUSTER"
}

# await SECONDS COMMAND...: until the command succeeds.
await() {
  local seconds=$1
  shift
  if ! poll "$seconds" succeeds_or_cluster_ended "$@"; then
    tail -n 5 "$DIR/err" "$DIR"/fleet/*.log
    fail "waited $seconds s in vain for: $*"
  fi
  require_cluster
}

# control_process ACTION NAME: kill, stop, start, freeze, wake or wipe a process of the fleet.
control_process() {
  curl -sf -X POST "http://$CONTROL/$1/$2" >/dev/null
}

# ctl ARGUMENT...: a command of the operator.
ctl() {
  "$BIN/mosskeelctl" -m "$CONTROLLERS" "$@"
}

# process_field NAME FIELD: what local-cluster says of a process of the fleet.
process_field() {
  curl -sf "http://$CONTROL/fleet" | tr '{' '\n' | grep "\"name\":\"$1\"" | sed "s/.*\"$2\":\"\([^\"]*\)\".*/\1/"
}

# expect_response STATUS PATTERN CURL-ARGUMENT...: the status, and a pattern that the body must hold.
expect_response() {
  local status=$1 pattern=$2 actual
  shift 2
  actual=$(curl -s -o "$DIR/body" -w '%{http_code}' "$@")
  if [ "$actual" != "$status" ] || ! grep -q -- "$pattern" "$DIR/body"; then
    fail "expected $status with $pattern, got $actual: $(cat "$DIR/body") for $*"
  fi
}

# expect_exit STATUS COMMAND...: the exit status of a command.
expect_exit() {
  local status=$1 actual=0
  shift
  "$@" || actual=$?
  [ "$actual" = "$status" ] || fail "expected exit status $status, got $actual for $*"
}

# expect_output PATTERN COMMAND...: a pattern that the standard output of a command must hold.
expect_output() {
  local pattern=$1 output
  shift
  output=$("$@") || true
  grep -q -- "$pattern" <<<"$output" || fail "expected output with $pattern, got: $output for $*"
}

await 90 grep -q "fronts ready" "$DIR/out"
grep -q "2 of 2 fronts ready" "$DIR/out" || fail "$(cat "$DIR/out")"
CONTROL=$(sed 's/.*control //' "$DIR/out")
CONTROLLERS=$(sed 's/.*controllers \([^;]*\);.*/\1/' "$DIR/out")
