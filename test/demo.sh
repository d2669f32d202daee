#!/usr/bin/env bash
# Starts three nodes and eleven mock targets, sends each kind of request and checks the answers.
set -u
cd "$(dirname "$0")/.." || exit 1
. test/cluster.sh
trap stop_all EXIT

fail () {
	echo "demo: $*" >&2
	tail -n 5 "$RUN"/*.log >&2
	exit 1
}

# expect DESCRIPTION ACTUAL PATTERN
expect () {
	echo "  $2"
	grep -q -- "$3" <<< "$2" || fail "$1: expected $3"
}

start_targets targets --port $((BASE + 300)) --targets 11 --slots 6 --service-us 2000
start_cluster 3 3 3 || fail "the nodes did not become ready"
print_resources 3 3 3 3 1 2 $((BASE + 300)) > "$RUN/resources.json"
"$BUILD/oleanderctl" apply -f "$RUN/resources.json" || fail "apply"
wait_for 10 has_members 3 || fail "members"

wait_for 10 eval "query 2 register | grep -q '\"answered\":3'" || fail "no complete answer"
echo "broad query:"
expect "broad query" "$(query 1 register)" '"coverage":{"shards":3,"answered":3,"missing":\[\]}'
echo "lookup by key:"
expect "lookup" "$(curl -s --noproxy '*' "http://127.0.0.1:$((BASE + 2))/v1/collections/register/entries/m-1204")" '"answered":1'
echo "at-most-once request, repeated through another node:"
once () {
	curl -s --noproxy '*' -X POST -H 'Idempotency-Key: renewal-77' -d '{"renewal":77}' \
		"http://127.0.0.1:$((BASE + $1))/v1/services/filing/once"
}
wait_for 10 eval "once 1 | grep -q '\"outcome\":\"done\"'" || fail "the first at-most-once request"
expect "once" "$(once 3)" '"outcome":"done"'
runs=0
for port in $((BASE + 309)) $((BASE + 310)); do
	runs=$((runs + $(curl -s --noproxy '*' "http://127.0.0.1:$port/counters" | sed 's/.*"once":\([0-9]*\).*/\1/')))
done
[ "$runs" = 1 ] || fail "the at-most-once request ran $runs times"
echo "data centre b leaves:"
"$BUILD/oleanderctl" leave DataCentre b || fail "leave"
expect "query while b leaves" "$(query 1 register)" '"answered":3'
"$BUILD/oleanderctl" status
"$BUILD/oleanderctl" return DataCentre b || fail "return"
# Guards against a call that is cut while its body is being sent, and against one that gets no answer
# on a connection that its caller keeps open.
echo "calls during a planned stop:"
body='{"status":"accredited"}'
post='POST /v1/collections/register/query HTTP/1.1\r\nHost: localhost\r\nContent-Length: 23\r\n\r\n'
exec {slow}<> "/dev/tcp/127.0.0.1/$((BASE + 3))"
exec {kept}<> "/dev/tcp/127.0.0.1/$((BASE + 3))"
printf "$post%s" "$body" >&"$kept"
expect "a kept connection" "$(timeout 2 head -n 1 <&"$kept")" 'HTTP/1.1 200'
printf "$post%s" "${body:0:10}" >&"$slow"
sleep 0.2
kill -TERM "${PIDS[n3]}"
sleep 4
printf "$post%s" "$body" >&"$kept"
answer=$(timeout 2 cat <&"$kept" | tr -d '\r')
expect "a late call on a kept connection is refused" "$answer" '"kind":"stopping"'
expect "which says that it did not run" "$answer" '"ran":"no"'
expect "and that the connection closes" "$answer" '^Connection: close'
kill -0 "${PIDS[n3]}" || fail "the node did not wait for a call whose body is being sent"
printf '%s' "${body:10}" >&"$slow"
expect "a call whose body was being sent is answered" "$(timeout 5 head -n 1 <&"$slow")" 'HTTP/1.1 200'
exec {slow}>&- {kept}>&-
wait "${PIDS[n3]}" || fail "node 3 exited with $?"
unset "PIDS[n3]"
echo "planned stops:"
for n in 2 1; do
	stop "n$n" || fail "node $n exited with $?"
done
stop targets || fail "targets"
echo "demo: all answers as expected"
