#!/bin/bash
# Real processes are killed, frozen and emptied under load; every promise holds.
. "$(dirname "$0")/common.sh"
"$BIN/loadgen" -m "$CONTROLLERS" -r 6 -t 20 --runs "$DIR/fleet" --harm gateway,store,controller,agent,model --control "$CONTROL" --seed 3
# the busiest store loses its disk and comes back empty
harm kill store1
harm wipe store1
harm start store1
await 60 bash -c "$BIN/mosskeelctl -m $CONTROLLERS show fleet | grep -q 'store up.*keeps 64' && [ \$($BIN/mosskeelctl -m $CONTROLLERS show fleet | grep -c 'store up.*keeps 64') = 3 ]"
"$BIN/loadgen" -m "$CONTROLLERS" -r 6 -t 4 --runs "$DIR/fleet"
