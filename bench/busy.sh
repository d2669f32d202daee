#!/usr/bin/env bash
# What callers of a declared route get while targets of each service are busy, and how many requests
# reach a target in a time for which it asked for none. The loads: none is busy; two of four are, in
# turns; each pair is, in turns; two ask for a short time again and again; all are busy at once. NODES
# gives another build for the nodes alone.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
. test/route_cluster.sh
SECONDS_EACH=${SECONDS_EACH:-12}
RATES=${RATES:-200 500}
DEADLINE_MS=${DEADLINE_MS:-1500}

# run LOAD: for each route and rate, prints what callers got with the targets as they are.
run () {
	local route rate line sent outcome
	for route in ${ROUTES:-one all}; do
		for rate in $RATES; do
			each_target '{"clear":true}'
			line=$("$LOAD" -a "127.0.0.1:$((BASE + 4))" -t 256 -s "$SECONDS_EACH" -r "$rate" -R "site.example/$route/x" -D "$DEADLINE_MS")
			sent=0
			for outcome in complete partial refused unknown failed; do
				sent=$((sent + $(json_number $outcome <<< "$line")))
			done
			echo "$1, $route, $rate/s: whole $(ratio "$(json_number complete <<< "$line")" $sent)," \
				"p50 $(json_number p50 <<< "$line"), p99 $(json_number p99 <<< "$line")," \
				"p999 $(json_number p999 <<< "$line") us; busy refusals" \
				"$(sum_counter $PORT $((SERVICES * REPLICAS)) busy), most arrivals in one time $(worst early)," \
				"sheds $(sum_counter $PORT $((SERVICES * REPLICAS)) sheds); $line"
		done
	done
}

start_route_cluster --slots 8 --service-us "${SERVICE_US:-10000}" --straggle-per-mille 10 --straggle-ms 100 ||
	exit 1
"$LOAD" -a "127.0.0.1:$((BASE + 4))" -t 8 -s 2 -r 100 -R site.example/all/x > "$RUN/x"
for load in ${LOADS:-sound two turns flood all}; do
	case $load in
	sound) each_target '{"busy_ms":0}' ;;
	turns) each_target "$FIRST_TURN" "$FIRST_TURN" "$SECOND_TURN" ;;
	two) each_target "$FIRST_TURN" "$SECOND_TURN" '{"busy_ms":0}' ;;
	flood) each_target '{"busy_ms":600000,"busy_value":"0.05"}' '{"busy_ms":600000,"busy_value":"0.05"}' \
		'{"busy_ms":0}' ;;
	all) each_target '{"busy_ms":1000,"busy_every_ms":4000}' ;;
	esac
	run "$load"
done
