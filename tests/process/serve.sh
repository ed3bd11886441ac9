#!/bin/bash
# A small fleet of real processes serves, refuses, restarts from disk and keeps its word.
. "$(dirname "$0")/common.sh"
"$BIN/dialer" -m "$MARKERS" -r 5 -t 4 --runs "$DIR/fleet"
say show fleet | grep -q '^yes'
say create cell lab budget 100 turn 10 retention 60000 | grep -q '^yes epoch'
rc=0; say create cell lab budget 100 turn 10 retention 60000 || rc=$?; [ $rc = 1 ]
rc=0; say drain zoo a || rc=$?; [ $rc = 1 ]
rc=0; "$BIN/attendant" || rc=$?; [ $rc = 2 ]
rc=0; "$BIN/marker" --listen nowhere --core-size 4 2>"$DIR/bad" || rc=$?; [ $rc = 2 ]
[ "$(grep -c event=103 "$DIR/bad")" -ge 5 ]
rc=0; say apply "$0" at 1 || rc=$?; [ $rc = 1 ]
# the whole core dies and comes back from its disks
for m in marker1 marker2 marker3; do harm kill $m; done
for m in marker1 marker2 marker3; do harm start $m; done
await 60 say show cell lab
await 60 say set cell lab budget 200
say show cell lab | grep -q '"budget": 200'
"$BIN/dialer" -m "$MARKERS" -r 5 -t 3 --runs "$DIR/fleet"
# a front is stopped in order: nothing is lost
"$BIN/dialer" -m "$MARKERS" -r 8 -t 8 --runs "$DIR/fleet" >"$DIR/dial" &
LOAD=$!
await 10 test -s "$DIR/fleet/runs-model1"
harm stop switchboard1
await 30 harm start switchboard1
wait $LOAD || { cat "$DIR/dial"; exit 1; }
if grep -q "ran unknown" "$DIR/dial"; then cat "$DIR/dial"; echo "an answer was lost in a planned restart"; exit 1; fi
cat "$DIR/dial"
