#!/usr/bin/env bash
# Goodput at 1, 2 and 5 times the request rate that the targets can handle.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))
SHARDS=10
# Request rate that the targets can handle. Three replicas with 3 slots and 10 ms per request can
# handle 900 sub-requests/s per shard; the rate is two thirds of that, to allow for stragglers.
capacity_per_s=${BEARS:-600}

start_targets a --port $PORT --targets $((SHARDS * 3)) --slots 3 --cold-limit 1 --cold-ms 500 \
	--service-us 10000 --straggle-per-mille 5 --straggle-ms 100
HTTP_THREADS=1024
CALLER_OPTIONS="max_in_flight = ${IN_FLIGHT:-64}"
start_cluster 6 3 3
DEADLINE_MS=300 print_resources $SHARDS 3 3 3 1 0 $PORT > "$RUN/resources.json"
"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
wait_for 20 has_members 6
wait_for 20 is_complete 1 $SHARDS
"$LOAD" -a "$(caller_addresses 1 6)" -t 32 -s 4 -r $((capacity_per_s / 3)) > /dev/null
for times in 1 2 5; do
	line=$("$LOAD" -a "$(caller_addresses 1 6)" -t $((150 * times)) -s "${SECONDS_EACH:-6}" -r $((capacity_per_s * times)))
	echo "$times times: complete answers per second $(($(json_number complete <<< "$line") / ${SECONDS_EACH:-6})), $line"
	echo "  overloads at the targets $(sum_counter $PORT $((SHARDS * 3)) overloads), cold" \
		"$(sum_counter $PORT $((SHARDS * 3)) cold_overloads), refused at admission $(sum_metric 6 requests_refused_total)"
done
