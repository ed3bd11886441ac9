#!/bin/bash
# A fleet started as the platform starts it serves the platform's stand-in; one of each kind of daemon is lost meanwhile.
set -eu
BIN=$1
SECONDS_OF_TRAFFIC=${2:-20}
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
await() { # await SECONDS PATTERN: in what the stand-in says
  local n=$(($1 * 10))
  until grep -qs "$2" "$DIR/out"; do
    n=$((n - 1))
    if [ $n -le 0 ] || ! kill -0 "$STANDIN" 2>/dev/null; then
      echo "waited in vain for: $2"; cat "$DIR/out"; tail -n 5 "$DIR"/*.log; exit 1
    fi
    read -r -t 0.1 <> <(:) || true
  done
}
pause() { read -r -t "$1" <> <(:) || true; }
"$BIN/standin" --dir "$DIR" --settings
for i in 1 2 3; do start "controller$i"; start "store$i"; start "agent$i"; start "gateway$i"; done
"$BIN/standin" --dir "$DIR" --seconds "$SECONDS_OF_TRAFFIC" >"$DIR/out" 2>&1 & STANDIN=$!
await 80 "traffic begins"
pause 2
kill -TERM "${PID[gateway1]}"
wait "${PID[gateway1]}" 2>/dev/null || true
again gateway1
pause 2
kill -KILL "${PID[store2]}"
wait "${PID[store2]}" 2>/dev/null || true
pause 1
again store2
pause 2
kill -KILL "${PID[controller3]}"
wait "${PID[controller3]}" 2>/dev/null || true
pause 1
again controller3
rc=0; wait "$STANDIN" || rc=$?
STANDIN=
cat "$DIR/out"
[ $rc = 0 ] || tail -n 20 "$DIR"/*.log
exit $rc
