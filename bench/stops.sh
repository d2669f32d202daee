#!/usr/bin/env bash
# Planned stops of an owner, of the leader and of a follower under load: nothing may be cut.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))
start_targets a --port $PORT --targets 30 --slots 3 --cold-limit 1 --service-us 20000
start_targets filing --port $((PORT + 30)) --targets 10 --slots 6 --service-us 20000
start_cluster 6 3 3
resources 10 3 3 3 1 10 $PORT > "$RUN/resources.json"
"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
wait_for 20 members_are 6
wait_for 20 whole 1 10
"$LOAD" -a "$(callers 1 6)" -t 8 -s 3 -r 20 > /dev/null
# The balancer's part: callers of a stopping node move on while it still serves.
"$LOAD" -a "$(callers 4 5)" -t 16 -s 16 -r 20 > "$RUN/others.json" &
others=$!
"$LOAD" -a "$(callers 4 5)" -t 8 -s 16 -r 20 --once -c filing > "$RUN/once.json" &
once=$!
for n in 6 1 2; do
	"$LOAD" -a "$(callers $n $n)" -t 4 -s 2 -r 10 > "$RUN/own$n.json" &
	own=$!
	sleep 1.8
	stop "n$n"
	echo "node $n: exit $?"
	wait $own
	echo "callers of node $n: $(cat "$RUN/own$n.json")"
	[ $n = 2 ] || start_node $n
	sleep 2
done
wait $others $once
echo "callers of other nodes: $(cat "$RUN/others.json")"
echo "once-only requests: $(cat "$RUN/once.json"), doubled $(sum_counter $((PORT + 30)) 10 doubled)"
