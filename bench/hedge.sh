#!/usr/bin/env bash
# Tail latency with 1% stragglers, with and without hedging, and the load that hedging adds.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))
RATE=${RATE:-100}
SHARDS=${SHARDS:-25}

run () {
	local name=$1 first extra
	start_targets a --port $PORT --targets $((SHARDS * 3)) --slots 3 --cold-limit 1 \
		--cold-ms 1500 --service-us 3000 --straggle-per-mille 10 --straggle-ms 100 \
		--connect-us 6000
	start_cluster 6 3 3
	print_resources "$SHARDS" 3 3 3 1 0 $PORT > "$RUN/resources.json"
	"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
	wait_for 20 has_members 6
	wait_for 30 is_complete 1 "$SHARDS"
	"$LOAD" -a "$(caller_addresses 1 6)" -t 32 -s 3 -r "$RATE" > /dev/null
	first=$(sum_metric 6 subrequests_primary_total)
	extra=$(($(sum_metric 6 subrequests_hedge_total) + $(sum_metric 6 subrequests_retry_total)))
	echo "$name: $("$LOAD" -a "$(caller_addresses 1 6)" -t 32 -s "${SECONDS_EACH:-6}" -r "$RATE")"
	first=$(($(sum_metric 6 subrequests_primary_total) - first))
	extra=$(($(sum_metric 6 subrequests_hedge_total) + $(sum_metric 6 subrequests_retry_total) - extra))
	echo "$name: extra load $(ratio $extra $first), cold starts inferred $(sum_metric 6 target_cold_total)," \
		"silent $(sum_metric 6 target_silent_total), overloads $(sum_counter $PORT $((SHARDS * 3)) overloads)"
	stop_all
}

CALLER_OPTIONS="hedge = 1"
run hedging
CALLER_OPTIONS="hedge = 0"
run "no hedging"
