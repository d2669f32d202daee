#!/usr/bin/env bash
# Sub-requests per second, and the processor time that all nodes spend on each.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))

# cpu_ms NODES: processor time that nodes 1 to NODES have used.
cpu_ms () {
	local sum=0 i
	for i in $(seq 1 "$1"); do
		sum=$((sum + $(awk '{print $14 + $15}' "/proc/${PIDS[n$i]}/stat")))
	done
	echo $((sum * 1000 / $(getconf CLK_TCK)))
}

for fan_out in ${FAN_OUTS:-10 25 50 91}; do
	half=$(((fan_out + 1) / 2))
	start_targets a --port $PORT --targets $half --slots 64 --service-us 0
	start_targets b --port $((PORT + half)) --targets $((fan_out - half)) --slots 64 --service-us 0
	start_cluster 3 3 3
	print_resources "$fan_out" 1 3 64 64 0 $PORT > "$RUN/resources.json"
	"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
	wait_for 30 is_complete 1 "$fan_out"
	"$LOAD" -a "$(caller_addresses 1 3)" -t 4 -s 2 > /dev/null
	subs=$(sum_metric 3 target_started_total)
	cpu=$(cpu_ms 3)
	line=$("$LOAD" -a "$(caller_addresses 1 3)" -t 8 -s "${SECONDS_EACH:-4}")
	subs=$(($(sum_metric 3 target_started_total) - subs))
	cpu=$(($(cpu_ms 3) - cpu))
	echo "fan-out $fan_out: $((subs / ${SECONDS_EACH:-4})) sub-requests/s, $((cpu * 1000 / subs)) us of" \
		"processor time each, $((subs * 1000 / cpu)) per core and second; partial $(json_number partial <<< "$line")"
	stop_all
done
