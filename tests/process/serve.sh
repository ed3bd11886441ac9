#!/bin/bash
# A small fleet of real processes serves, refuses, restarts from disk and keeps its word.
. "$(dirname "$0")/common.sh"
"$BIN/loadgen" -m "$CONTROLLERS" -r 5 -t 4 --runs "$DIR/fleet"
say show fleet | grep -q '^yes'
say create cell lab budget 100 turn 10 retention 60000 | grep -q '^yes epoch'
rc=0; say create cell lab budget 100 turn 10 retention 60000 || rc=$?; [ $rc = 1 ]
rc=0; say drain zoo a || rc=$?; [ $rc = 1 ]
rc=0; "$BIN/mosskeelctl" || rc=$?; [ $rc = 2 ]
rc=0; "$BIN/controller" --listen nowhere --core-size 4 2>"$DIR/bad" || rc=$?; [ $rc = 2 ]
[ "$(grep -c event=103 "$DIR/bad")" -ge 5 ]
rc=0; say apply "$0" at 1 || rc=$?; [ $rc = 1 ]
# bad input: each its own answer, naming field and reason
F=$(http_of gateway1); M=$(http_of controller1); T=http://$F/v1/cells/news/programs/bad/turns
expect 400 '"place":"body"' -d '{' "$T"
expect 400 '"place":"input"' -d '{}' "$T"
expect 400 '"place":"max_tokens"' -d '{"input":"x","max_tokens":-1}' "$T"
expect 400 'X-Deadline-Ms' -H 'X-Deadline-Ms: soon' -d '{"input":"x"}' "$T"
expect 400 'X-Class' -H 'X-Class: first' -d '{"input":"x"}' "$T"
expect 404 "cell 'nowhere' is unknown" -d '{"input":"x"}' "http://$F/v1/cells/nowhere/programs/p/turns"
expect 404 "route 'q'" -d '{"input":"x","route":"q"}' "$T"
expect 404 'conversation is missing' "http://$F/v1/cells/news/programs/never-seen"
expect 404 'conversation is missing' -d '{"input":"x","after":2}' "$T"
expect 404 unknown_path "http://$F/v2"
expect 200 '"turn":1' -H 'Idempotency-Key: same' -d '{"input":"x"}' "$T"
expect 200 '"turn":1' -H 'Idempotency-Key: same' -d '{"input":"x"}' "$T"
expect 409 'another body' -H 'Idempotency-Key: same' -d '{"input":"y"}' "$T"
expect 409 'after: the thread has 1' -d '{"input":"z","after":3}' "$T"
head -c 1100000 /dev/zero | tr '\0' 'x' >"$DIR/long"
expect 413 too_long --data-binary @"$DIR/long" "$T"
expect 400 '"place":"cells"' -X PUT -d '{}' "http://$M/v1/cluster/configuration?revision=1"
expect 400 '"place":"revision"' -X PUT -d '{"cells":[]}' "http://$M/v1/cluster/configuration"
expect 409 'in force is' -X PUT -d '{"cells":[]}' "http://$M/v1/cluster/configuration?revision=77"
expect 400 '"place":"url"' -X PUT -d '{"kind":"model","zone":"a"}' "http://$M/v1/replicas/x"
expect 200 'position 6: expected' -d 'show flet' "http://$M/v1/say"
# a damaged daemon message is dropped and counted (the 8 bytes before it are nng's own greeting, the next 8 a length)
L=$(curl -sf "http://$CONTROL/fleet" | tr '{' '\n' | grep '"name":"controller1"' | sed 's/.*"listen":"\([^"]*\)".*/\1/')
foreign() { curl -sf "http://$M/metrics" | grep messages_foreign | sed 's/.* //'; }
BEFORE=$(foreign)
exec 9<>"/dev/tcp/${L%:*}/${L#*:}"
printf '\x00SP\x00\x00\x50\x00\x00\x00\x00\x00\x00\x00\x00\x00\x05hello' >&9
await 20 bash -c "[ \"\$(curl -sf http://$M/metrics | grep messages_foreign | sed 's/.* //')\" -gt $BEFORE ]"
exec 9>&-
# a change whose outcome cannot be known says so, and the same id gives it later
harm freeze controller2; harm freeze controller3
rc=0; say -i op7 set cell lab turn 9 >"$DIR/unknown" || rc=$?
[ $rc = 3 ] && grep -q '^unknown: retry with op7' "$DIR/unknown" || { echo "expected an unknown outcome, got $rc"; cat "$DIR/unknown"; exit 1; }
harm wake controller2; harm wake controller3
await 60 say -i op7 set cell lab turn 9
say show cell lab | grep -q '"turn_limit": 9'
# faults of a replica reach the caller as what they are
for f in cut lost unsealed overlong error skip repeat; do
  for r in model1 model2; do curl -sf -d "{\"fault\":\"$f\",\"left\":1}" "http://$(http_of $r)/control/fault" >/dev/null; done
  expect 502 '"ran":"unknown"' -H "Idempotency-Key: $f" -d '{"input":"x"}' "http://$F/v1/cells/news/programs/fault-$f/turns"
  expect 502 'kept outcome' -H "Idempotency-Key: $f" -d '{"input":"x"}' "http://$F/v1/cells/news/programs/fault-$f/turns"
  [ "$(cat "$DIR"/fleet/runs-model* | grep -c "/$f	")" = 1 ]
  for r in model1 model2; do curl -sf -d '{}' "http://$(http_of $r)/control/fault" >/dev/null; done
done
# the whole core dies and comes back from its disks
for m in controller1 controller2 controller3; do harm kill $m; done
for m in controller1 controller2 controller3; do harm start $m; done
await 60 say show cell lab
await 60 say set cell lab budget 200
say show cell lab | grep -q '"budget": 200'
"$BIN/loadgen" -m "$CONTROLLERS" -r 5 -t 3 --runs "$DIR/fleet"
# a front is stopped in order: nothing is lost
"$BIN/loadgen" -m "$CONTROLLERS" -r 8 -t 8 --runs "$DIR/fleet" >"$DIR/dial" &
LOAD=$!
await 10 test -s "$DIR/fleet/runs-model1"
harm stop gateway1
await 30 harm start gateway1
wait $LOAD || { cat "$DIR/dial"; exit 1; }
if grep -q "ran unknown" "$DIR/dial"; then cat "$DIR/dial"; echo "an answer was lost in a planned restart"; exit 1; fi
cat "$DIR/dial"
