#!/usr/bin/env bash
# End-to-end test of what callers may send, against the mock of the users' platform, on loopback: three
# control nodes and two entry nodes, with limits that change. A failed check prints its description.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-29000}
. test/cluster.sh
trap stop_all EXIT
PLATFORM=$((BASE + 400))
SHARDS=12
checks=0

fail () {
	echo "callers: $*" >&2
	tail -n 8 "$RUN"/n4.log >&2
	exit 1
}

# expect DESCRIPTION ACTUAL PATTERN
expect () {
	grep -qE -- "$3" <<< "$2" || fail "$1: expected $3, got: $(head -c 400 <<< "$2")"
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
			batch_port_step = 500
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

# manifest VERSION MAX-HEADER-BYTES
manifest () {
	local i names='' services=''
	for i in $(seq 0 $((SHARDS - 1))); do
		names+=",\"s$i\""
		services+=",{\"name\":\"s$i\",\"max_connections\":48}"
	done
	cat <<-END
		{"version":$1,"routes":[{"name":"all","host":"site.example","path_prefix":"/all/",
		"route_type":"idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":1,
		"max_attempts":2,"top_k":3,"min_shard_ratio":0.75,"fanout":[${names#,}]},
		{"name":"one","host":"site.example","path_prefix":"/one/","route_type":"non_idempotent",
		"timeout_ms":3000,"target_latency_ms":1000,"priority":1,"max_attempts":2,"service":"s0"}],
		"services":[${services#,}],"limits":{"max_header_bytes":$2}}
	END
}

# configure VERSION MAX-HEADER-BYTES
configure () {
	[ "$(call -o "$RUN/answer" -w '%{http_code}' -d "$(manifest "$@")" \
		"http://127.0.0.1:$((BASE + 1))/config/replace")" = 200 ]
}

is_ready () {
	call -f "http://127.0.0.1:$((BASE + 50 + $1))/readiness"
}

# send_request N ID PATH [CURL ARGUMENTS]: prints status, headers and body.
send_request () {
	local n=$1 id=$2 path=$3
	shift 3
	call -i -H "Host: site.example" -H "Oleanderstile-Attempt-Id: $id" \
		-H "Oleanderstile-Deadline-Ms: 3000" "$@" "http://127.0.0.1:$((BASE + n))$path" | tr -d '\r'
}

runs () {
	call "http://127.0.0.1:$PLATFORM/runs/$1"
}

# repeat COUNT TEXT: prints the text so many times, each followed by its number.
repeat () {
	local i
	for i in $(seq "$1"); do printf "$2" "$i"; done
}

# send_kept ID HEADER-LINES [BODY]: sends a request on the kept connection 8.
send_kept () {
	printf 'POST /one/x HTTP/1.1\r\nHost: site.example\r\nOleanderstile-Attempt-Id: %s\r\nOleanderstile-Deadline-Ms: 3000\r\n%sContent-Length: 1\r\n\r\nx' "$1" "$2" >&8
}

# read_kept: prints the status of the next answer on the kept connection, whose body is one byte.
read_kept () {
	local line status length=0
	IFS= read -r -t 5 status <&8
	while IFS= read -r -t 5 line <&8 && [ "$line" != $'\r' ]; do
		[[ $line == Content-Length:* ]] && length=${line//[!0-9]/}
	done
	[ "$length" -gt 0 ] && IFS= read -r -t 5 -N "$length" line <&8
	echo "$status"
}

mkdir -p "$RUN"/data{1,2,3}
"$BUILD/test/stand-in-platform" $PLATFORM $SHARDS 2 2 plain=1 2>> "$RUN/targets.log" &
PIDS[platform]=$!
for n in 1 2 3; do settings $n control; done
for n in 4 5; do settings $n entry; done
for n in 1 2 3 4 5; do start_node $n; done
wait_for 20 configure 1 16384 || fail "the manifest was not accepted"
for n in 4 5; do wait_for 20 is_ready $n || fail "entry node $n is not ready"; done
wait_for 5 eval "send_request 4 warm /all/x | grep -q '^HTTP/1.1 200'" || fail "the first request is not served"

# Guards against requests of many short lines that run on all shards and get no answer.
for count in 100 325 340 354 1000; do
	repeat $count 'X-%04d: v\n' > "$RUN/lines"
	for n in 4 5; do
		answer=$(send_request $n lines-$n-$count /all/x -H @"$RUN/lines")
		expect "$count header lines are answered" "$answer" '^HTTP/1.1 200'
		expect "with all parts" "$answer" '^Oleanderstile-Missing-Parts: 0'
	done
done
for count in 490 500 514 1500; do
	answer=$(send_request 4 parameters-$count "/all/x?$(repeat $count '&id=%04d')")
	expect "$count parameters are answered" "$answer" '^HTTP/1.1 200'
	expect "with all parts" "$answer" '^Oleanderstile-Missing-Parts: 0'
done
expect "a cookie of 500 parts" "$(send_request 4 cookie /all/x -H "Cookie: $(repeat 500 'c%04d=v; ')")" '^HTTP/1.1 200'

# Guards against a changed limit that is acknowledged and not in force, on kept and new connections.
long=$(repeat 40 "X-%04d: $(head -c 1000 /dev/zero | tr '\0' v)\r\n")$'\n'
one_line="X-Long: $(head -c 40000 /dev/zero | tr '\0' v)"
exec 8<> "/dev/tcp/127.0.0.1/$((BASE + 4))"
send_kept kept1 ''
expect "a request on a kept connection" "$(read_kept)" '^HTTP/1.1 200'
expect "40 kB of headers, over the limit" "$(send_request 4 big1 /all/x -H "$one_line")" '^HTTP/1.1 431'
wait_for 5 configure 2 65536 || fail "the raised limit was not accepted"
for n in 4 5; do
	wait_for 5 eval "send_request $n big2 /all/x -H '$one_line' | grep -q '^HTTP/1.1 200'" ||
		fail "40 kB of headers are not served within a raised limit by node $n"
done
expect "and have all parts, although no batch takes the line" \
	"$(send_request 5 big3 /all/x -H "$one_line")" '^Oleanderstile-Missing-Parts: 0'
send_kept kept2 "$long"
expect "40 kB of headers on the kept connection" "$(read_kept)" '^HTTP/1.1 200'
wait_for 5 configure 3 16384 || fail "the lowered limit was not accepted"
wait_for 5 eval "send_request 4 big4 /all/x -H '$one_line' | grep -q '^HTTP/1.1 431'" ||
	fail "a lowered limit is not in force"
send_kept kept3 "$long"
expect "40 kB of headers on the kept connection, over the limit again" "$(read_kept)" '^HTTP/1.1 431'
exec 8>&-
expect "what is refused does not run" "$(runs kept3)" '^0$'

# Guards against a request inside the body of another one that runs.
inner='GET /all/x HTTP/1.1\r\nHost: site.example\r\nOleanderstile-Attempt-Id: inner\r\nOleanderstile-Deadline-Ms: 3000\r\n\r\n'
for framing in 'Content-Length: 0\r\nContent-Length: 120\r\n\r\n' \
	'Content-Length: 120\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' 'Content-Length:\r\n 120\r\n\r\n'; do
	exec 8<> "/dev/tcp/127.0.0.1/$((BASE + 4))"
	printf "POST /one/x HTTP/1.1\r\nHost: site.example\r\nOleanderstile-Attempt-Id: outer\r\nOleanderstile-Deadline-Ms: 3000\r\n$framing$inner" >&8
	expect "a request that can be read in two ways is refused" "$(timeout 5 cat <&8 | tr -d '\r')" '^HTTP/1.1 400'
	exec 8>&-
done
expect "neither of both runs" "$(runs inner) $(runs outer)" '^0 0$'

# Guards against proper requests that are refused for white space behind a value.
expect "blanks around Host and attempt id" "$(call -i -H 'Host:  site.example ' -H 'Oleanderstile-Attempt-Id: blank ' \
	-H 'Oleanderstile-Deadline-Ms: 3000' "http://127.0.0.1:$((BASE + 4))/all/x" | tr -d '\r')" '^HTTP/1.1 200'
echo "callers: $checks checks passed"
