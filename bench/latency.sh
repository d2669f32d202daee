#!/usr/bin/env bash
# Latency that the tier adds, compared with the same fan-out performed by the client itself.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))
for fan_out in ${FAN_OUTS:-1 10 25 50 91}; do
	half=$(((fan_out + 1) / 2))
	start_targets a --port $PORT --targets $half --slots 64 --service-us 0 --rows 2
	start_targets b --port $((PORT + half)) --targets $((fan_out - half)) --slots 64 --service-us 0 --rows 2
	start_cluster 3 3 3
	print_resources "$fan_out" 1 3 64 64 0 $PORT > "$RUN/resources.json"
	"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
	wait_for 30 is_complete 1 "$fan_out"
	"$LOAD" -a "$(caller_addresses 1 3)" -t 1 -s 2 > /dev/null
	for round in 1 2 3; do
		direct=$("$LOAD" -p $PORT -f "$fan_out" -d 1 -t 1 -s "${SECONDS_EACH:-3}")
		tier=$("$LOAD" -a "$(caller_addresses 1 3)" -t 1 -s "${SECONDS_EACH:-3}")
		direct_us=$(json_number p50 <<< "$direct") tier_us=$(json_number p50 <<< "$tier")
		echo "fan-out $fan_out: direct p50 $direct_us us, tier p50 $tier_us us, added $((tier_us - direct_us)) us, ratio $(ratio "$tier_us" "$direct_us"); p99 direct $(json_number p99 <<< "$direct") us, tier $(json_number p99 <<< "$tier") us; partial $(json_number partial <<< "$tier")"
	done
	stop_all
done
