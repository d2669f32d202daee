#!/usr/bin/env bash
# End-to-end test of targets that ask for no requests for some time or announce that they leave, with
# callers that send load: times that cannot be read, are zero, short and many, or longer than any target
# lives, targets that are busy in turns, and all targets of a service that leave at once. A failed check
# prints its description.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-25000}
ENTRY_NODES=2
. test/cluster.sh
. test/route_cluster.sh
trap stop_all EXIT
LOAD=$BUILD/bench/load
checks=0

fail () {
	echo "busy: $*" >&2
	tail -n 8 "$RUN"/n4.log >&2
	exit 1
}

# expect DESCRIPTION ACTUAL PATTERN
expect () {
	grep -qE -- "$3" <<< "$2" || fail "$1: expected $3, got: $2"
	checks=$((checks + 1))
}

# send_request ID PATH: a caller's request; prints status, headers and body.
send_request () {
	curl -s --noproxy '*' -m 5 -i -H "Host: site.example" -H "Oleanderstile-Attempt-Id: $1" \
		-H "Oleanderstile-Deadline-Ms: 1500" "http://127.0.0.1:$((BASE + 4))$2" | tr -d '\r'
}

# metric NAME: a metric of the entry node.
metric () {
	curl -s --noproxy '*' -H "Authorization: Bearer $KEY" "http://127.0.0.1:$((BASE + 104))/metrics" |
		sed -n "s/^oleanderstile_$1 \([0-9]*\)/\1/p"
}

# standing TARGET: what the dump of the entry node says of the target.
standing () {
	curl -s --noproxy '*' -H "Authorization: Bearer $KEY" "http://127.0.0.1:$((BASE + 104))/v1/dump" |
		tr '{' '\n' | grep "\"address\":\"127.0.0.1:$((PORT + $1))\""
}

# set_service SERVICE JSON: changes all targets of a service.
set_service () {
	local i
	for i in $(seq $(($1 * REPLICAS)) $(($1 * REPLICAS + REPLICAS - 1))); do
		control_target $((PORT + i)) "$2"
	done
}

# sum_service SERVICE COUNTER: a counter over all targets of a service.
sum_service () {
	local i sum=0
	for i in $(seq $(($1 * REPLICAS)) $(($1 * REPLICAS + REPLICAS - 1))); do
		sum=$((sum + $(counter "$i" "$2")))
	done
	echo $sum
}

# send_load PATH RATE SECONDS: prints what callers got.
send_load () {
	"$LOAD" -a "${ADDRESSES:-127.0.0.1:$((BASE + 4))}" -t 64 -s "$3" -r "$2" -R "site.example$1" -D 1500
}

start_route_cluster --slots 8 --service-us 10000 || fail "the nodes did not start"
expect "a request is answered" "$(send_request a1 /all/x)" '^Oleanderstile-Missing-Parts: 0'

echo "a time that cannot be read, and one of zero:"
for value in soon 0; do
	set_service 0 "{\"busy_ms\":600000,\"busy_value\":\"$value\"}"
	for i in 1 2 3; do
		before=$(sum_service 0 requests)
		expect "the request is refused" "$(send_request "b$value$i" /one/x)" '^HTTP/1.1 503'
		[ "$(sum_service 0 requests)" -gt "$before" ] || fail "targets were left alone for the time '$value'"
		sleep 0.3
	done
done
expect "it is counted" "$(metric targets_busy_unreadable_total)" '^[1-9]'
expect "and logged" "$(grep TARGET_BUSY "$RUN/n4.log")" 'bsoon1: i-.* of s0 .*unreadable, ignored'
expect "no target counts as busy" "$(metric targets_busy_total)" '^0$'
set_service 0 '{"busy_ms":0}'

echo "a time that is longer than any target lives:"
for t in 0 1; do control_target $((PORT + t)) '{"busy_ms":600000,"busy_value":"99999999999999999999"}'; done
send_load /one/x 200 2 > "$RUN/x"
expect "the dump shows it" "$(standing 0)" '"standing":"busy".*"busy_ms":[0-9]{11}'
for t in 0 1; do control_target $((PORT + t)) '{"busy_ms":0}'; done
before="$(counter 0 requests) $(counter 1 requests)"
expect "others serve" "$(send_load /one/x 200 2)" '"refused":0,.*"failed":0'
expect "the targets get nothing" "$(counter 0 requests) $(counter 1 requests)" "^$before\$"
control_target $((PORT + 1)) '{"unlisted":true}'
wait_for 5 eval '! standing 1 | grep -q "\"standing\":\"busy\""' || fail "the list still has the target"
control_target $((PORT + 1)) '{"unlisted":false}'
sleep 1.5
control_target $PORT '{"restart":true}'
wait_for 5 eval 'standing 0 | grep -q "\"standing\":\"ready\""' || fail "another target at the address is not used"
# More than the two others take without a queue, so that a third is of use.
send_load /one/x 1000 2 > "$RUN/x"
[ "$(counter 0 requests)" -gt "${before% *}" ] || fail "another target at the address gets no requests"
expect "the other target still gets nothing" "$(counter 1 requests)" "^${before#* }\$"
set_service 0 '{"restart":true}'
sleep 1.5

echo "all targets of a service are busy:"
set_service 0 '{"busy_ms":30000}'
set_service 1 '{"busy_ms":200}'
for i in $(seq 1 8); do
	send_request "c$i" /one/x > "$RUN/x"
	send_request "o$i" /all/x > "$RUN/x"
done
sleep 6
begin_ms=$(date +%s%3N)
answer=$(send_request d1 /one/x)
[ $(($(date +%s%3N) - begin_ms)) -lt 300 ] || fail "the refusal was not immediate"
expect "a request that cannot be served is refused" "$answer" '^HTTP/1.1 503'
expect "with the time of the first return" "$answer" '^Retry-After: 2[0-9]\.'
trace=$("$BUILD/oleanderctl" explain d1 "$RUN/n4.log")
expect "the trace says why" "$trace" '\* REQUEST_FAILED.*d1: .*all targets asked for no requests'
expect "and which target asked, in the answer to an earlier request, and for how long" "$trace" \
	'^ +-[0-9.]+ s +TARGET_BUSY.*c[0-9]: i-[0-9].* of s0 .*no requests for [23][0-9]{4} ms'
expect "but not what other services asked for" "$(grep -c 'of s1' <<< "$trace")" '^0$'
set_service 0 '{"restart":true}'
sleep 1.5

echo "targets are busy in turns, and ask for short times again and again:"
each_target "$FIRST_TURN" "$FIRST_TURN" "$SECOND_TURN"
batches=$(metric batches_sent_total)
echo "in turns: $(ADDRESSES=127.0.0.1:$((BASE + 4)),127.0.0.1:$((BASE + 5)) send_load /all/x 200 8)"
expect "at most two requests reach a target in its time" "$(worst early)" '^[012]$'
[ "$(metric batches_sent_total)" -gt "$batches" ] || fail "no sub-requests were sent by the other node"
expect "they were busy" "$(worst busy)" '^[1-9]'
each_target '{"busy_ms":60000,"busy_value":"0.05"}' '{"busy_ms":60000,"busy_value":"0.05"}' '{"busy_ms":0}'
before=$(sum_service 0 busy)
echo "flood: $(send_load /one/x 200 4)"
# Each of the two is tried after 0.05, 0.1, 0.15, 0.25, 0.45, 0.85, 1.65 and 3.25 s more at the earliest.
[ $(($(sum_service 0 busy) - before)) -le 40 ] || fail "a flood of short times got a flood of requests"
each_target '{"busy_ms":0}'

echo "answers to other requests prove nothing:"
known="$(metric targets_announced_leaving_total) $(metric targets_busy_total)"
set_service 0 '{"clear":true}'
set_service 0 '{"foreign":true,"announce":true}'
send_load /one/x 100 1 > "$RUN/x"
[ "$(sum_service 0 requests)" -gt 0 ] || fail "the targets got no requests"
set_service 0 '{"announce":false,"busy_ms":60000}'
send_load /one/x 100 1 > "$RUN/x"
[ "$(sum_service 0 busy)" -gt 0 ] || fail "the targets have refused nothing"
expect "none is taken for an announcement" "$(metric targets_announced_leaving_total) $(metric targets_busy_total)" "^$known\$"
set_service 0 '{"foreign":false,"busy_ms":0}'

echo "all targets of a service announce that they leave:"
set_service 1 '{"clear":true}'
set_service 1 '{"announce":true}'
send_load /all/x 200 8 > "$RUN/leaving" &
load=$!
sleep 5
answer=$(send_request e1 /all/x)
expect "a fan-out names the shard as missing" "$answer" '^Oleanderstile-Missing-Parts: 1'
expect "the log names the target and the request" "$(grep TARGET_LEAVES "$RUN/n4.log")" ': i-4-[0-9a-f]* of s1 .*listed as ready'
expect "the dump shows it" "$(standing 4)" '"standing":"leaving".*"announced_leaving":true'
wait $load
# Lines of the load may have taken the place of others in the same second.
sleep 1.1
send_request e3 /all/x > "$RUN/x"
expect "the trace of a request shows it" "$("$BUILD/oleanderctl" explain e3 "$RUN/n4.log")" 'TARGET_LEAVES.* of s1 '
expect "nothing reaches them late" "$(sum_service 1 after_announce)" '^0$'
set_service 1 '{"restart":true}'
sleep 2
expect "other targets at their addresses are used" "$(send_request e2 /all/x)" '^Oleanderstile-Missing-Parts: 0'
echo "busy: $checks checks passed"
