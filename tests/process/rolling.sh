#!/bin/bash
# Starts a fleet as a platform does, with the platform's stand-in around it, and restarts machines of every role in turn
# under traffic, as for an upgrade. Proves that no response that was begun is lost, that each process ends within the
# platform's grace period, and that 95% of the requests are served.
# usage: rolling.sh BIN [SECONDS OF TRAFFIC]
# shellcheck source=tests/process/platform_fleet.sh
. "$(dirname "$0")/platform_fleet.sh"

TRAFFIC_SECONDS=${2:-70}
# From SIGTERM to the platform's SIGKILL.
GRACE_SECONDS=8
# Between two machines, until the fleet has the first one back.
RESTART_INTERVAL_SECONDS=4

# running_daemons NAME...: those of them that have not ended.
running_daemons() {
  local name
  for name in "$@"; do
    if kill -0 "${PID_OF[$name]}" 2>/dev/null; then
      echo "$name"
    fi
  done
}

# shellcheck disable=SC2317  # called by poll
daemons_ended() {
  [ -z "$(running_daemons "$@")" ]
}

# restart_machine NAME...: the daemons of one machine.
restart_machine() {
  local name
  for name in "$@"; do
    signal_daemon TERM "$name"
  done
  if ! poll "$GRACE_SECONDS" daemons_ended "$@"; then
    for name in $(running_daemons "$@"); do
      echo "$name has not ended $GRACE_SECONDS s after SIGTERM"
      tail -n 5 "$DIR/$name.log"
    done
    exit 1
  fi
  for name in "$@"; do
    await_daemon_end "$name"
    start_daemon_again "$name"
  done
  pause "$RESTART_INTERVAL_SECONDS"
}

start_fleet
start_traffic "$TRAFFIC_SECONDS" --calm
pause 1
for number in 1 2 3; do
  restart_machine "agent$number" "gateway$number"
done
restart_machine store1
restart_machine controller1
exit_with_verdict
