# Shared by the runs of bench/; sources test/cluster.sh.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
. test/cluster.sh
LOAD=$BUILD/bench/load

# callers FIRST LAST: the callers' addresses of these nodes.
callers () {
	local list= i
	for i in $(seq "$1" "$2"); do
		list+="127.0.0.1:$((BASE + i)),"
	done
	echo "${list%,}"
}

# field NAME: reads a number from the JSON line on standard input.
field () {
	sed -n "s/.*\"$1\":\([0-9.]*\).*/\1/p"
}

# metric NODE NAME
metric () {
	curl -s --noproxy '*' -H "Authorization: Bearer $KEY" "http://127.0.0.1:$((BASE + 100 + $1))/metrics" |
		sed -n "s/^oleanderstile_$2 \([0-9]*\)/\1/p"
}

# sum_metric NODES NAME
sum_metric () {
	local sum=0 i
	for i in $(seq 1 "$1"); do
		sum=$((sum + $(metric "$i" "$2")))
	done
	echo "$sum"
}

# sum_counter FIRST-PORT COUNT NAME: over stand-in targets.
sum_counter () {
	local sum=0 i
	for i in $(seq "$1" $(($1 + $2 - 1))); do
		sum=$((sum + $(curl -s --noproxy '*' "http://127.0.0.1:$i/counters" | field "$3")))
	done
	echo "$sum"
}

# control PORT JSON: changes how a stand-in target behaves.
control () {
	curl -s --noproxy '*' -X POST -d "$2" "http://127.0.0.1:$1/control" > /dev/null
}

# whole NODE SHARDS: true when a query through the node covers every shard.
whole () {
	query "$1" register | grep -q "\"answered\":$2,"
}

ratio () {
	awk -v a="$1" -v b="$2" 'BEGIN { if (b == 0) print "-"; else printf "%.3f", a / b }'
}
