#!/usr/bin/env bash
# End-to-end test of the settings that a deployment fills in, on loopback: an entry node and a control
# node start with the templates of deploy/, with all declared numbers in each form, and read them again
# while they run. Guards against a value with which a process ends at its start or that it refuses
# on a reload (review/14), and against a bad file that replaces the settings of a running process. A
# failed check prints its description.
set -u
cd "$(dirname "$0")/.." || exit 1
HOST=${HOST:-127.0.73.1} # the templates have a fixed port for metrics
PORT=${PORT:-24700}
. test/cluster.sh
trap stop_all EXIT
checks=0
FORMS=(3000 3000.5 3000.0 0.25 0 3e3 1e12 -1 true false "")

fail () {
	echo "settings: $*" >&2
	tail -n 5 "$RUN/n1.log" >&2
	exit 1
}

# fill_in ROLE FORM SEED: writes the settings of node 1 from the template of a role. All bounds have the
# form; the port of the only seed identifies the file in the log.
fill_in () {
	sed -e "s|{{bounds\.[a-z_]*}}|$2|; s|{{cloud_api.rate_per_s}}|$2|; s|{{cloud_api.max_lag_ms}}|$2|" \
		-e "s|{{fault_tolerance.machines}}|$2|; s|{{node_name}}|node-1|; s|{{zone}}|zone-a|; s|{{ip}}|$HOST|" \
		-e "s|{{internal_port_range.0}}|$PORT|; s|{{internal_port_range.1}}|$((PORT + 3))|" \
		-e "s|{{seeds}}|$HOST:$3|; s|{{bootstrap}}|true|; s|{{data_dir}}|$RUN/data|" \
		-e "s|{{listen.front}}|$HOST:$((PORT + 5))|; s|{{listen.readiness}}|$HOST:$((PORT + 6))|" \
		-e "s|{{listen.control}}|$HOST:$((PORT + 4))|; s|{{cloud_api.address}}||" \
		"deploy/$1.ini" > "$RUN/n1.new"
	grep -q '{{' "$RUN/n1.new" && fail "deploy/$1.ini: a placeholder that this test does not fill in"
	mv "$RUN/n1.new" "$RUN/n1.ini"
}

# logged EVENT [DETAIL]: whether the node has logged the event, with something in its detail.
logged () {
	grep "\"name\":\"$1\"" "$RUN/n1.log" | grep -q "${2:-.}"
}

# check_start ROLE FORM: starts a node, then sends SIGHUP for a file of each form and for a bad one.
check_start () {
	local role=$1 seed=$((PORT + 10)) form
	rm -rf "$RUN/data"
	mkdir "$RUN/data"
	: > "$RUN/n1.log"
	fill_in "$role" "$2" "$((PORT + 4))"
	start_node 1
	wait_for 10 logged NODE_STARTED || fail "$role does not start with bounds \"$2\""
	checks=$((checks + 1))
	[ "$2" = 3000 ] || { end "$role" "$2"; return; }
	for form in "${FORMS[@]}"; do
		seed=$((seed + 1))
		fill_in "$role" "$form" "$seed"
		kill -HUP "${PIDS[n1]}"
		wait_for 10 logged SETTINGS_READ "$HOST:$seed" || fail "$role does not read bounds \"$form\" again"
		checks=$((checks + 1))
	done
	logged SETTINGS_BAD && fail "$role refused a form on a reload"
	fill_in "$role" "three" "$seed"
	kill -HUP "${PIDS[n1]}"
	wait_for 10 logged SETTINGS_BAD || fail "$role does not tell of a bad file"
	sleep 0.3
	kill -0 "${PIDS[n1]}" || fail "$role ended when a bad file was read"
	checks=$((checks + 1))
	end "$role" "$2"
}

# end ROLE FORM: stops the node, which must end with status 0.
end () {
	local status=0
	kill -TERM "${PIDS[n1]}"
	wait "${PIDS[n1]}" || status=$?
	unset "PIDS[n1]"
	[ "$status" = 0 ] || fail "$1 with bounds \"$2\" ended with status $status"
	checks=$((checks + 1))
}

for role in entry control; do
	for form in "${FORMS[@]}"; do
		check_start "$role" "$form"
	done
done
echo "settings: $checks checks passed"
