#!/usr/bin/env bash
# End-to-end test of declared routes against a mock of the users' platform, on loopback: three control
# nodes and two entry nodes serve requests while targets fail, callers disconnect, a data centre is taken
# out of service, control is lost and nodes restart. A failed check prints its description.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-23000}
. test/cluster.sh
trap stop_all EXIT
PLATFORM=$((BASE + 400))
checks=0

fail () {
	echo "platform: $*" >&2
	tail -n 8 "$RUN"/n*.log >&2
	exit 1
}

# expect DESCRIPTION ACTUAL PATTERN
expect () {
	grep -qE -- "$3" <<< "$2" || fail "$1: expected $3, got: $2"
	checks=$((checks + 1))
}

# settings N entry|control: writes the settings of node N, as the deployment's template does.
settings () {
	local n=$1
	cat > "$RUN/n$n.ini" <<-END
		[node]
		name = n$n
		data_center = z$((n % 3))
		caller_address =
		operator_address = 127.0.0.1:$((BASE + 100 + n))
		peer_address = 127.0.0.1:$((BASE + 200 + n))
		metrics_address = 127.0.0.1:$((BASE + 300 + n))
		workers = 1
		[control]
		key = $KEY
		peers = 127.0.0.1:$((BASE + 201)),127.0.0.1:$((BASE + 202)),127.0.0.1:$((BASE + 203))
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
			drain_ms = 3000
			extra_ratio = 0.2
			extra_slack = 60.5
			cold_factor = 1
			cold_slack = 4.25
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

call () {
	curl -s --noproxy '*' -m 5 "$@"
}

# order N METHOD PATH [BODY]: sends an operator's order to control node N; prints the status.
order () {
	call -o "$RUN/answer" -w '%{http_code}' -X "$2" ${4:+-d "$4"} "http://127.0.0.1:$((BASE + $1))$3"
}

# send_request N ID PATH [CURL ARGUMENTS]: a caller's request to entry node N; prints status, headers
# and body.
send_request () {
	local n=$1 id=$2 path=$3
	shift 3
	call -i -H "Host: ${HOST:-site.example}" -H "Oleanderstile-Attempt-Id: $id" \
		-H "Oleanderstile-Deadline-Ms: 2000" "$@" "http://127.0.0.1:$((BASE + n))$path" |
		tr -d '\r'
}

# manifest VERSION [ROUTE [SERVICES]]: prints a routing document, with an additional route and
# additional services if given.
manifest () {
	cat <<-END
		{"version":$1,"routes":[{"name":"all","host":"site.example","path_prefix":"/all/",
		"route_type":"idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":1,
		"max_attempts":2,"top_k":3,"min_shard_ratio":0.66,"fanout":["s0","s1","s2"]},
		{"name":"file","host":"site.example","path_prefix":"/file/",
		"route_type":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":0,
		"max_attempts":3,"service":"s3"}${2:+,$2}],
		"services":[{"name":"s0","max_connections":30},{"name":"s1","max_connections":30},
		{"name":"s2","max_connections":30},{"name":"s3","max_connections":30}${3:+,$3}]}
	END
}

set_fault () {
	call -X POST "http://127.0.0.1:$PLATFORM/set/$1/$2/$3"
}

runs () {
	call "http://127.0.0.1:$PLATFORM/runs/$1"
}

arrivals () {
	call "http://127.0.0.1:$PLATFORM/arrivals/$1"
}

is_ready () {
	call -f "http://127.0.0.1:$((BASE + 50 + $1))/readiness"
}

mkdir -p "$RUN"/data{1,2,3}
"$BUILD/test/stand-in-platform" $PLATFORM 4 3 5 2>> "$RUN/targets.log" &
PIDS[platform]=$!
for n in 1 2 3; do settings $n control; done
for n in 4 5; do settings $n entry; done
for n in 1 2 3 4 5; do start_node $n; done

sleep 0.3
expect "an entry node without a routing refuses requests" "$(send_request 4 a0 /all/x)" '^HTTP/1.1 503'
expect "a truncated manifest is refused" "$(order 1 POST /config/replace "$(manifest 3 | head -c 300)")" '^400'
wait_for 10 eval "[ \"\$(order 2 POST /config/replace '$(manifest 5)')\" = 200 ]" || fail "the first manifest was not accepted"
expect "an older version gets 200 and changes nothing" "$(order 3 POST /config/replace "$(manifest 4)")" '^200'
expect "the newest manifest is returned" "$(order 1 GET /config/get; cat "$RUN/answer")" '^200.*"version":5'
for n in 4 5; do wait_for 10 is_ready $n || fail "entry node $n is not ready"; done

# The first request of each entry node opens its connections to targets.
send_request 4 w1 /all/x > "$RUN/warm"
send_request 5 w2 /all/x > "$RUN/warm"
answer=$(send_request 4 a1 /all/x)
expect "a complete answer" "$answer" '^HTTP/1.1 200'
expect "no shard is missing" "$answer" '^Oleanderstile-Missing-Parts: 0'
expect "the answer carries the stamp of each part" "$answer" '^Oleanderstile-Part-Stamps: s0.a1, s1.a1, s2.a1'
expect "the greatest records in descending order" "$answer" '^d-02-record-0002d-01-record-0001d-00-record-0000$'
expect "an undeclared path gets 404" "$(send_request 4 a2 /none/)" '^HTTP/1.1 404'
expect "another host gets 404" "$(HOST=other.example send_request 4 a3 /all/x)" '^HTTP/1.1 404'
answer=$(send_request 5 b1 /file/x -d 'renewal 7')
expect "a request that is not idempotent is answered" "$answer" '^renewal 7'
expect "the target's stamp is forwarded" "$answer" '^Oleanderstile-Server-Stamp: s3.b1'
expect "a request that is not idempotent runs once" "$(runs b1)" '^1$'

# Guards against a process that takes connections of a running node: both listened on the port, and
# the second one closed its share when its start failed.
echo "a second process beside a running node:"
# second WHAT PORT FILE: starts a process, which must end at once and say which port is in use.
second () {
	sleep 0.2
	timeout -s KILL 3 "$BUILD/oleanderstiled" -c "$3" > "$RUN/second.log" 2>&1
	expect "a second process with the same $1 ends with an error" "$?" '^1$'
	expect "that names the port" "$(cat "$RUN/second.log")" "NODE_START_FAILED.* 127.0.0.1:$2 is in use by another process"
}
# second_with FILE SETTING PORT: the same for a node with all settings of its own but this one.
second_with () {
	sed "s/^$2 = .*/$2 = 127.0.0.1:$3/" "$RUN/$1" > "$RUN/second.ini"
	second "$2" "$3" "$RUN/second.ini"
}
# call_until_end N: sends requests until the file exists, and prints the status of each.
call_until_end () {
	local i=0 status
	while [ ! -e "$RUN/seconds_end" ]; do
		i=$((i + 1))
		status=$(send_request 4 "sc$1-$i" /all/x | head -n 1)
		echo "${status:-no answer}"
	done
}
settings 9 entry
settings 8 control
# In PIDS, so that they end with a check that fails.
for i in 1 2 3 4; do
	call_until_end "$i" > "$RUN/seconds$i" &
	PIDS[caller$i]=$!
done
for i in $(seq 1 10); do second "settings" $((BASE + 204)) "$RUN/n4.ini"; done
second_with n9.ini address $((BASE + 4))
second_with n9.ini ready_address $((BASE + 54))
second_with n9.ini operator_address $((BASE + 104))
second_with n9.ini metrics_address $((BASE + 304))
second_with n9.ini address $((BASE + 904))
sed -i "s/^batch_port_step = .*/batch_port_step = 695/" "$RUN/n9.ini"
second "batch port" $((BASE + 904)) "$RUN/n9.ini"
second_with n8.ini orders_address $((BASE + 1))
second_with n8.ini peer_address $((BASE + 204))
touch "$RUN/seconds_end"
for i in 1 2 3 4; do
	wait "${PIDS[caller$i]}"
	unset "PIDS[caller$i]"
done
[ "$(cat "$RUN"/seconds[1-4] | wc -l)" -ge 100 ] || fail "too few requests were sent beside the second processes"
lost=$(cat "$RUN"/seconds[1-4] | grep -vc '^HTTP/1.1 200')
expect "callers of the running node lose nothing" "$lost" '^0$'

echo "forms and sizes of requests:"
expect "a chunked body" "$(send_request 4 j1 /file/x -H 'Transfer-Encoding: chunked' -d chunked)" '^chunked'
expect "a caller that expects 100 Continue" "$(send_request 4 j2 /file/x -H 'Expect: 100-continue' -d expected)" '^expected'
expect "a body above the size limit" "$(head -c 300000 /dev/zero | send_request 4 j3 /file/x --data-binary @-)" '^HTTP/1.1 413'
expect "headers above the size limit" "$(send_request 4 j4 /file/x -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' x)" -d x)" '^HTTP/1.1 431'
long_id=$(head -c 300 /dev/zero | tr '\0' i)
# Two ids that begin alike are two requests to a target.
for id in "${long_id}1" "${long_id}2"; do
	answer=$(send_request 4 "$id" /file/x -d x)
	expect "an attempt id of 301 bytes is served" "$answer" '^HTTP/1.1 200'
	expect "and returned whole" "$answer" "^Oleanderstile-Attempt-Id: $id\$"
	expect "and reaches the target whole" "$(runs "$id")" '^1$'
done
answer=$(send_request 4 "${long_id}3" /all/x)
expect "a fan-out with an attempt id of 301 bytes" "$answer" '^HTTP/1.1 200'
expect "has all parts" "$answer" '^Oleanderstile-Missing-Parts: 0'
answer=$(send_request 4 "$(head -c 16001 /dev/zero | tr '\0' i)" /file/x -d x)
expect "an attempt id above the limit" "$answer" '^HTTP/1.1 431'
expect "is refused with the field and its limit" "$answer" '^Oleanderstile-Attempt-Id: at most 16000 bytes'
for id in j3 j4; do expect "a request above a size limit does not run" "$(runs $id)" '^0$'; done
head='Host: site.example\r\nOleanderstile-Deadline-Ms: 2000\r\nOleanderstile-Attempt-Id:'
exec 8<> "/dev/tcp/127.0.0.1/$((BASE + 4))"
printf "GET /all/x HTTP/1.1\r\n$head k1\r\n\r\nGET /all/y HTTP/1.1\r\n$head k2\r\nConnection: close\r\n\r\n" >&8
answer=$(timeout 5 cat <&8 | tr -d '\r')
exec 8>&-
expect "two pipelined requests are answered in order" "$(grep Attempt-Id <<< "$answer" | tr -d '\n')" 'k1.*k2$'

echo "a caller that disconnects:"
for t in 9 10 11; do set_fault silent $t 1; done
call -m 0.2 -H 'Host: site.example' -H 'Oleanderstile-Attempt-Id: l1' -H 'Oleanderstile-Deadline-Ms: 2000' -d x "http://127.0.0.1:$((BASE + 4))/file/x"
for t in 0 1 2; do set_fault silent $t 1; done
call -m 0.2 -H 'Host: site.example' -H 'Oleanderstile-Attempt-Id: l3' -H 'Oleanderstile-Deadline-Ms: 2000' "http://127.0.0.1:$((BASE + 4))/all/x"
for t in 0 1 2 9 10 11; do set_fault silent $t 0; done
sleep 1
# The callers disconnected after 200 ms; abandoned work must end within half a second.
for id in l1 l3; do
	worked=$(call "http://127.0.0.1:$PLATFORM/worked/$id")
	[ "$worked" -gt 0 ] && [ "$worked" -le 700 ] || fail "targets worked on $id for $worked ms"
	checks=$((checks + 1))
done
expect "other requests are served" "$(send_request 4 l2 /all/x)" '^HTTP/1.1 200'

echo "targets that fail every request:"
for t in 9 10 11; do set_fault fail $t 1; done
expect "a failed request that is not idempotent is not repeated" "$(send_request 4 b2 /file/x -d x)" '^HTTP/1.1 500'
expect "and it ran once" "$(runs b2)" '^1$'
for t in 9 10 11; do set_fault fail $t 0; done

echo "a service whose targets refuse every request:"
for t in 9 10 11; do set_fault shed $t 1; done
expect "the status says that the request did not run" "$(send_request 4 b3 /file/x -d x)" '^HTTP/1.1 503'
expect "and it did not run" "$(runs b3)" '^0$'
for t in 9 10 11; do set_fault shed $t 0; done

echo "replies that carry the id of another request:"
for t in 9 10 11; do set_fault mismatch $t 1; done
expect "such a reply is not forwarded" "$(send_request 4 b4 /file/x -d x)" '^HTTP/1.1 502'
for t in 9 10 11; do set_fault mismatch $t 0; done
sleep 1

echo "replies with a status code that is none:"
for t in 9 10 11; do set_fault status $t 1; done
expect "such a reply is not forwarded" "$(send_request 4 b5 /file/x -d x)" '^HTTP/1.1 502'
expect "and its request is not repeated" "$(runs b5)" '^1$'
for t in 9 10 11; do set_fault status $t 0; done
for t in 0 1 2; do set_fault status $t 1; done
for n in 4 5; do
	answer=$(send_request $n a$n-status /all/x)
	expect "a fan-out through node $n has the other shards" "$answer" '^HTTP/1.1 200'
	expect "and lacks that of the invalid replies" "$answer" '^Oleanderstile-Missing-Parts: 1'
done
for t in 0 1 2; do set_fault status $t 0; done
sleep 1
set_fault liststatus 0 1
lost_lists () {
	grep -h 'LIST_LOST.*page 1: no answer, status 0' "$RUN"/n*.log
}
wait_for 10 lost_lists || fail "a list with the status code 999 was read"
expect "the last list stays in use" "$(send_request 4 a6 /all/x)" '^Oleanderstile-Missing-Parts: 0'
set_fault liststatus 0 0

echo "a shard without targets:"
for t in 0 1 2; do set_fault draining $t 1; done
# Without another target, leaving ones are used for a part of drain_ms.
sleep 3.2
before=$(($(arrivals 0) + $(arrivals 1) + $(arrivals 2)))
answer=$(send_request 4 a4 /all/x)
expect "the other shards answer" "$answer" '^HTTP/1.1 200'
expect "and the answer states the number of missing shards" "$answer" '^Oleanderstile-Missing-Parts: 1'
expect "targets that are leaving get no requests" "$(($(arrivals 0) + $(arrivals 1) + $(arrivals 2)))" "^$before\$"
for t in 0 1 2; do set_fault draining $t 0; done
sleep 2

echo "the logs explain each of these requests by its id:"
# lines_of ID: the log lines of a request at entry node 4.
lines_of () {
	grep -h "\"$1: " "$RUN"/n4.log
}
expect "a refused sub-request" "$(lines_of b3)" 'SUB_REQUEST_FAILED.*i-(9|10|11) of s3.*refused, not run'
expect "and the end of its request" "$(lines_of b3)" 'REQUEST_FAILED.*status 503 on route file'
expect "an answer without a shard" "$(lines_of a4)" 'REQUEST_DEGRADED.*2 of 3 shards.*shard s0 tried 0'
expect "a sub-request with an unknown outcome" "$(lines_of b4)" "SUB_REQUEST_FAILED.*may have run.*reply to 'another'"
expect "targets that are leaving" "$(grep -h TARGET_STATE "$RUN"/n4.log)" 'i-0 of s0 at [0-9.:]*: leaving'
explain () {
	"$BUILD/oleanderctl" explain "$1" "$RUN"/n*.log
}
trace=$(explain b3)
expect "the trace of a refused request" "$trace" '\* SUB_REQUEST_FAILED .*n4.log: b3: i-(9|10|11) of s3.*refused, not run'
expect "and the reason at its end" "$trace" '\* REQUEST_FAILED .*b3: status 503 .*shard s3 tried'
trace=$(explain a4)
expect "the trace of an answer without a shard" "$trace" '\* REQUEST_DEGRADED .*shard s0 tried 0.*no target may get work'
expect "and the state of the shard's targets" "$trace" 'TARGET_STATE .*i-2 of s0 .*: leaving'
trace=$(explain b4)
expect "the trace of a request with an unknown outcome" "$trace" "\* SUB_REQUEST_FAILED .*may have run.*reply to 'another'"
expect "and the version and ages of the view and list in use" "$trace" '\* REQUEST_FAILED .*routing 5, view [0-9]+ ms old, list [0-9]+ ms old'
[ "$(explain b3 | grep -c 'b4:')" = 0 ] || fail "a trace contains lines of another request"
expect "an id without log lines" "$(explain zz)" 'no line in these logs'

echo "metrics without authentication:"
metrics=$(call "http://127.0.0.1:$((BASE + 304))/metrics")
expect "requests by route and outcome" "$metrics" '^oleanderstile_route_requests_total.route="all",outcome="partial". [1-9]'
expect "refusals by reason" "$metrics" '^oleanderstile_route_refusals_total.reason="no_route". [1-9]'
expect "failed sub-requests by reason" "$metrics" '^oleanderstile_subrequest_failures_total.end="not_run". [1-9]'
expect "latencies by route" "$metrics" '^oleanderstile_route_answer_seconds_bucket.route="all",le="0.25". [1-9]'
expect "targets by standing" "$metrics" '^oleanderstile_service_targets.service="s0",standing="ready". [0-9]'
expect "the remaining budget for hedges and retries" "$metrics" '^oleanderstile_service_extra_left.service="s1". [0-9.]+'
expect "the age of the view" "$metrics" '^oleanderstile_view_age_seconds [0-9.]+$'
expect "log syncs of a control node" "$(call "http://127.0.0.1:$((BASE + 301))/metrics")" '^oleanderstile_control_sync_seconds_count [1-9]'
expect "the metrics server serves no other page" "$(call -o "$RUN/x" -w '%{http_code}' "http://127.0.0.1:$((BASE + 304))/v1/status")" '^404'

status=$("$BUILD/oleanderctl" -n "127.0.0.1:$((BASE + 104))" -k "$KEY" status)
expect "the status shows the age of the target list" "$status" '^target list: read [0-9]+ ms ago, failed reads: [0-9]+'
# oleanderctl parses the dump and fails if it is not JSON.
dump=$("$BUILD/oleanderctl" -n "127.0.0.1:$((BASE + 104))" -k "$KEY" dump | tr -d ' \n')
expect "the dump contains the front's state of a target" "$dump" '"standing":"[a-z]+","target":"i-0"'

echo "slow targets:"
# Ordinary requests fill the budget from which hedges are taken.
for i in $(seq 1 20); do send_request 4 "q$i" /all/x > "$RUN/x"; done
for t in 0 3 6; do set_fault slow $t 1; done
for i in 1 2 3 4 5 6; do
	answer=$(send_request 4 "c$i" /all/x)
	expect "requests to slow targets are hedged" "$answer" '^Oleanderstile-Missing-Parts: 0'
done
for t in 0 3 6; do set_fault slow $t 0; done

echo "a data centre is evacuated:"
expect "the order to leave is accepted" "$(order 2 POST /evacuation/z0/start)" '^200'
sleep 1.5
before=$(arrivals 0)
for i in 1 2 3 4; do send_request 4 "d$i" /all/x > "$RUN/x"; send_request 5 "e$i" /all/x > "$RUN/x"; done
expect "its targets get no requests" "$(arrivals 0)" "^$before\$"
expect "the order to return is accepted" "$(order 3 POST /evacuation/z0/end)" '^200'

# Guards against an order that a frozen node reads late and that undoes a newer, confirmed one.
echo "a control node is frozen while an operator sends it an order:"
confirmed () {
	[ "$(order "$1" POST "$2")" = 200 ]
}
expect "the data centre leaves" "$(order 2 POST /evacuation/z0/start)" '^200'
kill -STOP "${PIDS[n3]}"
call -m 1 -X POST "http://127.0.0.1:$((BASE + 3))/evacuation/z0/end" && fail "a frozen node answered"
wait_for 8 confirmed 1 /evacuation/z0/end || fail "the order to return was not confirmed"
wait_for 8 confirmed 2 /evacuation/z0/start || fail "the second order to leave was not confirmed"
kill -CONT "${PIDS[n3]}"
sleep 2
before=$(arrivals 0)
for i in 1 2 3 4; do send_request 4 "ev$i" /all/x > "$RUN/x"; send_request 5 "ew$i" /all/x > "$RUN/x"; done
expect "targets of the data centre get no requests" "$(arrivals 0)" "^$before\$"
expect "the late order has no effect" "$("$BUILD/oleanderctl" -j -n "127.0.0.1:$((BASE + 101))" -k "$KEY" get DataCentre z0 | tr -d ' \n')" '"leaving":true'
expect "and is logged" "$(grep -h ORDER_STALE "$RUN/n3.log")" 'data centre z0 returns: the operator has left'
expect "a node that has just woken takes orders" "$(order 3 POST /evacuation/z0/end)" '^200'
expect "and repeats of them" "$(order 1 POST /evacuation/z0/end)" '^200'

# Guards against a manifest that is confirmed and ends entry nodes or cannot be served.
echo "long names in a manifest:"
long_name=$(head -c 255 /dev/zero | tr '\0' n)
expect "a service with a name of 255 bytes" "$(order 1 POST /config/replace "$(manifest 7 "{\"name\":\"$long_name\",\"host\":\"site.example\",\"path_prefix\":\"/long/\",\"route_type\":\"idempotent\",\"timeout_ms\":900,\"max_attempts\":2,\"service\":\"$long_name\"}" "{\"name\":\"$long_name\",\"max_connections\":9}")")" '^200'
sleep 1.5
for n in 4 5; do
	expect "entry node $n serves the other routes" "$(send_request $n "nm$n" /all/x)" '^HTTP/1.1 200'
	expect "and says that the new service has no target" "$(send_request $n "nn$n" /long/x)" '^HTTP/1.1 503'
done
quoted='q\"\\q'
expect "a service and a route with quotes in their names" "$(order 1 POST /config/replace "$(manifest 8 "{\"name\":\"$quoted\",\"host\":\"site.example\",\"path_prefix\":\"/quoted/\",\"route_type\":\"idempotent\",\"timeout_ms\":900,\"max_attempts\":2,\"service\":\"$quoted\"}" "{\"name\":\"$quoted\",\"max_connections\":9}")")" '^200'
sleep 1.5
expect "are served" "$(send_request 4 nq /quoted/x)" '^HTTP/1.1 503'
expect "the dump can be read" "$("$BUILD/oleanderctl" -n "127.0.0.1:$((BASE + 104))" -k "$KEY" dump | grep -c '"service": "q\\"\\\\q"')" '^1$'
expect "and the metrics" "$(call "http://127.0.0.1:$((BASE + 304))/metrics")" '^oleanderstile_service_waiting.service="q\\"\\\\q"'
expect "the order about a data centre with quotes in its name" "$(order 1 POST /evacuation/z%22%5C/start)" '^200'
sleep 1
expect "the data centres can be read" "$("$BUILD/oleanderctl" -j -n "127.0.0.1:$((BASE + 101))" -k "$KEY" list DataCentre | tr -d ' \n')" '"name":"z\\"\\\\"'
expect "and the order that it returns" "$(order 1 POST /evacuation/z%22%5C/end)" '^200'
expect "a longer name is refused" "$(order 1 POST /config/replace "$(manifest 8 "" "{\"name\":\"${long_name}n\",\"max_connections\":9}" | sed 's/},,/},/')")" '^400'
expect "with the field and its limit" "$(cat "$RUN/answer")" 'services.name has over 255 bytes'

echo "a new route is in use on all entry nodes within seconds:"
extra='{"name":"new","host":"site.example","path_prefix":"/new/","route_type":"idempotent","timeout_ms":900,"max_attempts":2,"service":"s0"}'
# No part of an answer to this one may be missing.
extra+=',{"name":"whole","host":"site.example","path_prefix":"/whole/","route_type":"idempotent","timeout_ms":1500,"target_latency_ms":200,"max_attempts":2,"top_k":3,"min_shard_ratio":1,"fanout":["s0","s1","s2"]}'
expect "the new manifest is accepted" "$(order 1 POST /config/replace "$(manifest 9 "$extra")")" '^200'
sleep 1.5
for n in 4 5; do expect "entry node $n serves the new route" "$(send_request $n "f$n" /new/x)" '^HTTP/1.1 200'; done

# Guards against requests to a target in the time for which it asked for none.
echo "targets ask for no requests for some time:"
early () {
	call "http://127.0.0.1:$PLATFORM/early/$1"
}
# Ordinary requests fill the budget from which the refused one is sent again.
for i in $(seq 1 20); do send_request 4 "bq$i" /file/x -d x > "$RUN/x"; done
set_fault busy 10 1
for i in $(seq 1 40); do
	expect "others serve beside a busy target" "$(send_request 4 "ba$i" /file/x -d x)" '^HTTP/1.1 200'
	sleep 0.05
done
# All times begin together, so that the first one to end is known.
set_fault busy 10 0
sleep 2.5
for t in 9 10 11; do set_fault busy $t 1; done
# A caller of this route waits 1.5 s, less than the 2 s of the targets.
for i in $(seq 1 40); do
	begin_ms=$(date +%s%3N)
	answer=$(send_request 4 "bb$i" /file/x -d x)
	[ $(($(date +%s%3N) - begin_ms)) -lt 1600 ] || fail "a request was held beyond its deadline"
	expect "no target runs the request" "$answer" '^HTTP/1.1 503'
	expect "the caller learns when to return" "$answer" '^Retry-After: [0-9.]+'
	grep '^Retry-After' <<< "$answer" >> "$RUN/returns"
	sleep 0.05
done
expect "which is when the first target does" "$(cat "$RUN/returns")" '^Retry-After: 1\.[0-9]+'
expect "it is known why" "$(cat "$RUN/n4.log")" 'REQUEST_FAILED.*bb[0-9]+: status 503 .*all targets asked for no requests'
expect "and which target asked" "$(cat "$RUN/n4.log")" 'TARGET_BUSY.*b[ab][0-9]+: i-(9|10|11) of s3 .*no requests for 2[0-9]{3} ms'
for t in 9 10 11; do set_fault busy $t 0; done
sleep 2.5
expect "they serve again" "$(send_request 4 bc /file/x -d x)" '^HTTP/1.1 200'
for t in 9 10 11; do expect "at most two requests reach a target in its time" "$(early $t)" '^[012]$'; done

# Guards against requests to a target that announced in its answers that it leaves, while the list
# still says that it is ready, and while control is lost.
echo "targets announce that they leave:"
# knows N TARGET: whether node N was told by an answer that a target leaves.
knows () {
	grep -q "TARGET_LEAVES.*: i-$2 of " "$RUN/n$1.log"
}
# learns N ID: sends fan-outs through node N until it knows that target 1 or 2 leaves. Only N sends any,
# so that no other node learns of a target by a request of its own, and tells N nothing.
learns () {
	local i
	for i in $(seq 1 60); do
		expect "requests are answered" "$(send_request "$1" "$2$i" /all/x)" '^HTTP/1.1 200'
		knows "$1" 1 && return
		knows "$1" 2 && return
	done
	fail "node $1 does not learn that a target leaves"
}
# told: the targets of s0 that two nodes know by the same request.
told () {
	grep -ho 'TARGET_LEAVES.*l[ab][0-9]*: i-[0-9]* of s0' "$RUN"/n[45].log | sort | uniq -d
}
for t in 1 2 10; do set_fault announce $t 1; done
# One of the two nodes sends the sub-requests for s0; a fan-out through the other one tells both. Target
# 0 is slow, so that the others are used.
set_fault slow 0 1
learns 4 la
[ -n "$(told)" ] || learns 5 lb
expect "an aggregator and the sender of its batch both know" "$(told)" 'i-[12] of s0'
set_fault slow 0 0
for i in $(seq 101 112); do
	expect "requests are answered" "$(send_request 4 "la$i" /all/x)" '^HTTP/1.1 200'
	expect "requests are answered" "$(send_request 5 "lb$i" /all/x)" '^HTTP/1.1 200'
done
# Afterwards, since a node that knows of a target by a request of its own logs no fan-out that tells it.
for i in $(seq 1 12); do
	expect "requests are answered" "$(send_request 4 "lc$i" /new/x)" '^HTTP/1.1 200'
	expect "requests are answered" "$(send_request 4 "ld$i" /file/x -d x)" '^HTTP/1.1 200'
done
expect "the target is passed over" "$(cat "$RUN"/n4.log)" 'TARGET_LEAVES.*l[a-d][0-9]+: i-(1|2|10) of s[03] .*listed as ready'
for n in 1 2 3; do kill -STOP "${PIDS[n$n]}"; done
sleep 3.2
# Those that node 4 learns of only now have their drain time still before them.
leaving=$(for t in 1 2 10; do knows 4 $t && echo $t; done)
expect "the node knows of one" "$leaving" '^(1|2|10)$'
arrivals_of_leaving () {
	for t in $leaving; do echo "$t got $(arrivals $t)"; done | tr '\n' ' '
}
before=$(arrivals_of_leaving)
for i in $(seq 1 20); do
	send_request 4 "le$i" /new/x > "$RUN/x"
	send_request 4 "lf$i" /file/x -d x > "$RUN/x"
done
expect "other targets answer" "$(cat "$RUN/x")" '^HTTP/1.1 200'
for n in 1 2 3; do kill -CONT "${PIDS[n$n]}"; done
wait_for 10 eval "[ \"\$(order 1 GET /config/get)\" = 200 ]" || fail "control did not recover"
sleep 1
for i in $(seq 1 20); do send_request 4 "lg$i" /new/x > "$RUN/x"; done
expect "no request reaches it after the drain time" "$(arrivals_of_leaving)" "^$before\$"
set_fault announce 0 1
for i in 1 2 3 4 5 6; do
	for n in 4 5; do send_request $n "lh$n$i" /new/x > "$RUN/x"; done
done
expect "without another target, a leaving one is used at first" "$(cat "$RUN/x")" '^HTTP/1.1 200'
sleep 3.2
before=$(($(arrivals 0) + $(arrivals 1) + $(arrivals 2)))
begin_ms=$(date +%s%3N)
answer=$(send_request 4 li /new/x)
expect "and then the request is refused" "$answer" '^HTTP/1.1 503'
expect "with a time to return" "$answer" '^Retry-After: [0-9.]+'
[ $(($(date +%s%3N) - begin_ms)) -lt 300 ] || fail "the refusal was not immediate"
expect "a fan-out names the shard as missing" "$(send_request 4 lj /all/x)" '^Oleanderstile-Missing-Parts: 1'
expect "nothing reaches them late" "$(($(arrivals 0) + $(arrivals 1) + $(arrivals 2)))" "^$before\$"
for t in 0 1 2 10; do set_fault announce $t 0; set_fault unlisted $t 1; done
sleep 2
for t in 0 1 2 10; do set_fault restarted $t 1; set_fault unlisted $t 0; done
sleep 2
expect "another incarnation at the address is used" "$(send_request 4 lk /all/x)" '^Oleanderstile-Missing-Parts: 0'

echo "settings are read again after a change and on SIGHUP:"
sed -i "s/^peers = .*/peers = 127.0.0.1:$((BASE + 203)),127.0.0.1:$((BASE + 202))/" "$RUN/n4.ini"
wait_for 5 grep -q SETTINGS_READ "$RUN/n4.log" || fail "the changed settings file was not read again"
kill -HUP "${PIDS[n5]}"
wait_for 5 grep -q SETTINGS_READ "$RUN/n5.log" || fail "the settings were not read again on SIGHUP"
expect "the node continues to serve" "$(send_request 5 m1 /all/x)" '^HTTP/1.1 200'
sed -i 's/^extra_slack = .*/extra_slack = much/' "$RUN/n5.ini"
kill -HUP "${PIDS[n5]}"
wait_for 5 grep -q 'SETTINGS_BAD.*front.extra_slack' "$RUN/n5.log" || fail "bad settings were not reported"
expect "a node with bad new settings keeps the old ones" "$(send_request 5 m2 /all/x)" '^HTTP/1.1 200'
sed -i 's/^extra_slack = .*/extra_slack = 32.737/' "$RUN/n5.ini"

echo "a node that sends sub-requests for another is frozen:"
# Sub-requests that replace those of the frozen node count as repeats. What the checks above have used
# of the budget for these is back after front.extra_window_s.
sleep 10
# The first request waits for the frozen node until shortly before its latency objective, when a route
# that allows it gets a partial answer. So that one uses the route that needs all shards.
route=whole
answer=$(call "http://127.0.0.1:$((BASE + 304))/metrics")
[ "$(grep -oE '^oleanderstile_batches_sent_total [0-9]+' <<< "$answer" | cut -d' ' -f2)" -gt 0 ] || fail "no batch was sent"
kill -STOP "${PIDS[n5]}"
for i in 1 2 3 4; do
	answer=$(send_request 4 "z$i" /$route/x)
	route=all
	expect "the answer of the other node is complete" "$answer" '^HTTP/1.1 200'
	expect "no shard is missing while a sender is frozen" "$answer" '^Oleanderstile-Missing-Parts: 0'
done
sent=$(for i in 1 2 3 4; do runs "z$i"; echo; done)
kill -CONT "${PIDS[n5]}"
sleep 1
expect "the frozen node sends nothing late" "$(for i in 1 2 3 4; do runs "z$i"; echo; done | tr '\n' ' ')" "^$(tr '\n' ' ' <<< "$sent" | sed 's/ *$//') *\$"
expect "it serves again" "$(send_request 5 z5 /all/x)" '^HTTP/1.1 200'

echo "control is lost:"
for n in 1 2 3; do kill -STOP "${PIDS[n$n]}"; done
sleep 4
expect "entry nodes serve with their last view" "$(send_request 4 g1 /all/x)" '^HTTP/1.1 200'
expect "an unknown route, which may be new, gets 503 and not 404" "$(send_request 4 g2 /none/)" '^HTTP/1.1 503'
for n in 1 2 3; do kill -CONT "${PIDS[n$n]}"; done
wait_for 10 eval "[ \"\$(order 1 GET /config/get)\" = 200 ]" || fail "control did not recover"

echo "all control nodes and an entry node are killed and restarted:"
for n in 1 2 3 4; do kill -KILL "${PIDS[n$n]}"; done
sleep 0.2
for i in 1 2 3; do
	answer=$(send_request 5 "t$i" /all/x)
	expect "the other entry node answers without the killed one" "$answer" '^HTTP/1.1 200'
	expect "no shard is missing" "$answer" '^Oleanderstile-Missing-Parts: 0'
done
for n in 4 1 2 3; do start_node $n; done
wait_for 5 eval "send_request 4 n1 /all/x > '$RUN/held'; [ -s '$RUN/held' ]" || fail "entry node 4 did not start"
expect "a request to a node that is starting is held and answered" "$(cat "$RUN/held")" '^HTTP/1.1 200'
wait_for 10 eval "[ \"\$(order 2 GET /config/get)\" = 200 ]" || fail "control did not restart"
expect "the accepted manifest has survived" "$(cat "$RUN/answer")" '"version":9'

echo "a planned stop:"
long='{"name":"long","host":"site.example","path_prefix":"/long/","route_type":"non_idempotent","timeout_ms":15000,"target_latency_ms":200,"max_attempts":2,"service":"s3"}'
expect "a route of long requests" "$(order 1 POST /config/replace "$(manifest 10 "$extra,$long")")" '^200'
sleep 1.5
# send_kept FD ID: sends a request on a connection that its caller keeps open.
send_kept () {
	printf 'POST /long/x HTTP/1.1\r\nHost: site.example\r\nOleanderstile-Attempt-Id: %s\r\nOleanderstile-Deadline-Ms: 14000\r\nContent-Length: 1\r\n\r\nx' "$2" >&"$1"
}
# late_request FD ID DELAY: sends a request on a kept connection after a delay in seconds and
# records what the node answers until it closes the connection.
late_request () {
	sleep "$3"
	send_kept "$1" "$2"
	timeout 7 cat <&"$1" | tr -d '\r' > "$RUN/$2"
}
exec {kept0}<> "/dev/tcp/127.0.0.1/$((BASE + 5))"
exec {kept1}<> "/dev/tcp/127.0.0.1/$((BASE + 5))"
exec {kept2}<> "/dev/tcp/127.0.0.1/$((BASE + 5))"
for fd in $kept0 $kept1 $kept2; do
	send_kept $fd "v$fd"
	expect "a kept connection" "$(timeout 2 head -n 1 <&$fd)" '^HTTP/1.1 200'
done
exec 9<> "/dev/tcp/127.0.0.1/$((BASE + 5))" # a connection that its caller keeps open
for t in 9 10 11; do set_fault slow $t 1; done
stopping_ms=$(date +%s%3N)
send_request 5 h1 /file/x -d last > "$RUN/last" &
last=$!
sleep 0.1
kill -TERM "${PIDS[n5]}"
sleep 0.1
is_ready 5 > "$RUN/x" && fail "a stopping entry node reports that it is ready"
wait $last
expect "a request accepted before the stop is answered" "$(cat "$RUN/last")" '^last'
for t in 9 10 11; do set_fault slow $t 0; set_fault stuck $t 1; done
late_request "$kept0" late0 0 &
late=($!)
late_request "$kept1" late1 2.5 &
late+=($!)
late_request "$kept2" late2 3.2 &
late+=($!)
# For 5 s the stopping node still serves batches or refuses them.
for i in $(seq 1 12); do
	answer=$(send_request 4 "u$i" /all/x)
	expect "the other entry node answers while this one stops" "$answer" '^HTTP/1.1 200'
	expect "no shard is missing" "$answer" '^Oleanderstile-Missing-Parts: 0'
	sleep 0.4
done
wait "${PIDS[n5]}" || fail "entry node 5 exited with $?"
stopped_ms=$(($(date +%s%3N) - stopping_ms))
[ "$stopped_ms" -lt 6000 ] || fail "the stop took $stopped_ms ms, more than the grace period of 6 s"
unset "PIDS[n5]"
wait "${late[@]}"
exec {kept0}>&- {kept1}>&- {kept2}>&-
expect "a request that ran when the stop ended gets a last answer" "$(cat "$RUN/late0")" '^HTTP/1.1 504'
for id in late1 late2; do
	expect "a late request that may not end before the stop is refused" "$(cat "$RUN/$id")" '^HTTP/1.1 503'
	expect "the answer closes the connection" "$(cat "$RUN/$id")" '^Connection: close'
	expect "and other nodes can be reached at once" "$(cat "$RUN/$id")" '^Retry-After: 0.000'
	expect "the late request does not run" "$(runs $id)" '^0$'
done
for t in 9 10 11; do set_fault stuck $t 0; done

# Guards against answers without end that take all memory of a node, or another answer's place.
echo "targets whose answers do not end:"
peak_kb () {
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB$/\1/p' "/proc/${PIDS[n4]}/status"
}
for t in $(seq 0 11); do set_fault endless $t 1; done
senders=()
for i in $(seq 1 24); do
	send_request 4 "ma$i" /all/x > "$RUN/x$i" &
	senders+=($!)
	send_request 4 "mb$i" /new/x > "$RUN/y$i" &
	senders+=($!)
done
wait "${senders[@]}"
for t in $(seq 0 11); do set_fault endless $t 0; done
peak=$(peak_kb)
# The smallest VMs have 112 MB.
[ "$peak" -gt 0 ] && [ "$peak" -lt 112000 ] || fail "an entry node took $peak kB"
echo "peak of the entry node: $peak kB"
for i in 1 2 3; do grep -q '^HTTP/1.1 200' "$RUN/x$i" "$RUN/y$i" && fail "an answer without end was passed on"; done
sleep 1
expect "requests are answered afterwards" "$(send_request 4 mc /all/x)" '^Oleanderstile-Missing-Parts: 0'

echo "routings with new services while the removal of a node settles:"
for v in $(seq 30 69); do
	parts=$(for i in 1 2 3; do printf '"v%s-%s",' "$v" "$i"; done)
	services=$(for i in 1 2 3; do printf '{"name":"v%s-%s","max_connections":9},' "$v" "$i"; done)
	route="{\"name\":\"v$v\",\"host\":\"site.example\",\"path_prefix\":\"/v/\",\"route_type\":\"idempotent\",\"timeout_ms\":900,\"max_attempts\":2,\"top_k\":1,\"min_shard_ratio\":0.5,\"fanout\":[${parts%,}]}"
	order 1 POST /config/replace "$(manifest "$v" "$route" "${services%,}")" > "$RUN/x"
	sleep 0.05
done
kill -0 "${PIDS[n4]}" 2> /dev/null || fail "entry node 4 has ended"
expect "the other entry node serves" "$(send_request 4 y1 /all/x)" '^HTTP/1.1 200'
# Guards against a held request that gets no answer when the node stops before it has a view.
echo "a node without a view stops while it holds a request:"
for n in 1 2 3; do kill -STOP "${PIDS[n$n]}"; done
kill -KILL "${PIDS[n4]}"
wait "${PIDS[n4]}" 2> /dev/null
start_node 4
wait_for 3 eval "exec 7<> /dev/tcp/127.0.0.1/$((BASE + 4))" || fail "entry node 4 does not listen"
exec 7<> "/dev/tcp/127.0.0.1/$((BASE + 4))"
printf 'POST /file/x HTTP/1.1\r\nHost: site.example\r\nOleanderstile-Attempt-Id: held\r\nOleanderstile-Deadline-Ms: 9000\r\nContent-Length: 1\r\n\r\nx' >&7
sleep 0.2
kill -TERM "${PIDS[n4]}"
answer=$(timeout 7 head -n 1 <&7)
exec 7>&-
expect "the held request is refused" "$answer" '^HTTP/1.1 503'
expect "and does not run" "$(runs held)" '^0$'
wait "${PIDS[n4]}" || fail "entry node 4 exited with $?"
unset "PIDS[n4]"
for n in 1 2 3; do kill -CONT "${PIDS[n$n]}"; done
# Guards against a restart that disturbs the process that is stopping, or fails because of its
# connections.
echo "nodes are started again before and after their predecessors have ended:"
is_running () {
	grep -q '^State:.[^Z]' "/proc/$1/status" 2> /dev/null
}
# restart_at_once N EARLY: stops a node, and starts its successor again and again until it stays; at
# least EARLY attempts must have come before the end of the predecessor.
restart_at_once () {
	local n=$1 early=$2 predecessor=${PIDS[n$1]} attempts=0
	kill -TERM "$predecessor"
	while :; do
		attempts=$((attempts + 1))
		: > "$RUN/successor.log"
		"$BUILD/oleanderstiled" -c "$RUN/n$n.ini" >> "$RUN/successor.log" 2>&1 &
		PIDS[n$n]=$!
		until grep -q '"NODE_START' "$RUN/successor.log" || ! is_running "${PIDS[n$n]}"; do
			sleep 0.01
		done
		grep -q '"NODE_STARTED"' "$RUN/successor.log" && break
		wait "${PIDS[n$n]}"
		expect "a successor that is early ends with an error" "$?" '^1$'
		expect "that names a port" "$(cat "$RUN/successor.log")" 'NODE_START_FAILED.* 127.0.0.1:[0-9]+ is in use by another process'
	done
	is_running "$predecessor" && fail "node $n was started beside its predecessor"
	wait "$predecessor" || fail "node $n exited with $?"
	[ "$attempts" -gt "$early" ] || fail "only $((attempts - 1)) successors of node $n were early"
	echo "node $n: attempt $attempts started"
}
for t in 9 10 11; do set_fault stuck $t 0; done
start_node 5
wait_for 10 is_ready 5 || fail "entry node 5 is not ready"
send_request 5 ra /file/x -d x > "$RUN/x"
exec {kept0}<> "/dev/tcp/127.0.0.1/$((BASE + 5))"
printf 'POST /file/x HTTP/1.1\r\nHost: site.example\r\nOleanderstile-Attempt-Id: rb\r\nOleanderstile-Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx' >&"$kept0"
expect "a connection that its caller keeps" "$(timeout 2 head -n 1 <&"$kept0")" '^HTTP/1.1 200'
restart_at_once 5 5
exec {kept0}>&-
wait_for 10 is_ready 5 || fail "the successor of entry node 5 is not ready"
expect "the successor serves" "$(send_request 5 rc /file/x -d x)" '^HTTP/1.1 200'
# It may have ended before the first attempt.
restart_at_once 3 0
wait_for 10 eval "[ \"\$(order 3 GET /config/get)\" = 200 ]" || fail "control node 3 did not restart"

echo "client accounts:"
start_node 4
wait_for 10 is_ready 4 || fail "entry node 4 is not ready"
open_route='{"name":"open","host":"site.example","path_prefix":"/open/","route_type":"idempotent","timeout_ms":900,"max_attempts":2,"service":"s3","skip_auth":true}'
# accounts VERSION KEYS-OF-A KEYS-OF-B: a manifest with two accounts.
accounts () {
	manifest "$1" "$open_route" |
		sed "s/^{\"version\":$1,/&\"tenants\":[{\"name\":\"acc-a\",\"api_keys\":[$2]},{\"name\":\"acc-b\",\"priority\":0,\"api_keys\":[$3]}],/"
}
account_of () {
	call "http://127.0.0.1:$PLATFORM/account/$1"
}
# status_of N ID KEY PATH [CURL ARGUMENTS]
status_of () {
	local n=$1 id=$2 key=$3 path=$4
	shift 4
	send_request "$n" "$id" "$path" -H "Authorization: Bearer $key" "$@" | head -n 1
}
expect "accounts with one key are refused" "$(order 1 POST /config/replace "$(accounts 70 '"SECRET-1"' '"SECRET-1"')"; cat "$RUN/answer")" '^400.*acc-a and acc-b'
expect "accounts" "$(order 1 POST /config/replace "$(accounts 70 '"SECRET-1","SECRET-2"' '"SECRET-3"')")" '^200'
for n in 4 5; do
	wait_for 4 eval "send_request $n aw$n /all/x | grep -q '^HTTP/1.1 401'" || fail "node $n requires no key"
	expect "a key on node $n" "$(status_of $n ak$n SECRET-1 /all/x)" ' 200'
	expect "the account reaches targets and the key does not" "$(account_of ak$n)" '^acc-a$'
done
expect "no key" "$(send_request 4 a10 /file/x -d x)" '^WWW-Authenticate: Bearer'
expect "an unknown key" "$(status_of 4 a11 SECRET-4 /file/x -d x)" ' 401'
expect "two keys" "$(status_of 4 a12 SECRET-1 /file/x -d x -H 'authorization: Bearer SECRET-1')" ' 401'
expect "an overlong key" "$(status_of 4 a13 "$(head -c 16384 /dev/zero | tr '\0' k)" /file/x -d x)" ' 401'
expect "a space before the colon" "$(send_request 4 a14 /file/x -d x -H 'Authorization : Bearer SECRET-1')" '^HTTP/1.1 40[01]'
for id in a10 a11 a12 a13 a14; do expect "does not run" "$(runs $id)" '^0$'; done
expect "a key" "$(status_of 4 a15 SECRET-3 /file/x -d x -H 'Oleanderstile-Tenant: acc-a')" ' 200'
expect "a caller does not choose its account" "$(account_of a15)" '^acc-b$'
expect "an open route" "$(send_request 4 a16 /open/x -H 'Oleanderstile-Tenant: acc-a' -H 'Authorization: Bearer SECRET-4')" '^HTTP/1.1 200'
expect "has no account for an unknown key" "$(account_of a16)" '^none$'
expect "an open route with a key" "$(status_of 4 a17 SECRET-2 /open/x)" ' 200'
expect "has its account" "$(account_of a17)" '^acc-a$'

# Guards against a removal that breaks a request in flight, and one that a frozen node misses.
status_of 4 a20 SECRET-1 /file/x -d x -H 'X-Work-Ms: 1300' > "$RUN/a20" &
running=$!
sleep 0.2
kill -STOP "${PIDS[n5]}"
expect "a key is removed" "$(order 1 POST /config/replace "$(accounts 71 '"SECRET-2"' '"SECRET-3"')")" '^200'
wait_for 4 eval "status_of 4 a21 SECRET-1 /file/x -d x | grep -q ' 401'" || fail "a removed key is still valid"
kill -0 "$running" 2> /dev/null || fail "the request ended before its key was removed"
wait "$running"
expect "a request in flight ends normally" "$(cat "$RUN/a20")" ' 200'
expect "another key of the account remains" "$(status_of 4 a22 SECRET-2 /file/x -d x)" ' 200'
sleep 3
for i in 1 2 3 4; do status_of 5 "a3$i" SECRET-1 /file/x -d x > "$RUN/a3$i" & late[i]=$!; done
sleep 0.2
kill -CONT "${PIDS[n5]}"
wait "${late[@]:1:4}"
for i in 1 2 3 4; do
	expect "a frozen node does not accept the removed key when it resumes" "$(cat "$RUN/a3$i")" ' (401|503)'
	expect "and does not run it" "$(runs "a3$i")" '^0$'
done
expect "it refuses the key from then on" "$(status_of 5 a35 SECRET-1 /file/x -d x)" ' 401'
expect "it accepts the other key" "$(status_of 5 a36 SECRET-2 /file/x -d x)" ' 200'

dump=$("$BUILD/oleanderctl" -n "127.0.0.1:$((BASE + 104))" -k "$KEY" dump)
counts=$("$BUILD/oleanderctl" -n "127.0.0.1:$((BASE + 104))" -k "$KEY" accounts)
metrics=$(call "http://127.0.0.1:$((BASE + 304))/metrics")
expect "requests of an account" "$counts" '^acc-a +[1-9]'
expect "requests of an account in the metrics" "$metrics" '^oleanderstile_account_requests_total.account="acc-b". [1-9]'
expect "requests without a key" "$metrics" '^oleanderstile_route_refusals_total.reason="no_key". [1-9]'
kill -USR1 "${PIDS[n4]}" "${PIDS[n1]}"
sleep 0.3
[ "$(cat "$RUN"/n*.log <(echo "$dump$counts$metrics") | grep -c SECRET)" = 0 ] || fail "a key is in a log, dump or metric"
# Guards against a key that is lost while its request is held.
kill -KILL "${PIDS[n4]}"
wait "${PIDS[n4]}" 2> /dev/null
start_node 4
answer=
for i in $(seq 1 100); do
	answer=$(status_of 4 "ah$i" SECRET-2 /file/x -d x)
	grep -q ' [24]' <<< "$answer" && break
	sleep 0.05
done
expect "a node that has just started knows the account of a held request" "$answer" ' 200'
expect "and sends it on" "$(account_of "ah$i")" '^acc-a$'
# Guards against refusals over the limit that the account's counts lack.
expect "an account gets a limit" "$(order 1 POST /config/replace "$(accounts 72 '"SECRET-2"' '"SECRET-3"' | sed 's/"acc-b",/&"rate_per_s":0.001,/')")" '^200'
limited () {
	local i
	for i in $(seq 1 40); do status_of 4 "al$i" SECRET-3 /file/x -d x; done | grep -q ' 429'
}
wait_for 8 limited || fail "no request is over the limit"
expect "refusals over its limit" "$("$BUILD/oleanderctl" -n "127.0.0.1:$((BASE + 104))" -k "$KEY" accounts)" '^acc-b .*quota [1-9]'
expect "accounts are removed" "$(order 1 POST /config/replace "$(manifest 73 "$open_route" | sed 's/^{"version":73,/&"tenants":[],/')")" '^200'
wait_for 4 eval "send_request 4 a40 /all/x | grep -q '^HTTP/1.1 200'" || fail "a key is required without accounts"
expect "without accounts" "$(status_of 4 a41 SECRET-4 /file/x -d x)" ' 200'
expect "the header is forwarded" "$(account_of a41)" '^none with credentials$'

# Guards against callers' connections that a node opens after it was told to stop, and for which its
# grace period, which began before, may be too short.
echo "a node is told to stop while it starts:"
kill -KILL "${PIDS[n5]}"
wait "${PIDS[n5]}" 2> /dev/null
# The signal is pending when the daemon begins.
env --block-signal=TERM bash -c 'kill -TERM $$; exec "$0" -c "$1"' \
	"$BUILD/oleanderstiled" "$RUN/n5.ini" > "$RUN/stopped.log" 2>&1 &
PIDS[n5]=$!
opened=0
while is_running "${PIDS[n5]}"; do
	(exec 7<> "/dev/tcp/127.0.0.1/$((BASE + 5))") 2> /dev/null && opened=$((opened + 1))
	sleep 0.02
done
wait "${PIDS[n5]}" || fail "entry node 5 exited with $?"
unset "PIDS[n5]"
expect "it accepts no connection" "$opened" '^0$'
expect "and stops as planned" "$(cat "$RUN/stopped.log")" 'NODE_STOPPED'
echo "platform: $checks checks passed"
