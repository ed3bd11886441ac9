#!/bin/bash
# Sourced by the process tests: waits that end as soon as what is waited for is there.

# pause SECONDS: without a process of its own, since many pauses are short.
pause() {
  read -r -t "$1" <> <(:) || true
}

# poll SECONDS COMMAND...: runs the command every 0.1 s until it succeeds; fails where it does not within the time.
poll() {
  local tries=$(($1 * 10))
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    pause 0.1
  done
}
