#!/bin/bash
# Starts a small fleet of real processes and proves that it serves; that bad input is rejected with the field and the
# reason; that a foreign message is dropped; that an unknown outcome is said to be unknown; that faults of replicas
# reach the caller as what they are; and that neither a restart of the whole core nor an orderly stop of a gateway loses
# anything.
# usage: serve.sh BIN [OPTION OF LOCAL-CLUSTER]...
# shellcheck source=tests/process/local_cluster.sh
. "$(dirname "$0")/local_cluster.sh"

GATEWAY=$(process_field gateway1 http)
CONTROLLER=$(process_field controller1 http)
PROGRAMS=http://$GATEWAY/v1/cells/news/programs
TURNS=$PROGRAMS/bad/turns
CONFIGURATION=http://$CONTROLLER/v1/cluster/configuration
# Bytes; larger than any body that a gateway takes.
TOO_LONG=1100000

generate_load() {
  "$BIN/loadgen" -m "$CONTROLLERS" --runs "$DIR/fleet" "$@"
}

check_commands() {
  expect_output '^yes' ctl show fleet
  expect_output '^yes epoch' ctl create cell lab budget 100 turn 10 retention 60000
  expect_exit 1 ctl create cell lab budget 100 turn 10 retention 60000
  expect_exit 1 ctl drain zoo a
  expect_exit 1 ctl apply "$0" at 1
  expect_exit 2 "$BIN/mosskeelctl"
}

# All that is wrong with a daemon's options is said at once.
check_option_errors() {
  local status=0
  "$BIN/controller" --listen nowhere --core-size 4 2>"$DIR/option_errors" || status=$?
  if [ "$status" != 2 ] || [ "$(grep -c event=103 "$DIR/option_errors")" -lt 5 ]; then
    fail "expected five findings and exit status 2, got $status: $(cat "$DIR/option_errors")"
  fi
}

check_invalid_turns() {
  expect_response 400 '"place":"body"' -d '{' "$TURNS"
  expect_response 400 '"place":"input"' -d '{}' "$TURNS"
  expect_response 400 '"place":"max_tokens"' -d '{"input":"x","max_tokens":-1}' "$TURNS"
  expect_response 400 'X-Deadline-Ms' -H 'X-Deadline-Ms: soon' -d '{"input":"x"}' "$TURNS"
  expect_response 400 'X-Class' -H 'X-Class: first' -d '{"input":"x"}' "$TURNS"
  head -c "$TOO_LONG" /dev/zero | tr '\0' 'x' >"$DIR/too_long"
  expect_response 413 too_long --data-binary @"$DIR/too_long" "$TURNS"
}

check_unknown_names() {
  expect_response 404 "cell 'nowhere' is unknown" -d '{"input":"x"}' "http://$GATEWAY/v1/cells/nowhere/programs/p/turns"
  expect_response 404 "route 'q'" -d '{"input":"x","route":"q"}' "$TURNS"
  expect_response 404 'conversation is missing' "$PROGRAMS/never-seen"
  expect_response 404 'conversation is missing' -d '{"input":"x","after":2}' "$TURNS"
  expect_response 404 unknown_path "http://$GATEWAY/v2"
}

check_idempotency() {
  expect_response 200 '"turn":1' -H 'Idempotency-Key: same' -d '{"input":"x"}' "$TURNS"
  expect_response 200 '"turn":1' -H 'Idempotency-Key: same' -d '{"input":"x"}' "$TURNS"
  expect_response 409 'another body' -H 'Idempotency-Key: same' -d '{"input":"y"}' "$TURNS"
  expect_response 409 'after: the thread has 1' -d '{"input":"z","after":3}' "$TURNS"
}

check_invalid_configurations() {
  expect_response 400 '"place":"cells"' -X PUT -d '{}' "$CONFIGURATION?revision=1"
  expect_response 400 '"place":"revision"' -X PUT -d '{"cells":[]}' "$CONFIGURATION"
  expect_response 409 'in force is' -X PUT -d '{"cells":[]}' "$CONFIGURATION?revision=77"
  expect_response 400 '"place":"url"' -X PUT -d '{"kind":"model","zone":"a"}' "http://$CONTROLLER/v1/replicas/x"
  expect_response 200 'position 6: expected' -d 'show flet' "http://$CONTROLLER/v1/say"
}

foreign_messages() {
  curl -sf "http://$CONTROLLER/metrics" | grep messages_foreign | sed 's/.* //'
}

# shellcheck disable=SC2317  # called by await
has_more_foreign_messages_than() {
  [ "$(foreign_messages)" -gt "$1" ]
}

# A damaged message is dropped and counted. The 8 bytes before it are the greeting of nng, the next 8 its length.
check_foreign_message() {
  local address before
  address=$(process_field controller1 listen)
  before=$(foreign_messages)
  exec 9<>"/dev/tcp/${address%:*}/${address#*:}"
  printf '\x00SP\x00\x00\x50\x00\x00\x00\x00\x00\x00\x00\x00\x00\x05hello' >&9
  await 20 has_more_foreign_messages_than "$before"
  exec 9>&-
}

# A change whose outcome can't be known says so, and the same id gives the outcome later.
check_unknown_outcome() {
  local status=0
  control_process freeze controller2
  control_process freeze controller3
  ctl -i op7 set cell lab turn 9 >"$DIR/unknown_outcome" || status=$?
  if [ "$status" != 3 ] || ! grep -q '^unknown: retry with op7' "$DIR/unknown_outcome"; then
    fail "expected an unknown outcome, got $status: $(cat "$DIR/unknown_outcome")"
  fi
  control_process wake controller2
  control_process wake controller3
  await 60 ctl -i op7 set cell lab turn 9
  expect_output '"turn_limit": 9' ctl show cell lab
}

# set_replica_fault JSON
set_replica_fault() {
  local replica
  for replica in model1 model2; do
    curl -sf -d "$1" "http://$(process_field "$replica" http)/control/fault" >/dev/null
  done
}

# executions KEY: how often the replicas have executed the request with this idempotency key.
executions() {
  cat "$DIR"/fleet/runs-model* | grep -c "/$1	"
}

# A response that is lost or broken leaves the outcome unknown, is kept under its key, and is not executed again.
check_replica_fault() {
  local fault=$1 turns=$PROGRAMS/fault-$1/turns
  set_replica_fault "{\"fault\":\"$fault\",\"left\":1}"
  expect_response 502 '"ran":"unknown"' -H "Idempotency-Key: $fault" -d '{"input":"x"}' "$turns"
  expect_response 502 'kept outcome' -H "Idempotency-Key: $fault" -d '{"input":"x"}' "$turns"
  [ "$(executions "$fault")" = 1 ] || fail "a request with the fault $fault was not executed once"
  set_replica_fault '{}'
}

check_restart_of_the_core() {
  local name
  for name in controller1 controller2 controller3; do
    control_process kill "$name"
  done
  for name in controller1 controller2 controller3; do
    control_process start "$name"
  done
  await 60 ctl show cell lab
  await 60 ctl set cell lab budget 200
  expect_output '"budget": 200' ctl show cell lab
  generate_load -r 5 -t 3
}

check_orderly_stop_of_a_gateway() {
  local load
  generate_load -r 8 -t 8 >"$DIR/load" &
  load=$!
  await 10 test -s "$DIR/fleet/runs-model1"
  control_process stop gateway1
  await 30 control_process start gateway1
  wait "$load" || fail "$(cat "$DIR/load")"
  cat "$DIR/load"
  if grep -q "ran unknown" "$DIR/load"; then
    fail "a response was lost in an orderly restart"
  fi
}

generate_load -r 5 -t 4
check_commands
check_option_errors
check_invalid_turns
check_unknown_names
check_idempotency
check_invalid_configurations
check_foreign_message
check_unknown_outcome
for fault in cut lost unsealed overlong error skip repeat; do
  check_replica_fault "$fault"
done
check_restart_of_the_core
check_orderly_stop_of_a_gateway
