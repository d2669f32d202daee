#!/usr/bin/env bash
# End-to-end test of the memory of nodes, on loopback: three control nodes and two entry nodes, each held
# to the memory of the smallest VMs, with targets, a target list and callers that send without end. A
# failed check prints its description.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-31000}
. test/cluster.sh
trap stop_all EXIT
PLATFORM=$((BASE + 400))
SHARDS=300
ALL=99 # shards of the route "all"; "most" has every shard but the last one
VM_KB=112000 # of the smallest VMs
CONNECTIONS=3000
OPEN=$((CONNECTIONS - 100))
checks=0

fail () {
	for n in 1 2 3 4 5; do tail -n 3 "$RUN/n$n.log"; done >&2
	echo "memory: $*" >&2
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
			group_nodes = 1
			batch_port_step = 900
			connections = $CONNECTIONS
		END
	else
		cat >> "$RUN/n$n.ini" <<-END
			bootstrap = true
			orders_address = 127.0.0.1:$((BASE + n))
			data_dir = $RUN/data$n
			[front]
		END
	fi
	printf 'list_address = 127.0.0.1:%d\nlist_rate = 50\n' "$PLATFORM" >> "$RUN/n$n.ini"
}

call () {
	curl -s --noproxy '*' -m 10 "$@"
}

manifest () {
	local i names='' services='' last=$((SHARDS - 1)) all
	for i in $(seq 0 $last); do
		services+=",{\"name\":\"s$i\",\"max_connections\":48}"
		[ "$i" = "$last" ] || names+=",\"s$i\""
		[ "$i" = $((ALL - 1)) ] && all=$names
	done
	cat <<-END
		{"version":1,"routes":[{"name":"all","host":"site.example","path_prefix":"/all/",
		"route_type":"idempotent","timeout_ms":1500,"target_latency_ms":1000,"priority":1,
		"max_attempts":2,"top_k":3,"min_shard_ratio":0.75,"fanout":[${all#,}]},
		{"name":"most","host":"site.example","path_prefix":"/most/","route_type":"idempotent",
		"timeout_ms":1500,"target_latency_ms":1000,"priority":1,
		"max_attempts":2,"top_k":3,"min_shard_ratio":0.75,"fanout":[${names#,}]},
		{"name":"some","host":"site.example","path_prefix":"/some/","route_type":"idempotent",
		"timeout_ms":1500,"target_latency_ms":1000,"priority":1,"max_attempts":2,"service":"s0"},
		{"name":"one","host":"site.example","path_prefix":"/one/","route_type":"idempotent",
		"timeout_ms":1500,"target_latency_ms":1000,"priority":1,"max_attempts":2,"service":"s$last"}],
		"services":[${services#,}]}
	END
}

configure () {
	manifest > "$RUN/manifest"
	[ "$(call -o "$RUN/answer" -w '%{http_code}' -d @"$RUN/manifest" \
		"http://127.0.0.1:$((BASE + 1))/config/replace")" = 200 ]
}

is_ready () {
	call -f "http://127.0.0.1:$((BASE + 50 + $1))/readiness"
}

# load NODE PATH COUNT RATE: sends RATE requests a second; prints the statuses.
load () {
	call -m 60 --parallel --parallel-max 64 --rate "$4/s" -o "$RUN/body" -w '%{http_code}\n' -H 'Host: site.example' \
		-H "Oleanderstile-Attempt-Id: load-$1" -H 'Oleanderstile-Deadline-Ms: 1500' \
		"http://127.0.0.1:$((BASE + $1))$2[1-$3]" 2> /dev/null
}

is_served () {
	[ "$(load "$1" "$2" 1 10)" = 200 ]
}

flood () {
	call "http://127.0.0.1:$PLATFORM$1"
}

peak_kb () {
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB$/\1/p' "/proc/${PIDS[n$1]}/status"
}

# check_memory DESCRIPTION: all nodes run and none exceeded the memory of a VM since the last check.
check_memory () {
	local n peaks=''
	for n in 1 2 3 4 5; do
		kill -0 "${PIDS[n$n]}" 2> /dev/null || fail "$1: node $n has ended"
		peaks+=" $(peak_kb $n)"
		expect "$1: peak of node $n" "$(peak_kb $n)" -lt $VM_KB
		echo 5 > "/proc/${PIDS[n$n]}/clear_refs"
	done
	echo "$1: peaks of the nodes in kB:$peaks"
}

# under_load SECONDS COMMAND...: runs a command, then sends requests to the targets of all routes, and
# checks that those that the sound target serves are answered.
under_load () {
	local seconds=$1 n
	shift
	"$@"
	for n in 4 5; do
		load $n /all/ $((seconds * 20)) 20 > "$RUN/all$n.txt" &
		PIDS[all$n]=$!
		load $n /some/ $((seconds * 20)) 20 > "$RUN/some$n.txt" &
		PIDS[some$n]=$!
		load $n /one/ $((seconds * 20)) 20 > "$RUN/one$n.txt" &
		PIDS[one$n]=$!
	done
	for n in all4 all5 some4 some5 one4 one5; do
		wait "${PIDS[$n]}"
		unset "PIDS[$n]"
	done
	for n in 4 5; do
		expect "$*: requests of the sound target that node $n serves" \
			"$(grep -c '^200$' "$RUN/one$n.txt")" -eq $((seconds * 20))
	done
}

# hold_callers COUNT KIND...: opens so many connections of each kind to node 4.
hold_callers () {
	local count=$1 kind
	shift
	for kind in "$@"; do
		"$BUILD/test/stand-in-flood" callers $((BASE + 4)) "$count" "$kind" > "$RUN/callers-$kind" &
		PIDS[callers-$kind]=$!
	done
	for kind in "$@"; do
		wait_for 20 grep -q open "$RUN/callers-$kind" || fail "the connections were not opened"
		echo "$kind: $(cat "$RUN/callers-$kind") of $count"
	done
}

release_callers () {
	local kind
	for kind in "$@"; do
		kill -KILL "${PIDS[callers-$kind]}"
		wait "${PIDS[callers-$kind]}" 2> /dev/null
		unset "PIDS[callers-$kind]"
	done
}

mkdir -p "$RUN"/data{1,2,3}
"$BUILD/test/stand-in-flood" targets $PLATFORM $SHARDS 2>> "$RUN/targets.log" &
PIDS[flood]=$!
# Small stacks, since the limit counts those of threads whole.
ulimit -s 1024
ulimit -d $VM_KB
for n in 1 2 3; do settings $n control; done
for n in 4 5; do settings $n entry; done
for n in 1 2 3 4 5; do start_node $n; done
wait_for 20 configure || fail "the manifest was not accepted"
for n in 4 5; do
	wait_for 20 is_ready $n || fail "entry node $n is not ready"
	wait_for 5 is_served $n /all/ || fail "the first request is not served"
done
under_load 2 true
expect "all requests are served while nothing happens" "$(cat "$RUN"/{all,some}?.txt | grep -c '^200$')" -eq 160
check_memory "sound targets"

# The usual number of connections, before anything else takes memory.
under_load 2 hold_callers $OPEN idle
expect "idle connections that are open" "$(cut -d' ' -f2 "$RUN/callers-idle")" -eq $OPEN
release_callers idle
check_memory "idle callers"

# Guards against answers without end, in a head or a body, that take all memory of a node.
for kind in header-lines header-line header-name interim interim-lines text length chunks extension trailers \
	until-close stamps errors; do
	before=$(flood /sent)
	under_load 2 flood /answers/$kind/0
	expect "$kind: bytes that were sent" $(($(flood /sent) - before)) -gt 2000000
	check_memory "answers, $kind"
done
under_load 5 flood /answers/mixed/20000
check_memory "slow answers"

# Guards against large answers of fan-outs whose callers read slowly, with copies that no limit counts.
flood /answers/stamps/0
for count in 16 64; do
	under_load 2 hold_callers $count wide
	release_callers wide
	check_memory "answers with $((SHARDS - 1)) stamps to $count callers"
done
flood /answers/sound/0

# Guards against the same in answers to health checks.
for kind in header-lines header-line interim length chunks; do
	flood /health/$kind/0
	under_load 2 flood /cut
	check_memory "health checks, $kind"
done
flood /health/sound/0

# Guards against the same in pages of the target list, of which the last one that was read is used on.
for kind in header-lines interim length chunks until-close json nested pages; do
	under_load 2 flood /list/$kind/0
	check_memory "list, $kind"
done
flood /list/mixed/0
for n in 1 2 3; do kill -STOP "${PIDS[n$n]}"; done
under_load 8 true
for n in 1 2 3; do kill -CONT "${PIDS[n$n]}"; done
check_memory "list, read by the entry nodes"
flood /list/sound/0
flood /answers/sound/0

# Guards against requests of callers that take all memory of a node, also by their copies for targets.
for kind in heads bodies; do
	under_load 2 hold_callers $OPEN $kind
	release_callers $kind
	check_memory "callers, $kind"
done
flood /answers/length/20000
for kind in requests fanouts; do
	under_load 3 hold_callers $OPEN $kind
	release_callers $kind
	check_memory "callers, $kind"
done

# Guards against limits that hold one by one, while all that they allow at once does not fit, and
# against memory that grows whenever this happens again.
flood /answers/length/0
for round in {1..5}; do
	under_load 3 hold_callers $((OPEN / 4)) heads bodies requests fanouts
	release_callers heads bodies requests fanouts
	check_memory "all at once, round $round"
done
flood /answers/sound/0
wait_for 5 is_served 4 /all/ || fail "requests are not served afterwards"
echo "memory: $checks checks passed"
