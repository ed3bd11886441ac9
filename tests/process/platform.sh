#!/bin/bash
# Starts a fleet as a platform does, with the platform's stand-in around it, and loses one daemon of each kind under
# traffic: a gateway ends in order, a store and a controller are killed. Proves by the stand-in's checks that every
# promise to callers, replicas and operators holds, and that 95% of the requests are served.
# usage: platform.sh BIN [SECONDS OF TRAFFIC]
# shellcheck source=tests/process/platform_fleet.sh
. "$(dirname "$0")/platform_fleet.sh"

TRAFFIC_SECONDS=${2:-20}

# restart_in_order NAME
restart_in_order() {
  signal_daemon TERM "$1"
  await_daemon_end "$1"
  start_daemon_again "$1"
}

# kill_and_start NAME: it is away for a second.
kill_and_start() {
  signal_daemon KILL "$1"
  await_daemon_end "$1"
  pause 1
  start_daemon_again "$1"
}

start_fleet
start_traffic "$TRAFFIC_SECONDS"
pause 2
restart_in_order gateway1
pause 2
kill_and_start store2
pause 2
kill_and_start controller3
exit_with_verdict
