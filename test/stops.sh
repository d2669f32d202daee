#!/usr/bin/env bash
# End-to-end test of the time that a planned stop of an entry node takes, on loopback: SIGTERM comes
# while large routings and target lists arrive one after the other, callers keep their connections
# open, and targets work longer than the stop lasts. A failed check prints its description.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-24500}
. test/cluster.sh
trap 'touch "$RUN/stopped"; stop_all' EXIT # also ends the series of routings
PLATFORM=$((BASE + 400))
ROUTES=${ROUTES:-2000}
PLAYS=${PLAYS:-all} # or the first one only: routings
STOP_MS=5000  # the default of front.stop_ms, which bounds the whole stop
GRACE_MS=6000 # the platform then kills the process
checks=0

fail () {
	echo "stops: $*" >&2
	grep -hE 'STOP|ENDED|PAUSED|UNANSWERED' "$RUN"/n*.log | tail -n 40 >&2
	exit 1
}

# expect DESCRIPTION ACTUAL PATTERN
expect () {
	grep -qE -- "$3" <<< "$2" || fail "$1: expected $3, got: $2"
	checks=$((checks + 1))
}

# expect_below DESCRIPTION MS LIMIT
expect_below () {
	[ "$2" -le "$3" ] || fail "$1: $2 ms, more than $3 ms"
	checks=$((checks + 1))
}

now_ms () {
	date +%s%3N
}

settings () {
	local n=$1
	cat > "$RUN/n$n.ini" <<-END
		[node]
		name = n$n
		data_center = z0
		caller_address =
		operator_address = 127.0.0.1:$((BASE + 100 + n))
		peer_address = 127.0.0.1:$((BASE + 200 + n))
		metrics_address = 127.0.0.1:$((BASE + 300 + n))
		workers = 1
		[control]
		key = $KEY
		peers = 127.0.0.1:$((BASE + 201))
		replace_ms = 2000
	END
	if [ "$2" = entry ]; then
		cat >> "$RUN/n$n.ini" <<-END
			[front]
			address = 127.0.0.1:$((BASE + n))
			ready_address = 127.0.0.1:$((BASE + 50 + n))
			list_address = 127.0.0.1:$PLATFORM
			list_rate = 50
			group_nodes = 1
			batch_port_step = 700
		END
	else
		cat >> "$RUN/n$n.ini" <<-END
			bootstrap = true
			orders_address = 127.0.0.1:$((BASE + n))
			data_dir = $RUN/data$n
			[front]
			list_address = 127.0.0.1:$PLATFORM
			list_rate = 50
		END
	fi
}

# manifest VERSION: a routing of ROUTES routes, one in ten of them over ten shards.
manifest () {
	awk -v version="$1" -v routes="$ROUTES" 'BEGIN {
		printf "{\"version\":%d,\"routes\":[", version
		printf "{\"name\":\"file\",\"host\":\"site.example\",\"path_prefix\":\"/file/\",\"route_type\":\"idempotent\",\"timeout_ms\":15000,\"target_latency_ms\":200,\"max_attempts\":2,\"service\":\"s0\"}"
		for (i = 0; i < routes; i++) {
			printf ",{\"name\":\"route-%d\",\"host\":\"site.example\",\"path_prefix\":\"/r%d/\",\"route_type\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":200,\"max_attempts\":2,", i, i
			if (i % 10) {
				printf "\"service\":\"t%d\"}", i
			} else {
				printf "\"top_k\":3,\"min_shard_ratio\":0.5,\"fanout\":[\"t%d\"", i
				for (j = 1; j < 10; j++)
					printf ",\"t%d\"", (i + j) % routes
				printf "]}"
			}
		}
		printf "],\"services\":[{\"name\":\"s0\",\"max_connections\":30}"
		for (i = 0; i < routes; i++)
			printf ",{\"name\":\"t%d\",\"max_connections\":30}", i
		printf "]}"
	}'
}

post_manifest () {
	manifest "$1" | curl -s --noproxy '*' -m 5 -o /dev/null -w '%{http_code}' --data-binary @- \
		"http://127.0.0.1:$((BASE + 1))/config/replace"
}

is_posted () {
	[ "$(post_manifest "$1")" = 200 ]
}

serves () {
	curl -sf --noproxy '*' -m 2 -H 'Host: site.example' -H "Oleanderstile-Attempt-Id: p$(now_ms)" \
		-H 'Oleanderstile-Deadline-Ms: 1000' "http://127.0.0.1:$((BASE + 2))/file/x"
}

set_fault () {
	curl -s --noproxy '*' -m 5 -X POST "http://127.0.0.1:$PLATFORM/set/$1/$2/$3"
}

# send_kept FD ID PATH: sends a request on a connection that its caller keeps open.
send_kept () {
	printf 'POST %s HTTP/1.1\r\nHost: site.example\r\nOleanderstile-Attempt-Id: %s\r\nOleanderstile-Deadline-Ms: 14000\r\nContent-Length: 1\r\n\r\nx' "$3" "$2" >&"$1"
}

# read_until_closed FD FILE: records what comes on a connection, and when it was closed.
read_until_closed () {
	timeout 12 cat <&"$1" | tr -d '\r' > "$RUN/$2"
	now_ms > "$RUN/$2.closed"
}

# post_series FIRST: sends one routing after the other until the file "stopped" exists.
post_series () {
	local version=$1
	while [ ! -e "$RUN/stopped" ]; do
		post_manifest $version > /dev/null
		version=$((version + 1))
	done
	echo $version > "$RUN/version"
}

# start_freezable N: starts node N; it stops the threads whose names are written to FREEZE.
start_freezable () {
	rm -f "$RUN/freeze"
	mkfifo "$RUN/freeze"
	"$BUILD/test/freeze" "$BUILD/oleanderstiled" -c "$RUN/n$1.ini" < "$RUN/freeze" >> "$RUN/n$1.log" 2>&1 &
	PIDS[n$1]=$!
	exec {FREEZE}> "$RUN/freeze"
}

start_entry () {
	start_freezable 2
	wait_for 20 serves || fail "the entry node does not serve"
}

# throttle: lets the entry node run for 25 ms in 100 ms until it has ended.
throttle () {
	local pid nap
	pid=$(grep -o '^runs process [0-9]*' "$RUN/n2.log" | tail -n 1 | grep -o '[0-9]*$')
	exec {nap}<> <(:)
	while kill -STOP "$pid" 2> /dev/null; do
		read -r -t 0.075 -u $nap
		kill -CONT "$pid" 2> /dev/null || break
		read -r -t 0.025 -u $nap
	done
}

readiness () {
	curl -s --noproxy '*' -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((BASE + 52))/readiness"
}

# kill_after SECONDS N: kills node N then, as the platform does at the end of the grace period.
kill_after () {
	sleep "$1"
	kill -KILL "${PIDS[n$2]}" 2> /dev/null
}

# play_stop NAME [THREAD [SIGNAL]]: stops the entry node while one routing follows the other, targets
# are stuck and callers keep their connections. THREAD is stopped before, SIGNAL comes before SIGTERM.
play_stop () {
	local name=$1 thread=${2:-} signal=${3:-} end_ms=${END_MS:-$STOP_MS} t busy idle series readers began took
	rm -f "$RUN/stopped"
	for t in 0 1 2; do set_fault stuck $t 1; done
	exec {busy}<> "/dev/tcp/127.0.0.1/$((BASE + 2))"
	exec {idle}<> "/dev/tcp/127.0.0.1/$((BASE + 2))"
	send_kept $busy "busy-$name" /file/x
	post_series $((version + 1)) &
	series=$!
	sleep 0.5
	[ -z "$thread" ] || echo "$thread" >&$FREEZE
	sleep 0.5
	[ -z "$signal" ] || { kill "-$signal" "${PIDS[n2]}"; sleep 0.2; }
	began=$(now_ms)
	kill -TERM "${PIDS[n2]}"
	read_until_closed $busy "busy-$name" &
	readers=($!)
	read_until_closed $idle "idle-$name" &
	readers+=($!)
	kill_after 12 2 &
	local killer=$!
	sleep 0.3
	expect "$name: the node is not ready" "$(readiness)" '^503'
	wait "${PIDS[n2]}" || fail "$name: the entry node exited with $?"
	took=$(($(now_ms) - began))
	kill $killer 2> /dev/null
	unset "PIDS[n2]"
	exec {FREEZE}>&-
	touch "$RUN/stopped"
	wait "${readers[@]}"
	wait $series
	version=$(cat "$RUN/version")
	exec {busy}>&- {idle}>&-
	for t in 0 1 2; do set_fault stuck $t 0; done
	local busy_ms=$(($(cat "$RUN/busy-$name.closed") - began)) idle_ms=$(($(cat "$RUN/idle-$name.closed") - began))
	echo "$name: process ended after $took ms, connections after $busy_ms and $idle_ms ms"
	[ -z "$thread" ] || expect "$name: the thread is stopped" "$(tail -n 200 "$RUN/n2.log")" "^froze 1 threads $thread"
	expect "$name: a request that ran until the end gets a last answer" "$(cat "$RUN/busy-$name")" '^HTTP/1.1 504'
	expect_below "$name: the connection of the running request is closed" $busy_ms $STOP_MS
	expect_below "$name: an idle connection is closed" $idle_ms $STOP_MS
	expect_below "$name: the process ends" $took $end_ms
	expect "$name: no connection ends without an answer" "$(grep -c CONNECTION_UNANSWERED "$RUN/n2.log")" '^0$'
}

mkdir -p "$RUN/data1"
"$BUILD/test/stand-in-platform" $PLATFORM 1 3 5 2>> "$RUN/targets.log" &
PIDS[platform]=$!
settings 1 control
settings 2 entry
start_node 1
version=1
wait_for 20 is_posted $version || fail "the routing was not accepted"

# Guards against a stop that exceeds its duration, so that the platform kills the node while callers wait.
start_entry
play_stop routings
if [ "$PLAYS" = routings ]; then
	echo "stops: $checks checks passed"
	exit 0
fi
# The same with a quarter of a processor. The process may be suspended when it is about to exit; all
# callers have their answers by then.
start_entry
throttle &
END_MS=$GRACE_MS play_stop quarter
# Guards against a stop that waits for a thread which does not answer.
for thread in control peer worker; do
	start_entry
	play_stop "frozen-$thread" $thread
done
# Guards against SIGTERM that is not seen because reloading the settings waits for the control thread.
start_entry
play_stop frozen-reload control HUP
# The same because a dump waits for the control thread.
start_entry
play_stop frozen-dump control USR1

# play_control_stop NAME [THREAD]: stops the control node while an operator waits for an order.
play_control_stop () {
	local name=$1 thread=${2:-} began took killer order
	[ -z "$thread" ] || { echo "$thread" >&$FREEZE; sleep 0.3; }
	post_manifest $((version + 1)) > "$RUN/order" &
	order=$!
	sleep 0.05
	began=$(now_ms)
	kill -TERM "${PIDS[n1]}"
	kill_after 12 1 &
	killer=$!
	wait "${PIDS[n1]}" || fail "$name: the control node exited with $?"
	took=$(($(now_ms) - began))
	kill $killer 2> /dev/null
	unset "PIDS[n1]"
	exec {FREEZE}>&-
	wait $order
	version=$((version + 1))
	echo "$name: process ended after $took ms, order: $(cat "$RUN/order")"
	expect_below "$name: the process ends" $took $STOP_MS
}

# Guards against a stop of a control node that waits for an order which no majority confirms.
stop n1
start_freezable 1
version=$((version + 1))
wait_for 20 is_posted $version || fail "the control node takes no orders after its restart"
play_control_stop order
expect "an order in progress is answered" "$(cat "$RUN/order")" '^200'
start_freezable 1
version=$((version + 1))
wait_for 20 is_posted $version || fail "the control node takes no orders after its restart"
play_control_stop order-frozen-control control
echo "stops: $checks checks passed"
