# Starts a small fleet on free ports; sets CONTROL, CONTROLLERS and DIR. Awaits conditions, never sleeps blindly.
set -eu
BIN=$1
DIR=$(mktemp -d)
"$BIN/local-cluster" --fleet small --dir "$DIR/fleet" --base 0 "${@:2}" >"$DIR/out" 2>"$DIR/err" &
CLUSTER=$!
trap 'kill $CLUSTER 2>/dev/null; wait $CLUSTER 2>/dev/null; rm -rf "$DIR"' EXIT
await() { # await SECONDS COMMAND...
  local n=$(($1 * 5)); shift
  until "$@" >/dev/null 2>&1; do
    n=$((n - 1)); [ $n -gt 0 ] || { echo "waited in vain for: $*"; tail -n 5 "$DIR"/err "$DIR"/fleet/*.log; exit 1; }
    kill -0 $CLUSTER 2>/dev/null || { echo "the local cluster ended"; cat "$DIR/out" "$DIR/err"; exit 1; }
    read -r -t 0.2 <> <(:) || true
  done
}
await 90 grep -q "fronts ready" "$DIR/out"
grep -q "2 of 2 fronts ready" "$DIR/out" || { cat "$DIR/out"; exit 1; }
CONTROL=$(sed 's/.*control //' "$DIR/out")
CONTROLLERS=$(sed 's/.*controllers \([^;]*\);.*/\1/' "$DIR/out")
harm() { curl -sf -X POST "http://$CONTROL/$1/$2" >/dev/null; }
say() { "$BIN/mosskeelctl" -m "$CONTROLLERS" "$@"; }
http_of() { curl -sf "http://$CONTROL/fleet" | tr '{' '\n' | grep "\"name\":\"$1\"" | sed 's/.*"http":"\([^"]*\)".*/\1/'; }
# expect STATUS PATTERN CURL-ARGS...: the status, and a pattern that the body must hold
expect() {
  local want=$1 pattern=$2 got; shift 2
  got=$(curl -s -o "$DIR/body" -w '%{http_code}' "$@")
  [ "$got" = "$want" ] && grep -q -- "$pattern" "$DIR/body" || { echo "expected $want with $pattern, got $got: $(cat "$DIR/body") for $*"; exit 1; }
}
