#!/bin/bash
# Every role of a fleet is stopped and started in turn under load, gateways with the agents beside them; no answer that
# was begun is lost, and each process ends within the platform's grace.
set -eu
BIN=$1
SECONDS_OF_TRAFFIC=${2:-70}
GRACE_S=8
DIR=$(mktemp -d)
declare -A PID
STANDIN=
finish() {
  for p in "${PID[@]}" $STANDIN; do kill -KILL "$p" 2>/dev/null || true; done
  for p in "${PID[@]}" $STANDIN; do wait "$p" 2>/dev/null || true; done
  rm -rf "$DIR"
}
trap finish EXIT
start() { MOSSKEEL_CONFIG="$DIR/$1.toml" "$BIN/${1%?}" >>"$DIR/$1.log" 2>&1 & PID[$1]=$!; }
again() { sed -i 's/^FirstStart = true/FirstStart = false/' "$DIR/$1.toml"; start "$1"; }
pause() { read -r -t "$1" <> <(:) || true; }
await() { # await SECONDS PATTERN: in what the stand-in says
  local n=$(($1 * 10))
  until grep -qs "$2" "$DIR/out"; do
    n=$((n - 1))
    if [ $n -le 0 ] || ! kill -0 "$STANDIN" 2>/dev/null; then
      echo "waited in vain for: $2"; cat "$DIR/out"; tail -n 5 "$DIR"/*.log; exit 1
    fi
    pause 0.1
  done
}
roll() { # roll NAME...: the processes of one machine
  local n name late=
  for name in "$@"; do kill -TERM "${PID[$name]}"; done
  for ((n = 0; n < GRACE_S * 10; n++)); do
    late=
    for name in "$@"; do kill -0 "${PID[$name]}" 2>/dev/null && late="$late $name"; done
    [ -n "$late" ] || break
    pause 0.1
  done
  [ -z "$late" ] || { echo "still there $GRACE_S s after SIGTERM:$late"; tail -n 5 "$DIR/$1.log"; exit 1; }
  for name in "$@"; do wait "${PID[$name]}" 2>/dev/null || true; done
  for name in "$@"; do again "$name"; done
  pause 4
}
"$BIN/standin" --dir "$DIR" --settings
for i in 1 2 3; do start "controller$i"; start "store$i"; start "agent$i"; start "gateway$i"; done
"$BIN/standin" --dir "$DIR" --calm --seconds "$SECONDS_OF_TRAFFIC" >"$DIR/out" 2>&1 & STANDIN=$!
await 80 "traffic begins"
pause 1
for i in 1 2 3; do roll "agent$i" "gateway$i"; done
roll store1
roll controller1
rc=0; wait "$STANDIN" || rc=$?
STANDIN=
cat "$DIR/out"
[ $rc = 0 ] || tail -n 20 "$DIR"/*.log
exit $rc
