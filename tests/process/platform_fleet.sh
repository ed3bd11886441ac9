#!/bin/bash
# Sourced by the tests of a fleet that is started as a platform starts it, with the stand-in of the platform around it
# (tests/platform_stub). Takes the test's arguments: the folder of the programs, and the seconds of traffic.
#
# Sets for the test:
#   BIN  the folder of the programs
#   DIR  a temporary folder with settings, data and logs
set -eu
# shellcheck source=tests/process/waiting.sh
. "$(dirname "$0")/waiting.sh"

BIN=$1
DIR=$(mktemp -d)
# Process ids by the names of the daemons.
declare -A PID_OF
STANDIN=

# shellcheck disable=SC2317  # called by the trap
end_processes() {
  local pid
  for pid in "${PID_OF[@]}" $STANDIN; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in "${PID_OF[@]}" $STANDIN; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$DIR"
}
trap end_processes EXIT

# start_daemon NAME: a program and a digit, as in "store2".
start_daemon() {
  MOSSKEEL_CONFIG="$DIR/$1.toml" "$BIN/${1%?}" >>"$DIR/$1.log" 2>&1 &
  PID_OF[$1]=$!
}

# start_daemon_again NAME: on the data that it left, as every start but the first.
start_daemon_again() {
  sed -i 's/^FirstStart = true/FirstStart = false/' "$DIR/$1.toml"
  start_daemon "$1"
}

# signal_daemon SIGNAL NAME
signal_daemon() {
  kill "-$1" "${PID_OF[$2]}"
}

# await_daemon_end NAME
await_daemon_end() {
  wait "${PID_OF[$1]}" 2>/dev/null || true
}

# Three machines of each role: a controller, a store, and an agent with a gateway.
start_fleet() {
  local number
  "$BIN/standin" --dir "$DIR" --settings
  for number in 1 2 3; do
    start_daemon "controller$number"
    start_daemon "store$number"
    start_daemon "agent$number"
    start_daemon "gateway$number"
  done
}

standin_says_or_ended() {
  grep -qs "$1" "$DIR/out" || ! kill -0 "$STANDIN"
}

# start_traffic SECONDS [OPTION]...: starts the stand-in and waits until it sends requests.
start_traffic() {
  local seconds=$1 patience=80
  shift
  "$BIN/standin" --dir "$DIR" --seconds "$seconds" "$@" >"$DIR/out" 2>&1 &
  STANDIN=$!
  poll "$patience" standin_says_or_ended "traffic begins" || true
  if ! grep -qs "traffic begins" "$DIR/out"; then
    echo "waited in vain for the traffic"
    cat "$DIR/out"
    tail -n 5 "$DIR"/*.log
    exit 1
  fi
}

# Waits for the stand-in's verdict and ends the test with it.
exit_with_verdict() {
  local status=0
  wait "$STANDIN" || status=$?
  STANDIN=
  cat "$DIR/out"
  [ "$status" = 0 ] || tail -n 20 "$DIR"/*.log
  exit "$status"
}
