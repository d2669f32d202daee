#!/usr/bin/env bash
# End-to-end test of targets that crash and start again under their ids, against the mock of the users'
# platform, on loopback: three control nodes and two entry nodes. A failed check prints its description.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-27000}
. test/cluster.sh
trap stop_all EXIT
PLATFORM=$((BASE + 400))
RATE=10 # requests a second that a cold target can take, from all nodes
checks=0

fail () {
	echo "restarts: $*" >&2
	grep -hE 'TARGET_' "$RUN"/n[45].log | tail -n 24 >&2
	exit 1
}

# expect DESCRIPTION CONDITION...: evaluates a condition of test(1).
expect () {
	local text=$1
	shift
	[ "$@" ] || fail "$text: $*"
	checks=$((checks + 1))
}

# settings N entry|control: writes the settings of node N.
settings () {
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
	END
	if [ "$2" = entry ]; then
		cat >> "$RUN/n$n.ini" <<-END
			[front]
			address = 127.0.0.1:$((BASE + n))
			ready_address = 127.0.0.1:$((BASE + 50 + n))
			cold_factor = 1
			cold_slack = 0
		END
	else
		cat >> "$RUN/n$n.ini" <<-END
			bootstrap = true
			orders_address = 127.0.0.1:$((BASE + n))
			data_dir = $RUN/data$n
			[front]
		END
	fi
	printf 'list_address = 127.0.0.1:%d\nlist_rate = 50\nlist_lag_ms = 800\n' "$PLATFORM" >> "$RUN/n$n.ini"
}

call () {
	curl -s --noproxy '*' -m 10 "$@"
}

manifest () {
	cat <<-END
		{"version":1,"routes":[{"name":"one","host":"h","path_prefix":"/s0/","route_type":"idempotent",
		"timeout_ms":1500,"target_latency_ms":200,"priority":1,"max_attempts":2,"service":"s0"},
		{"name":"all","host":"h","path_prefix":"/all/","route_type":"idempotent","timeout_ms":1500,
		"target_latency_ms":200,"priority":1,"max_attempts":2,"top_k":3,"min_shard_ratio":0.5,
		"fanout":["s0","s1"]}],"services":[
		{"name":"s0","max_connections":48,"warmup_per_s":$RATE},{"name":"s1","max_connections":48}]}
	END
}

is_configured () {
	[ "$(call -o "$RUN/answer" -w '%{http_code}' -d "$(manifest)" \
		"http://127.0.0.1:$((BASE + 1))/config/replace")" = 200 ]
}

is_ready () {
	call -f "http://127.0.0.1:$((BASE + 50 + $1))/readiness"
}

# set_fault NAME ON TARGET...
set_fault () {
	local name=$1 on=$2 target
	shift 2
	for target in "$@"; do call -X POST "http://127.0.0.1:$PLATFORM/set/$name/$target/$on"; done
}

coldest () {
	call "http://127.0.0.1:$PLATFORM/coldest/$1"
}

# load NODE PATH COUNT: sends 100 requests a second on kept connections; prints the statuses.
load () {
	call -m 60 --rate 100/s -o "$RUN/body" -w '%{http_code}\n' -H 'Host: h' -H "Oleanderstile-Attempt-Id: load-$1" \
		-H 'Oleanderstile-Deadline-Ms: 1000' "http://127.0.0.1:$((BASE + $1))$2[1-$3]"
}

# served FILE...: how many requests were answered with 200.
served () {
	cat "$@" | grep -c '^200$'
}

mkdir -p "$RUN"/data{1,2,3}
"$BUILD/test/stand-in-platform" $PLATFORM 2 3 5 lag_ms=800 plain=1 2>> "$RUN/targets.log" &
PIDS[platform]=$!
for n in 1 2 3; do settings $n control; done
for n in 4 5; do settings $n entry; done
for n in 1 2 3 4 5; do start_node $n; done
wait_for 20 is_configured || fail "the manifest was not accepted"
for n in 4 5; do wait_for 20 is_ready $n || fail "entry node $n is not ready"; done

# under_load PATH COMMAND...: runs a command while both nodes get about 3 s of requests.
under_load () {
	local path=$1 n
	shift
	for n in 4 5; do
		load $n "$path" 300 > "$RUN/load$n.txt" &
		PIDS[load$n]=$!
	done
	sleep 0.5
	"$@"
	for n in 4 5; do
		wait "${PIDS[load$n]}"
		unset "PIDS[load$n]"
	done
}

# restart SECONDS TARGET...: ends targets and starts them again under their ids.
restart () {
	local seconds=$1
	shift
	set_fault down 1 "$@"
	sleep "$seconds"
	set_fault down 0 "$@"
}

under_load /s0/ true
expect "all requests are served while nothing happens" "$(served "$RUN"/load?.txt)" -eq 600

# Guards against restarted targets that get the usual rate while cold, until the list shows it.
for seconds in 0.05 0.7; do
	under_load /s0/ restart $seconds 0 1 2
	sleep 1.2
	for target in 0 1 2; do
		expect "a cold target's requests in a second, after $seconds s" "$(coldest $target)" -le $RATE
	done
	sleep 2.5
done

# Guards against the same for one target beside others that serve, and for the shards of a fan-out.
under_load /s0/ restart 0.05 1
expect "a cold target's requests in a second, beside sound ones" "$(coldest 1)" -le $RATE
expect "the others serve meanwhile" "$(served "$RUN"/load?.txt)" -ge 594
sleep 2.5
under_load /all/ restart 0.3 0 1 2
expect "a cold target's requests in a second, of a fan-out" "$(coldest 0)" -le $RATE
expect "a fan-out is served without a cold shard" "$(served "$RUN"/load?.txt)" -ge 594
sleep 2.5

# Guards against sound targets that stay at the cold rate after their connections have ended.
under_load /s0/ set_fault cut 1 0 1 2
expect "requests are served although all connections have ended" "$(served "$RUN"/load?.txt)" -ge 594
echo "restarts: $checks checks passed"
