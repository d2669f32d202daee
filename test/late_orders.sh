#!/usr/bin/env bash
# End-to-end test of orders whose bytes a link held up, on loopback. Guards against an order that
# arrives after newer ones were confirmed, with the close of its connection behind it, and undoes
# them (review/13). A failed check prints its description.
set -u
cd "$(dirname "$0")/.." || exit 1
BASE=${BASE:-24600}
. test/cluster.sh
trap stop_all EXIT
checks=0

fail () {
	echo "late orders: $*" >&2
	tail -n 8 "$RUN/n1.log" >&2
	exit 1
}

mkdir -p "$RUN/data"
cat > "$RUN/n1.ini" <<-END
	[node]
	name = n1
	data_center = z1
	caller_address =
	operator_address = 127.0.0.1:$((BASE + 101))
	peer_address = 127.0.0.1:$((BASE + 201))
	workers = 1
	[control]
	key = $KEY
	voters = 1
	peers = 127.0.0.1:$((BASE + 201))
	orders_address = 127.0.0.1:$((BASE + 1))
	data_dir = $RUN/data
END

# order ACTION: gives an order on a connection of its own; prints the status.
order () {
	curl -s --noproxy '*' -m 2 -o /dev/null -w '%{http_code}' -X POST "http://127.0.0.1:$((BASE + 1))/evacuation/z1/$1"
}

is_confirmed () {
	[ "$(order "$1")" = 200 ]
}

is_leaving () {
	"$BUILD/oleanderctl" -j -n "127.0.0.1:$((BASE + 101))" -k "$KEY" get DataCentre z1 | tr -d ' \n' |
		grep -q '"leaving":true'
}

is_in_use () {
	! is_leaving
}

# order_after DELAY ACTION: connects, gives the order so many seconds later and leaves the connection
# open; sets status to the one of the answer.
order_after () {
	local fd line
	exec {fd}<> "/dev/tcp/127.0.0.1/$((BASE + 1))"
	sleep "$1"
	printf 'POST /evacuation/z1/%s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n' "$2" >&"$fd"
	read -r -t 3 _ status line <&"$fd" || status=none
	exec {fd}>&-
}

start_node 1 --bootstrap
wait_for 10 is_confirmed start || fail "no order is confirmed"
for round in 1 2 3; do
	order_after 1.2 end
	[ "$status" = 503 ] || fail "an order that arrives 1.2 s after its connection was opened: $status, expected 503"
	sleep 0.2
	is_leaving || fail "a late order has undone a newer one"
	order_after 0.1 end
	[ "$status" = 200 ] || fail "an order that arrives at once: $status, expected 200"
	wait_for 2 is_in_use || fail "an order had no effect"
	is_confirmed start || fail "an order on a new connection was not confirmed"
	wait_for 2 is_leaving || fail "an order on a new connection had no effect"
	checks=$((checks + 6))
done
grep -q ORDER_STALE "$RUN/n1.log" || fail "the late orders were not logged"
echo "late orders: $checks checks passed"
