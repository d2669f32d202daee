#!/usr/bin/env bash
# The whole path on the users' platform, without their kit: three control nodes, two entries, and a
# stand-in of the platform, on loopback. Each check names what it is about.
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

# expect WHAT ACTUAL PATTERN
expect () {
	grep -qE -- "$3" <<< "$2" || fail "$1: expected $3, got: $2"
	checks=$((checks + 1))
}

# settings N ENTRY: the settings of node N, as the deployment's template would fill them in.
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
			extra_ratio = 0.2
			extra_slack = 60
			cold_factor = 1
			cold_slack = 4
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

# order N METHOD PATH [BODY]: an operator's call at control node N; prints the status.
order () {
	call -o "$RUN/answer" -w '%{http_code}' -X "$2" ${4:+-d "$4"} "http://127.0.0.1:$((BASE + $1))$3"
}

# ask N ID PATH [CURL ARGUMENTS]: a caller's request at entry N; prints status, headers and body.
ask () {
	local n=$1 id=$2 path=$3
	shift 3
	call -i -H "Host: ${HOST:-site.example}" -H "Oleanderstile-Attempt-Id: $id" \
		-H "Oleanderstile-Deadline-Ms: 2000" "$@" "http://127.0.0.1:$((BASE + n))$path" |
		tr -d '\r'
}

# manifest VERSION [EXTRA ROUTE]
manifest () {
	cat <<-END
		{"version":$1,"routes":[{"name":"all","host":"site.example","path_prefix":"/all/",
		"route_type":"idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":1,
		"max_attempts":2,"top_k":3,"min_shard_ratio":0.66,"fanout":["s0","s1","s2"]},
		{"name":"file","host":"site.example","path_prefix":"/file/",
		"route_type":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":0,
		"max_attempts":3,"service":"s3"}${2:+,$2}],
		"services":[{"name":"s0","max_connections":30},{"name":"s1","max_connections":30},
		{"name":"s2","max_connections":30},{"name":"s3","max_connections":30}]}
	END
}

fault () {
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
expect "an entry without a routing refuses" "$(ask 4 a0 /all/x)" '^HTTP/1.1 503'
expect "a manifest that is cut short is refused" "$(order 1 POST /config/replace "$(manifest 3 | head -c 300)")" '^400'
wait_for 10 eval "[ \"\$(order 2 POST /config/replace '$(manifest 5)')\" = 200 ]" || fail "no first manifest"
expect "an older version is accepted and changes nothing" "$(order 3 POST /config/replace "$(manifest 4)")" '^200'
expect "the newest is read back" "$(order 1 GET /config/get; cat "$RUN/answer")" '^200.*"version":5'
for n in 4 5; do wait_for 10 is_ready $n || fail "entry $n is not ready"; done

# The first request of each entry opens its connections.
ask 4 w1 /all/x > "$RUN/warm"
ask 5 w2 /all/x > "$RUN/warm"
answer=$(ask 4 a1 /all/x)
expect "a whole answer" "$answer" '^HTTP/1.1 200'
expect "no shard is missing" "$answer" '^Oleanderstile-Missing-Parts: 0'
expect "each part is signed" "$answer" '^Oleanderstile-Part-Stamps: s0.a1, s1.a1, s2.a1'
expect "the greatest records, falling" "$answer" '^d-02-record-0002d-01-record-0001d-00-record-0000$'
expect "no such route" "$(ask 4 a2 /none/)" '^HTTP/1.1 404'
expect "another host has no such route" "$(HOST=other.example ask 4 a3 /all/x)" '^HTTP/1.1 404'
answer=$(ask 5 b1 /file/x -d 'renewal 7')
expect "a filing runs" "$answer" '^renewal 7'
expect "the target's proof is passed on" "$answer" '^Oleanderstile-Server-Stamp: s3.b1'
expect "it ran once" "$(runs b1)" '^1$'

echo "how requests may come in:"
expect "a body in chunks" "$(ask 4 j1 /file/x -H 'Transfer-Encoding: chunked' -d chunked)" '^chunked'
expect "a caller that waits for 100" "$(ask 4 j2 /file/x -H 'Expect: 100-continue' -d expected)" '^expected'
expect "a body over the limit" "$(head -c 300000 /dev/zero | ask 4 j3 /file/x --data-binary @-)" '^HTTP/1.1 413'
expect "headers over the limit" "$(ask 4 j4 /file/x -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' x)" -d x)" '^HTTP/1.1 431'
for id in j3 j4; do expect "what was too large did not run" "$(runs $id)" '^0$'; done
head='Host: site.example\r\nOleanderstile-Deadline-Ms: 2000\r\nOleanderstile-Attempt-Id:'
exec 8<> "/dev/tcp/127.0.0.1/$((BASE + 4))"
printf "GET /all/x HTTP/1.1\r\n$head k1\r\n\r\nGET /all/y HTTP/1.1\r\n$head k2\r\nConnection: close\r\n\r\n" >&8
answer=$(timeout 5 cat <&8 | tr -d '\r')
exec 8>&-
expect "two requests at once, in their order" "$(grep Attempt-Id <<< "$answer" | tr -d '\n')" 'k1.*k2$'

echo "a caller that leaves:"
for t in 9 10 11; do fault mute $t 1; done
call -m 0.2 -H 'Host: site.example' -H 'Oleanderstile-Attempt-Id: l1' -H 'Oleanderstile-Deadline-Ms: 2000' -d x "http://127.0.0.1:$((BASE + 4))/file/x"
for t in 0 1 2; do fault mute $t 1; done
call -m 0.2 -H 'Host: site.example' -H 'Oleanderstile-Attempt-Id: l3' -H 'Oleanderstile-Deadline-Ms: 2000' "http://127.0.0.1:$((BASE + 4))/all/x"
for t in 0 1 2 9 10 11; do fault mute $t 0; done
sleep 1
# The caller left after 200 ms, and work for nobody ends within half a second.
for id in l1 l3; do
	worked=$(call "http://127.0.0.1:$PLATFORM/worked/$id")
	[ "$worked" -gt 0 ] && [ "$worked" -le 700 ] || fail "$id was worked on for $worked ms"
	checks=$((checks + 1))
done
expect "the others are served" "$(ask 4 l2 /all/x)" '^HTTP/1.1 200'

echo "a target that fails every request:"
for t in 9 10 11; do fault fail $t 1; done
expect "a filing that failed is not repeated" "$(ask 4 b2 /file/x -d x)" '^HTTP/1.1 500'
expect "and ran once" "$(runs b2)" '^1$'
for t in 9 10 11; do fault fail $t 0; done

echo "a service that refuses everything:"
for t in 9 10 11; do fault shed $t 1; done
expect "what did not run is said so" "$(ask 4 b3 /file/x -d x)" '^HTTP/1.1 503'
expect "and nothing ran" "$(runs b3)" '^0$'
for t in 9 10 11; do fault shed $t 0; done

echo "a reply to another request:"
for t in 9 10 11; do fault extra $t 1; done
expect "it is not passed on" "$(ask 4 b4 /file/x -d x)" '^HTTP/1.1 502'
for t in 9 10 11; do fault extra $t 0; done
sleep 1

echo "a shard without targets:"
for t in 0 1 2; do fault draining $t 1; done
sleep 2
before=$(($(arrivals 0) + $(arrivals 1) + $(arrivals 2)))
answer=$(ask 4 a4 /all/x)
expect "the rest answers" "$answer" '^HTTP/1.1 200'
expect "and states what is missing" "$answer" '^Oleanderstile-Missing-Parts: 1'
expect "nothing reaches what leaves" "$(($(arrivals 0) + $(arrivals 1) + $(arrivals 2)))" "^$before\$"
for t in 0 1 2; do fault draining $t 0; done
sleep 2

echo "the logs explain each of them by its id:"
because () {
	grep -h "\"$1: " "$RUN"/n4.log
}
expect "refused" "$(because b3)" 'SUB_REQUEST_FAILED.*i-(9|10|11) of s3.*refused, not run'
expect "and what became of it" "$(because b3)" 'REQUEST_FAILED.*status 503 on route file'
expect "without a shard" "$(because a4)" 'REQUEST_DEGRADED.*2 of 3 shards.*shard s0 tried 0'
expect "unknown outcome" "$(because b4)" "SUB_REQUEST_FAILED.*may have run.*reply to 'another'"
expect "targets that leave" "$(grep -h TARGET_STATE "$RUN"/n4.log)" 'i-0 of s0 at [0-9.:]*: leaving'
explain () {
	"$BUILD/oleanderctl" explain "$1" "$RUN"/n*.log
}
story=$(explain b3)
expect "the story of a refusal" "$story" '\* SUB_REQUEST_FAILED .*n4.log: b3: i-(9|10|11) of s3.*refused, not run'
expect "ends with its reason" "$story" '\* REQUEST_FAILED .*b3: status 503 .*shard s3 tried'
story=$(explain a4)
expect "the story of a missing shard" "$story" '\* REQUEST_DEGRADED .*shard s0 tried 0.*no target may get work'
expect "tells what became of its targets" "$story" 'TARGET_STATE .*i-2 of s0 .*: leaving'
story=$(explain b4)
expect "the story of an unknown outcome" "$story" "\* SUB_REQUEST_FAILED .*may have run.*reply to 'another'"
expect "tells the ages of what decided it" "$story" '\* REQUEST_FAILED .*routing 5, view [0-9]+ ms old, list [0-9]+ ms old'
[ "$(explain b3 | grep -c 'b4:')" = 0 ] || fail "a story holds lines of another request"
expect "an id without a line" "$(explain zz)" 'no line in these logs'

echo "metrics, without a key:"
metrics=$(call "http://127.0.0.1:$((BASE + 304))/metrics")
expect "requests by route and outcome" "$metrics" '^oleanderstile_route_requests_total.route="all",outcome="partial". [1-9]'
expect "refusals by reason" "$metrics" '^oleanderstile_route_refusals_total.reason="no_route". [1-9]'
expect "failed sub-requests by end" "$metrics" '^oleanderstile_subrequest_failures_total.end="not_run". [1-9]'
expect "latencies by route" "$metrics" '^oleanderstile_route_answer_seconds_bucket.route="all",le="0.25". [1-9]'
expect "targets by standing" "$metrics" '^oleanderstile_service_targets.service="s0",standing="ready". [0-9]'
expect "what is left of the budget" "$metrics" '^oleanderstile_service_extra_left.service="s1". [0-9.]+'
expect "the age of the view" "$metrics" '^oleanderstile_view_age_seconds [0-9.]+$'
expect "log syncs of a control node" "$(call "http://127.0.0.1:$((BASE + 301))/metrics")" '^oleanderstile_control_sync_seconds_count [1-9]'
expect "and nothing else" "$(call -o "$RUN/x" -w '%{http_code}' "http://127.0.0.1:$((BASE + 304))/v1/status")" '^404'

# oleanderctl reads the dump as JSON, and fails where it is none.
dump=$("$BUILD/oleanderctl" -n "127.0.0.1:$((BASE + 104))" -k "$KEY" dump | tr -d ' \n')
expect "the dump tells what the front knows of a target" "$dump" '"standing":"[a-z]+","target":"i-0"'

echo "slow targets:"
# Hedges are paid from what ordinary requests have earned.
for i in $(seq 1 20); do ask 4 "q$i" /all/x > "$RUN/x"; done
for t in 0 3 6; do fault slow $t 1; done
for i in 1 2 3 4 5 6; do
	answer=$(ask 4 "c$i" /all/x)
	expect "a slow target is hedged" "$answer" '^Oleanderstile-Missing-Parts: 0'
done
for t in 0 3 6; do fault slow $t 0; done

echo "a data centre leaves:"
expect "the order is accepted" "$(order 2 POST /evacuation/z0/start)" '^200'
sleep 1.5
before=$(arrivals 0)
for i in 1 2 3 4; do ask 4 "d$i" /all/x > "$RUN/x"; ask 5 "e$i" /all/x > "$RUN/x"; done
expect "it gets nothing" "$(arrivals 0)" "^$before\$"
expect "it returns" "$(order 3 POST /evacuation/z0/end)" '^200'

echo "a new route is in force everywhere within seconds:"
extra='{"name":"new","host":"site.example","path_prefix":"/new/","route_type":"idempotent","timeout_ms":900,"max_attempts":2,"service":"s0"}'
expect "it is accepted" "$(order 1 POST /config/replace "$(manifest 9 "$extra")")" '^200'
sleep 1.5
for n in 4 5; do expect "entry $n serves it" "$(ask $n "f$n" /new/x)" '^HTTP/1.1 200'; done

echo "settings that change without a signal:"
sed -i "s/^peers = .*/peers = 127.0.0.1:$((BASE + 203)),127.0.0.1:$((BASE + 202))/" "$RUN/n4.ini"
wait_for 5 grep -q SETTINGS_READ "$RUN/n4.log" || fail "the settings were not read again"
kill -HUP "${PIDS[n5]}"
wait_for 5 grep -q SETTINGS_READ "$RUN/n5.log" || fail "SIGHUP was not followed"
expect "it goes on" "$(ask 5 m1 /all/x)" '^HTTP/1.1 200'

echo "control is lost:"
for n in 1 2 3; do kill -STOP "${PIDS[n$n]}"; done
sleep 4
expect "entries go on with their last view" "$(ask 4 g1 /all/x)" '^HTTP/1.1 200'
expect "a route that may have been added since is not denied" "$(ask 4 g2 /none/)" '^HTTP/1.1 503'
for n in 1 2 3; do kill -CONT "${PIDS[n$n]}"; done
wait_for 10 eval "[ \"\$(order 1 GET /config/get)\" = 200 ]" || fail "control did not come back"

echo "all nodes are killed and start again:"
for n in 1 2 3 4; do kill -KILL "${PIDS[n$n]}"; done
sleep 0.2
for n in 4 1 2 3; do start_node $n; done
wait_for 5 eval "ask 4 n1 /all/x > '$RUN/held'; [ -s '$RUN/held' ]" || fail "entry 4 did not start"
expect "a caller of a node that starts is served" "$(cat "$RUN/held")" '^HTTP/1.1 200'
wait_for 10 eval "[ \"\$(order 2 GET /config/get)\" = 200 ]" || fail "control did not restart"
expect "what was accepted is still there" "$(cat "$RUN/answer")" '"version":9'

echo "a planned stop:"
exec 9<> "/dev/tcp/127.0.0.1/$((BASE + 5))" # a caller that keeps its connection open
for t in 9 10 11; do fault slow $t 1; done
stopping_ms=$(date +%s%3N)
ask 5 h1 /file/x -d last > "$RUN/last" &
last=$!
sleep 0.1
kill -TERM "${PIDS[n5]}"
sleep 0.1
is_ready 5 > "$RUN/x" && fail "a stopping entry calls itself ready"
wait $last
expect "what was taken is answered" "$(cat "$RUN/last")" '^last'
wait "${PIDS[n5]}" || fail "entry 5 exited with $?"
stopped_ms=$(($(date +%s%3N) - stopping_ms))
[ "$stopped_ms" -lt 6000 ] || fail "the stop took $stopped_ms ms, more than the grace of 6 s"
unset "PIDS[n5]"
echo "platform: $checks checks passed"
