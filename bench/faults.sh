#!/usr/bin/env bash
# Answers under load while a data centre leaves and returns, a node is killed, connections go silent
# and targets start cold without warning. Runs first with the policy, then with a baseline: round
# robin, one fixed timeout, no hedging, no cold limit.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
SHARDS=${SHARDS:-25}
RATE=${RATE:-100}
PORT=$((BASE + 300))
TARGETS=$((SHARDS * 3))

# targets_of DATA-CENTRE-NUMBER: the ports of its targets.
targets_of () {
	seq $((PORT + $1 - 1)) 3 $((PORT + TARGETS - 1))
}

run_policy () {
	local name=$1 cold=$2 i once
	start_targets a --port $PORT --targets $TARGETS --slots 3 --cold-limit 1 --cold-ms 1500 \
		--service-us 3000 --straggle-per-mille 10 --straggle-ms 100 --connect-us 6000
	start_targets filing --port $((PORT + TARGETS)) --targets 10 --slots 6 --service-us 2000
	start_cluster 6 3 3
	print_resources "$SHARDS" 3 3 3 "$cold" 10 $PORT > "$RUN/resources.json"
	"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
	wait_for 20 has_members 6
	wait_for 30 is_complete 1 "$SHARDS"
	"$LOAD" -a "$(caller_addresses 1 5)" -t 8 -s 4 -r $((RATE / 2)) > /dev/null
	for i in $(seq $PORT $((PORT + TARGETS - 1))); do control_target "$i" '{"clear":true}'; done
	"$LOAD" -a "$(caller_addresses 1 5)" -t 48 -s 26 -r "$RATE" > "$RUN/load.json" &
	local load=$!
	"$LOAD" -a "$(caller_addresses 1 5)" -t 4 -s 26 -r 20 --once -c filing > "$RUN/once.json" &
	once=$!
	sleep 3
	"$BUILD/oleanderctl" leave DataCentre b > /dev/null
	for i in $(targets_of 2); do control_target "$i" '{"leaving":true}'; done
	sleep 6
	for i in $(targets_of 2); do control_target "$i" '{"leaving":false,"restart":true}'; done
	"$BUILD/oleanderctl" return DataCentre b > /dev/null
	sleep 5
	kill -KILL "${PIDS[n6]}"
	sleep 4
	control_target $PORT '{"silence":true}'
	control_target $((PORT + 4)) '{"silence":true}'
	sleep 2
	control_target $((PORT + 6)) '{"restart":true}'
	sleep 2
	control_target $((PORT + 9)) '{"cold":true}'
	wait $load $once
	local first extra
	first=$(sum_metric 5 subrequests_primary_total)
	extra=$(($(sum_metric 5 subrequests_hedge_total) + $(sum_metric 5 subrequests_retry_total)))
	echo "$name: $(cat "$RUN/load.json")"
	echo "$name once: $(cat "$RUN/once.json")"
	echo "$name targets: overloads $(sum_counter $PORT $TARGETS overloads)," \
		"cold overloads $(sum_counter $PORT $TARGETS cold_overloads)" \
		"(and before a reply reported the cold start: $(sum_counter $PORT $TARGETS unreported_cold_overloads))," \
		"requests to targets that had been leaving for over 3 s $(sum_counter $PORT $TARGETS after_leaving)," \
		"duplicate runs $(sum_counter $((PORT + TARGETS)) 10 duplicates)," \
		"extra load $(ratio "$extra" "$first") (hedges $(sum_metric 5 subrequests_hedge_total))"
	stop_all
}

CALLER_OPTIONS="hedge = 1"
run_policy policy 1
CALLER_OPTIONS=$'hedge = 0\nbaseline = 1\nsilence_ms = 1000'
run_policy baseline 3
