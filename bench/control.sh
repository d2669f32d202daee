#!/usr/bin/env bash
# Control: time until a change is in force, cost of idle nodes, time that targets of a killed node
# have no owner, time until a node far behind is ready, time until a new leader accepts a change.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))

now_ms () {
	date +%s%3N
}

# is_in_force SERVICE
is_in_force () {
	"$BUILD/oleanderctl" -j get Service "$1" 2> /dev/null | tr -d ' \n' | grep -q '"in_force":true'
}

# apply_change SERVICE DEADLINE-MS
apply_change () {
	echo "{\"kind\":\"Service\",\"name\":\"$1\",\"spec\":{\"mode\":\"query\",\"deadline_ms\":$2}}" > "$RUN/change.json"
	"$BUILD/oleanderctl" apply -f "$RUN/change.json" > /dev/null
}

# measure_change SERVICE LABEL: time from the accepted change until it is in force on all nodes.
measure_change () {
	apply_change "$1" $((RANDOM % 1000 + 1))
	local start
	start=$(now_ms)
	until is_in_force "$1"; do :; done
	echo "$2: in force on all nodes with a lease after $(($(now_ms) - start)) ms"
}

# count_owned FIRST LAST: number of targets that these nodes own.
count_owned () {
	local i
	for i in $(seq "$1" "$2"); do
		curl -s --noproxy '*' -H "Authorization: Bearer $KEY" "http://127.0.0.1:$((BASE + 100 + i))/v1/dump"
	done | grep -o '"mine":true' | wc -l
}

owns_any () {
	[ "$(count_owned "$1" "$1")" -gt 0 ]
}

# leader_node: the number of the leader.
leader_node () {
	local i
	for i in 1 2 3; do
		curl -s --noproxy '*' -H "Authorization: Bearer $KEY" "http://127.0.0.1:$((BASE + 100 + i))/v1/status" |
			grep -q '"role":"leader"' && echo "$i"
	done
}

start_targets a --port $PORT --targets 30 --service-us 1000
start_cluster 6 3 3
print_resources 10 3 3 3 1 0 $PORT > "$RUN/resources.json"
"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
wait_for 20 has_members 6
wait_for 20 is_complete 1 10
for i in 1 2 3 4 5; do measure_change "s$i" "all nodes up"; done

cpu=$(metric 5 control_cpu_us_total) bytes=$(metric 5 control_sent_bytes_total)
sleep 10
echo "idle follower: $((($(metric 5 control_cpu_us_total) - cpu) / 10)) us of processor time per second," \
	"$((($(metric 5 control_sent_bytes_total) - bytes) / 10)) control bytes sent per second," \
	"$(awk '/VmRSS/ {print $2}' "/proc/${PIDS[n5]}/status") KB resident"
for i in 1 2 3; do
	cpu=$(metric $i control_cpu_us_total) bytes=$(metric $i control_sent_bytes_total)
	sleep 4
	echo "idle voter n$i: $((($(metric $i control_cpu_us_total) - cpu) / 4)) us per second," \
		"$((($(metric $i control_sent_bytes_total) - bytes) / 4)) bytes per second"
done

start=$(now_ms)
for i in $(seq 1 40); do apply_change "burst" $i; done
echo "40 changes in sequence through the command-line tool: $(($(now_ms) - start)) ms"

kill -STOP "${PIDS[n6]}"
measure_change frozen "one node frozen"
kill -CONT "${PIDS[n6]}"
wait_for 20 node_ready 6
wait_for 20 owns_any 6

kill -KILL "${PIDS[n6]}"
start=$(now_ms)
until [ "$(count_owned 1 5)" -ge 30 ]; do sleep 0.05; done
echo "targets of a killed node have owners again after $(($(now_ms) - start)) ms"
for i in $(seq 1 300); do apply_change behind $i; done
start=$(now_ms)
start_node 6
wait_for 20 node_ready 6
echo "a node 300 changes behind is ready $(($(now_ms) - start)) ms after its start"
kill -KILL "${PIDS[n$(leader_node)]}"
start=$(now_ms)
apply_change failover 7
echo "a change right after the leader was killed is accepted after $(($(now_ms) - start)) ms"
