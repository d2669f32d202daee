#!/usr/bin/env bash
# Planned stops of an owner of targets, the leader and a follower under load: nothing may be cut off.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))
start_targets a --port $PORT --targets 30 --slots 3 --cold-limit 1 --service-us 20000
start_targets filing --port $((PORT + 30)) --targets 10 --slots 6 --service-us 20000
start_cluster 6 3 3
print_resources 10 3 3 3 1 10 $PORT > "$RUN/resources.json"
"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
wait_for 20 has_members 6
wait_for 20 is_complete 1 10
"$LOAD" -a "$(caller_addresses 1 6)" -t 8 -s 3 -r 20 > /dev/null
# Callers of a stopping node stop sending 0.2 s after its stop begins, while it still serves. In
# production a load balancer moves them to other nodes.
"$LOAD" -a "$(caller_addresses 4 5)" -t 16 -s 16 -r 20 > "$RUN/others.json" &
others=$!
"$LOAD" -a "$(caller_addresses 4 5)" -t 8 -s 16 -r 20 --once -c filing > "$RUN/once.json" &
once=$!
for n in 6 1 2; do
	"$LOAD" -a "$(caller_addresses $n $n)" -t 4 -s 2 -r 10 > "$RUN/own$n.json" &
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
echo "at-most-once requests: $(cat "$RUN/once.json"), duplicates $(sum_counter $((PORT + 30)) 10 duplicates)"
