# Shell functions that start control nodes, entry nodes and mock targets of declared routes on
# loopback. Source it after test/cluster.sh. Nodes from 4 on are entry nodes; target R of service S is at
# PORT + S * REPLICAS + R.
PORT=$((BASE + 300))
SERVICES=3
ENTRY_NODES=${ENTRY_NODES:-1} # with several, they send sub-requests for one another
REPLICAS=4

# route_settings N entry|control: writes the settings of node N.
route_settings () {
	local n=$1
	cat > "$RUN/n$n.ini" <<-END
		[node]
		name = n$n
		data_center = z$((n % 3))
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
		$([ "$ENTRY_NODES" -gt 1 ] && printf 'group_nodes = 1\nbatch_port_step = 500')
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

# start_route_cluster TARGET-ARGUMENTS...: starts the targets and the nodes. NODES is
# the build of the nodes.
start_route_cluster () {
	local n
	mkdir -p "$RUN"/data{1,2,3}
	start_targets targets --port $PORT --targets $((SERVICES * REPLICAS)) --replicas $REPLICAS "$@"
	for n in 1 2 3; do route_settings $n control; done
	for n in $(seq 4 $((3 + ENTRY_NODES))); do route_settings "$n" entry; done
	for n in $(seq 1 $((3 + ENTRY_NODES))); do BUILD=${NODES:-$BUILD} start_node "$n"; done
	wait_for 20 is_configured || return 1
	for n in $(seq 4 $((3 + ENTRY_NODES))); do wait_for 20 serves "$n" || return 1; done
}

# control_target PORT JSON: changes the behaviour of a mock target.
control_target () {
	curl -s --noproxy '*' -X POST -d "$2" "http://127.0.0.1:$1/control" > /dev/null
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

# counter TARGET NAME: a counter of a mock target.
counter () {
	curl -s --noproxy '*' "http://127.0.0.1:$((PORT + $1))/counters" | sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"
}

# worst COUNTER: its greatest value over the targets.
worst () {
	local i
	for i in $(seq 0 $((SERVICES * REPLICAS - 1))); do echo "$(counter "$i" "$1")"; done | sort -n | tail -n 1
}

FIRST_TURN='{"busy_ms":2000,"busy_every_ms":4000}'
SECOND_TURN='{"busy_ms":2000,"busy_every_ms":4000,"busy_offset_ms":2000}'
