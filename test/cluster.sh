# Shell functions that start nodes and mock targets on loopback, for demo.sh, platform.sh and the
# scripts of bench/. Processes are recorded in PIDS and stopped by their process id.

BUILD=${BUILD:-build}
RUN=${RUN:-$(mktemp -d)}
BASE=${BASE:-21000} # node n: callers at BASE+n, operators at BASE+100+n, peers at BASE+200+n
KEY=loopback-only-shared-key
CALLER_OPTIONS=${CALLER_OPTIONS:-}
declare -A PIDS=()

export OLEANDERSTILE_KEY=$KEY

# write_settings N DATA-CENTRE VOTERS: writes the settings of node N; nodes 1 to VOTERS have a disk.
write_settings () {
	local n=$1 dc=$2 voters=$3 peers= i
	for i in $(seq 1 "$voters"); do
		peers+="127.0.0.1:$((BASE + 200 + i)),"
	done
	cat > "$RUN/n$n.ini" <<-END
		[node]
		name = n$n
		data_center = $dc
		caller_address = 127.0.0.1:$((BASE + n))
		operator_address = 127.0.0.1:$((BASE + 100 + n))
		peer_address = 127.0.0.1:$((BASE + 200 + n))
		stop_wait_ms = 300
		workers = ${WORKERS:-2}
		http_threads = ${HTTP_THREADS:-64}
		[control]
		key = $KEY
		voters = $voters
		peers = ${peers%,}
		$([ "$n" -le "$voters" ] && echo "data_dir = $RUN/data$n")
		[query]
		$CALLER_OPTIONS
	END
}

# start_node N [ARGUMENTS]
start_node () {
	local n=$1
	shift
	"$BUILD/oleanderstiled" -c "$RUN/n$n.ini" "$@" >> "$RUN/n$n.log" 2>&1 &
	PIDS[n$n]=$!
}

# start_targets NAME ARGUMENTS: starts a process of mock targets.
start_targets () {
	local name=$1
	shift
	"$BUILD/test/stand-in-target" "$@" 2>> "$RUN/$name.log" &
	PIDS[$name]=$!
}

# operator_addresses COUNT: the operator addresses of nodes 1 to COUNT.
operator_addresses () {
	local list= i
	for i in $(seq 1 "$1"); do
		list+="127.0.0.1:$((BASE + 100 + i)),"
	done
	echo "${list%,}"
}

# wait_for SECONDS COMMAND...: waits until the command succeeds; fails after SECONDS.
wait_for () {
	local tries=$(($1 * 10))
	shift
	while ! "$@" > /dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || { echo "timed out waiting for: $*" >&2; return 1; }
		sleep 0.1
	done
}

node_ready () {
	curl -sf --noproxy '*' "http://127.0.0.1:$((BASE + $1))/ready"
}

# has_members COUNT: true when the cluster has at least COUNT members.
has_members () {
	[ "$("$BUILD/oleanderctl" -j status | grep -c '"address"')" -ge "$1" ]
}

# start_cluster NODES VOTERS DATA-CENTRES: starts nodes in the data centres a, b, c and so on in turn.
start_cluster () {
	local nodes=$1 voters=$2 dcs=$3 i
	rm -rf "$RUN"/data*
	export OLEANDERSTILE_NODES
	OLEANDERSTILE_NODES=$(operator_addresses "$nodes")
	for i in $(seq 1 "$nodes"); do
		write_settings "$i" "$(dc_of "$i" "$dcs")" "$voters"
	done
	start_node 1 --bootstrap
	wait_for 20 node_ready 1
	for i in $(seq 2 "$nodes"); do
		start_node "$i"
	done
	for i in $(seq 2 "$nodes"); do
		wait_for 20 node_ready "$i"
	done
}

# dc_of N DATA-CENTRES: the data centre of the Nth node, replica or target.
dc_of () {
	local names=abcdefgh
	echo "${names:$((($1 - 1) % $2)):1}"
}

# stop NAME: sends SIGTERM for a planned stop; returns the exit status of the process.
stop () {
	local pid=${PIDS[$1]}
	unset "PIDS[$1]"
	kill -TERM "$pid"
	wait "$pid"
}

# stop_all: kills all processes without a planned stop.
stop_all () {
	local name
	for name in "${!PIDS[@]}"; do
		kill -KILL "${PIDS[$name]}" 2> /dev/null
		wait "${PIDS[$name]}" 2> /dev/null
	done
	PIDS=()
}

# query NODE COLLECTION [CURL ARGUMENTS]: prints the answer.
query () {
	local node=$1 collection=$2
	shift 2
	curl -s --noproxy '*' -X POST -d '{"status":"accredited"}' "$@" \
		"http://127.0.0.1:$((BASE + node))/v1/collections/$collection/query"
}

# print_resources SHARDS REPLICAS DATA-CENTRES SLOTS COLD-LIMIT ONCE-TARGETS FIRST-PORT: prints
# resource documents as a JSON array.
print_resources () {
	local shards=$1 replicas=$2 dcs=$3 slots=$4 cold=$5 once=$6 port=$7 s r list= dc
	echo '['
	for s in $(seq 1 "$dcs"); do
		dc=$(dc_of "$s" "$dcs")
		echo "{\"kind\":\"DataCentre\",\"name\":\"$dc\",\"spec\":{\"region\":\"r\"}},"
	done
	for s in $(seq 1 "$shards"); do
		list+="\"desk$s\","
		echo "{\"kind\":\"Service\",\"name\":\"desk$s\",\"spec\":{\"mode\":\"query\"}},"
		for r in $(seq 1 "$replicas"); do
			echo "{\"kind\":\"Target\",\"name\":\"desk$s-$r\",\"spec\":{\"service\":\"desk$s\",\"address\":\"127.0.0.1:$port\",\"data_centre\":\"$(dc_of "$r" "$dcs")\",\"slots\":$slots,\"cold_limit\":$cold}},"
			port=$((port + 1))
		done
	done
	for s in $(seq 1 "$once"); do
		echo "{\"kind\":\"Target\",\"name\":\"filing-$s\",\"spec\":{\"service\":\"filing\",\"address\":\"127.0.0.1:$port\",\"data_centre\":\"$(dc_of "$s" "$dcs")\",\"slots\":6,\"cold_limit\":2}},"
		port=$((port + 1))
	done
	echo '{"kind":"Service","name":"filing","spec":{"mode":"once"}},'
	echo "{\"kind\":\"Collection\",\"name\":\"register\",\"spec\":{\"layouts\":[{\"id\":1,\"shards\":[${list%,}]}],\"deadline_ms\":${DEADLINE_MS:-1000}}}"
	echo ']'
}
