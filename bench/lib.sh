# Shell functions for the scripts of bench/. Source it; it sources test/cluster.sh.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
. test/cluster.sh
LOAD=$BUILD/bench/load

# caller_addresses FIRST LAST: the callers' addresses of these nodes.
caller_addresses () {
	local list= i
	for i in $(seq "$1" "$2"); do
		list+="127.0.0.1:$((BASE + i)),"
	done
	echo "${list%,}"
}

# json_number NAME: prints a number from the JSON line on standard input.
json_number () {
	sed -n "s/.*\"$1\":\([0-9.]*\).*/\1/p"
}

# metric NODE NAME: the value of a metric.
metric () {
	curl -s --noproxy '*' -H "Authorization: Bearer $KEY" "http://127.0.0.1:$((BASE + 100 + $1))/metrics" |
		sed -n "s/^oleanderstile_$2 \([0-9]*\)/\1/p"
}

# sum_metric NODES NAME: the sum of a metric over nodes 1 to NODES.
sum_metric () {
	local sum=0 i
	for i in $(seq 1 "$1"); do
		sum=$((sum + $(metric "$i" "$2")))
	done
	echo "$sum"
}

# sum_counter FIRST-PORT COUNT NAME: the sum of a counter over mock targets.
sum_counter () {
	local sum=0 i
	for i in $(seq "$1" $(($1 + $2 - 1))); do
		sum=$((sum + $(curl -s --noproxy '*' "http://127.0.0.1:$i/counters" | json_number "$3")))
	done
	echo "$sum"
}

# control_target PORT JSON: changes the behaviour of a mock target.
control_target () {
	curl -s --noproxy '*' -X POST -d "$2" "http://127.0.0.1:$1/control" > /dev/null
}

# is_complete NODE SHARDS: true when the answer to a query through the node covers all shards.
is_complete () {
	query "$1" register | grep -q "\"answered\":$2,"
}

# ratio A B: A divided by B, or - if B is 0.
ratio () {
	awk -v a="$1" -v b="$2" 'BEGIN { if (b == 0) print "-"; else printf "%.3f", a / b }'
}
