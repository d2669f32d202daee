#!/usr/bin/env bash
# Control: time until a change is in force, idle cost of a node, time without an owner, a restart
# far behind.
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
PORT=$((BASE + 300))

now_ms () {
	date +%s%3N
}

in_force () {
	"$BUILD/oleanderctl" -j get Service "$1" 2> /dev/null | tr -d ' \n' | grep -q '"in_force":true'
}

change () {
	echo "{\"kind\":\"Service\",\"name\":\"$1\",\"spec\":{\"mode\":\"query\",\"deadline_ms\":$2}}" > "$RUN/change.json"
	"$BUILD/oleanderctl" apply -f "$RUN/change.json" > /dev/null
}

# measure NAME LABEL: from the accepted change until it is in force everywhere.
measure () {
	change "$1" $((RANDOM % 1000 + 1))
	local start
	start=$(now_ms)
	until in_force "$1"; do :; done
	echo "$2: in force on every node that may work after $(($(now_ms) - start)) ms"
}

# owned FIRST LAST: targets that these nodes own.
owned () {
	local i
	for i in $(seq "$1" "$2"); do
		curl -s --noproxy '*' -H "Authorization: Bearer $KEY" "http://127.0.0.1:$((BASE + 100 + i))/v1/dump"
	done | grep -o '"mine":true' | wc -l
}

owns_some () {
	[ "$(owned "$1" "$1")" -gt 0 ]
}

# leader: the number of the node that leads.
leader () {
	local i
	for i in 1 2 3; do
		curl -s --noproxy '*' -H "Authorization: Bearer $KEY" "http://127.0.0.1:$((BASE + 100 + i))/v1/status" |
			grep -q '"role":"leader"' && echo "$i"
	done
}

start_targets a --port $PORT --targets 30 --service-us 1000
start_cluster 6 3 3
resources 10 3 3 3 1 0 $PORT > "$RUN/resources.json"
"$BUILD/oleanderctl" apply -f "$RUN/resources.json" > /dev/null
wait_for 20 members_are 6
wait_for 20 whole 1 10
for i in 1 2 3 4 5; do measure "s$i" "all nodes up"; done

cpu=$(metric 5 control_cpu_us_total) bytes=$(metric 5 control_sent_bytes_total)
sleep 10
echo "idle follower: $((($(metric 5 control_cpu_us_total) - cpu) / 10)) us of processor time a second," \
	"$((($(metric 5 control_sent_bytes_total) - bytes) / 10)) control bytes sent a second," \
	"$(awk '/VmRSS/ {print $2}' "/proc/${PIDS[n5]}/status") KB resident"
for i in 1 2 3; do
	cpu=$(metric $i control_cpu_us_total) bytes=$(metric $i control_sent_bytes_total)
	sleep 4
	echo "idle voter n$i: $((($(metric $i control_cpu_us_total) - cpu) / 4)) us a second," \
		"$((($(metric $i control_sent_bytes_total) - bytes) / 4)) bytes a second"
done

start=$(now_ms)
for i in $(seq 1 40); do change "burst" $i; done
echo "40 changes one after the other through the command line: $(($(now_ms) - start)) ms"

kill -STOP "${PIDS[n6]}"
measure cut1 "one node frozen"
kill -CONT "${PIDS[n6]}"
wait_for 20 node_ready 6
wait_for 20 owns_some 6

kill -KILL "${PIDS[n6]}"
start=$(now_ms)
until [ "$(owned 1 5)" -ge 30 ]; do sleep 0.05; done
echo "targets of a killed node have owners again after $(($(now_ms) - start)) ms"
for i in $(seq 1 300); do change behind $i; done
start=$(now_ms)
start_node 6
wait_for 20 node_ready 6
echo "a node 300 changes behind is ready $(($(now_ms) - start)) ms after its start"
kill -KILL "${PIDS[n$(leader)]}"
start=$(now_ms)
change failover 7
echo "a change right after the leader was killed is accepted after $(($(now_ms) - start)) ms"
