#!/usr/bin/env bash
# The first start of the whole system with one of three control nodes away, on loopback: the others
# accept the first manifest within the time of an order, and the late one joins. A failed check
# prints its description.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-24300}
. test/cluster.sh
trap stop_all EXIT
ACK_S=5

fail () {
	echo "first start: $*" >&2
	tail -n 8 "$RUN"/n*.log >&2
	exit 1
}

# settings N: writes the settings of control node N, as the deployment's template does.
settings () {
	local n=$1
	mkdir -p "$RUN/data$n"
	cat > "$RUN/n$n.ini" <<-END
		[node]
		name = n$n
		data_center = z$n
		caller_address =
		operator_address = 127.0.0.1:$((BASE + 100 + n))
		peer_address = 127.0.0.1:$((BASE + 200 + n))
		workers = 1
		[control]
		key = $KEY
		losses = 1
		peers = 127.0.0.1:$((BASE + 201)),127.0.0.1:$((BASE + 202)),127.0.0.1:$((BASE + 203))
		bootstrap = true
		orders_address = 127.0.0.1:$((BASE + n))
		data_dir = $RUN/data$n
	END
}

# is_accepted N: sends the first manifest to node N.
is_accepted () {
	[ "$(curl -s --noproxy '*' -m 1 -o /dev/null -w '%{http_code}' -d "$manifest" \
		"http://127.0.0.1:$((BASE + $1))/config/replace")" = 200 ]
}

has_manifest () {
	curl -s --noproxy '*' -m 1 "http://127.0.0.1:$((BASE + $1))/config/get" | grep -q '"version":5'
}

manifest='{"version":5,"routes":[{"name":"a","host":"site.example","path_prefix":"/a/","route_type":"idempotent",
"timeout_ms":900,"max_attempts":2,"service":"s"}],"services":[{"name":"s","max_connections":9}]}'
for away in 1 2 3; do
	rm -rf "$RUN"/data*
	present=()
	for n in 1 2 3; do
		settings $n
		[ $n = $away ] || present+=("$n")
	done
	for n in "${present[@]}"; do start_node "$n"; done
	began_ms=$(date +%s%3N)
	wait_for $ACK_S is_accepted "${present[0]}" || fail "without node $away, the first manifest was not accepted"
	took_ms=$(($(date +%s%3N) - began_ms))
	[ "$took_ms" -lt $((ACK_S * 1000)) ] || fail "without node $away, the first manifest took $took_ms ms"
	start_node $away
	wait_for $ACK_S has_manifest $away || fail "node $away did not join"
	# The late node counts: without another one, the manifest is still there.
	kill -KILL "${PIDS[n${present[0]}]}"
	wait_for $ACK_S is_accepted "${present[1]}" || fail "node $away does not count"
	has_manifest "${present[1]}" || fail "the manifest was lost with node ${present[0]}"
	stop_all
	PIDS=()
done
echo "first start: 3 starts passed"
