#!/usr/bin/env bash
# Goodput when callers ask for 1, 2 and 5 times what the targets bear.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))
SHARDS=10
# Three replicas of 3 slots at 10 ms bear 900 sub-requests/s a shard; two thirds are left to tails.
BEARS=${BEARS:-600}

start_targets a --port $PORT --targets $((SHARDS * 3)) --slots 3 --cold-limit 1 --cold-ms 500 \
	--service-us 10000 --straggle-per-mille 5 --straggle-ms 100
HTTP_THREADS=1024
CALLER_OPTIONS="max_in_flight = ${IN_FLIGHT:-64}"
start_cluster 6 3 3
DEADLINE_MS=300 resources $SHARDS 3 3 3 1 0 $PORT > "$RUN/resources.json"
"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
wait_for 20 members_are 6
wait_for 20 whole 1 $SHARDS
"$LOAD" -a "$(callers 1 6)" -t 32 -s 4 -r $((BEARS / 3)) > /dev/null
for times in 1 2 5; do
	line=$("$LOAD" -a "$(callers 1 6)" -t $((150 * times)) -s "${SECONDS_EACH:-6}" -r $((BEARS * times)))
	echo "$times times: whole answers a second $(($(field complete <<< "$line") / ${SECONDS_EACH:-6})), $line"
	echo "  overloads at the targets $(sum_counter $PORT $((SHARDS * 3)) overloads), cold" \
		"$(sum_counter $PORT $((SHARDS * 3)) cold_overloads), refused at admission $(sum_metric 6 requests_refused_total)"
done
