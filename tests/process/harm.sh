#!/bin/bash
# Starts a small fleet, kills, freezes and empties its processes under load, and proves that every promise holds; then
# takes the disk of one store and proves that it gets all of its histories back from the others.
# usage: harm.sh BIN [OPTION OF LOCAL-CLUSTER]...
# shellcheck source=tests/process/local_cluster.sh
. "$(dirname "$0")/local_cluster.sh"

# As `show fleet` says it of a store that keeps all partitions of the small fleet.
COMPLETE_STORE='store up.*keeps 64'
STORES=3

all_stores_complete() {
  [ "$(ctl show fleet | grep -c "$COMPLETE_STORE")" = "$STORES" ]
}

survive_random_harm() {
  "$BIN/loadgen" -m "$CONTROLLERS" -r 6 -t 20 --runs "$DIR/fleet" \
    --harm gateway,store,controller,agent,model --control "$CONTROL" --seed 3
}

survive_loss_of_a_store_disk() {
  control_process kill store1
  control_process wipe store1
  control_process start store1
  await 60 all_stores_complete
  "$BIN/loadgen" -m "$CONTROLLERS" -r 6 -t 4 --runs "$DIR/fleet"
}

survive_random_harm
survive_loss_of_a_store_disk
