#!/usr/bin/env bash
# What callers of a declared route get while targets of each service are busy, and how many requests
# reach a target in a time for which it asked for none. The loads: none is busy; two of four are, in
# turns; each pair is, in turns; two ask for a short time again and again; all are busy at once. NODES
# gives another build for the nodes alone.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))
SERVICES=3
REPLICAS=4
SECONDS_EACH=${SECONDS_EACH:-12}
RATES=${RATES:-200 500}
DEADLINE_MS=${DEADLINE_MS:-1500}
NODES=${NODES:-$BUILD}

# settings N entry|control: writes the settings of node N.
settings () {
	local n=$1
	cat > "$RUN/n$n.ini" <<-END
		[node]
		name = n$n
		data_center = z$((n % REPLICAS))
		caller_address =
		operator_address = 127.0.0.1:$((BASE + 100 + n))
		peer_address = 127.0.0.1:$((BASE + 200 + n))
		workers = 1
		[control]
		key = $KEY
		peers = 127.0.0.1:$((BASE + 201)),127.0.0.1:$((BASE + 202)),127.0.0.1:$((BASE + 203))
		$([ "$2" = control ] && printf 'bootstrap = true\norders_address = 127.0.0.1:%s\ndata_dir = %s' $((BASE + n)) "$RUN/data$n")
		[front]
		$([ "$2" = entry ] && printf 'address = 127.0.0.1:%s\nready_address = 127.0.0.1:%s' $((BASE + n)) $((BASE + 50 + n)))
		list_address = 127.0.0.1:$PORT
		list_rate = 50
		drain_ms = 3000
		extra_ratio = 0.2
		extra_slack = 20
	END
}

print_routing () {
	cat <<-END
		{"version":1,"routes":[{"name":"all","host":"site.example","path_prefix":"/all/",
		"route_type":"idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":1,
		"max_attempts":2,"top_k":3,"min_shard_ratio":0.66,"fanout":["s0","s1","s2"]},
		{"name":"one","host":"site.example","path_prefix":"/one/","route_type":"idempotent",
		"timeout_ms":1500,"target_latency_ms":200,"priority":0,"max_attempts":2,"service":"s0"}],
		"services":[{"name":"s0","max_connections":16},{"name":"s1","max_connections":16},
		{"name":"s2","max_connections":16}]}
	END
}

is_configured () {
	[ "$(curl -s --noproxy '*' -o "$RUN/answer" -w '%{http_code}' -d "$(print_routing)" \
		"http://127.0.0.1:$((BASE + 1))/config/replace")" = 200 ]
}

serves () {
	curl -sf --noproxy '*' "http://127.0.0.1:$((BASE + 50 + $1))/readiness"
}

# each_target JSON [JSON]...: changes targets 0, 1, ... of each service; the last one is for the others.
each_target () {
	local i at
	for i in $(seq 0 $((SERVICES * REPLICAS - 1))); do
		at=$((i % REPLICAS + 1))
		[ $at -gt $# ] && at=$#
		control_target $((PORT + i)) "${!at}"
	done
}

# worst COUNTER: its greatest value over the targets.
worst () {
	local i
	for i in $(seq 0 $((SERVICES * REPLICAS - 1))); do
		curl -s --noproxy '*' "http://127.0.0.1:$((PORT + i))/counters" | json_number "$1"
		echo
	done | sort -n | tail -n 1
}

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

mkdir -p "$RUN"/data{1,2,3}
start_targets targets --port $PORT --targets $((SERVICES * REPLICAS)) --replicas $REPLICAS --slots 8 \
	--service-us "${SERVICE_US:-10000}" --straggle-per-mille 10 --straggle-ms 100
for n in 1 2 3; do settings $n control; done
settings 4 entry
for n in 1 2 3 4; do BUILD=$NODES start_node $n; done
wait_for 20 is_configured || exit 1
wait_for 20 serves 4 || exit 1
"$LOAD" -a "127.0.0.1:$((BASE + 4))" -t 8 -s 2 -r 100 -R site.example/all/x > "$RUN/x"
first_turn='{"busy_ms":2000,"busy_every_ms":4000}'
second_turn='{"busy_ms":2000,"busy_every_ms":4000,"busy_offset_ms":2000}'
for load in ${LOADS:-sound two turns flood all}; do
	case $load in
	sound) each_target '{"busy_ms":0}' ;;
	turns) each_target "$first_turn" "$first_turn" "$second_turn" ;;
	two) each_target "$first_turn" "$second_turn" '{"busy_ms":0}' ;;
	flood) each_target '{"busy_ms":600000,"busy_value":"0.05"}' '{"busy_ms":600000,"busy_value":"0.05"}' \
		'{"busy_ms":0}' ;;
	all) each_target '{"busy_ms":1000,"busy_every_ms":4000}' ;;
	esac
	run "$load"
done
