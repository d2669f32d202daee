#!/usr/bin/env bash
# Latency that the tier adds to the same fan-out done by the client itself.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))
for fan_out in ${FAN_OUTS:-1 10 25 50 91}; do
	half=$(((fan_out + 1) / 2))
	start_targets a --port $PORT --targets $half --slots 64 --service-us 0 --rows 2
	start_targets b --port $((PORT + half)) --targets $((fan_out - half)) --slots 64 --service-us 0 --rows 2
	start_cluster 3 3 3
	resources "$fan_out" 1 3 64 64 0 $PORT > "$RUN/resources.json"
	"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
	wait_for 30 whole 1 "$fan_out"
	"$LOAD" -a "$(callers 1 3)" -t 1 -s 2 > /dev/null
	for round in 1 2 3; do
		direct=$("$LOAD" -p $PORT -f "$fan_out" -d 1 -t 1 -s "${SECONDS_EACH:-3}")
		tier=$("$LOAD" -a "$(callers 1 3)" -t 1 -s "${SECONDS_EACH:-3}")
		d=$(field p50 <<< "$direct") t=$(field p50 <<< "$tier")
		echo "fan-out $fan_out: direct p50 $d us, tier p50 $t us, added $((t - d)) us, ratio $(ratio "$t" "$d"); p99 $(field p99 <<< "$direct") and $(field p99 <<< "$tier") us; partial $(field partial <<< "$tier")"
	done
	stop_all
done
