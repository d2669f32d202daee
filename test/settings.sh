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
BOOTSTRAP=true
LIST=
# Usual values, whole numbers where a bound has one.
declare -A USUAL=([bounds.retry_budget_ratio]=0.2 [bounds.retry_budget_slack]=56 [bounds.budget_window_s]=10
	[bounds.quota_window_s]=5 [bounds.quota_excess]=0.1 [bounds.quota_slack]=20 [bounds.warmup_factor]=1
	[bounds.warmup_slack]=5 [bounds.exposure_share]=0.1 [bounds.exposure_slack]=50 [bounds.drain_ms]=3000
	[bounds.rollback_ms]=5000 [cloud_api.rate_per_s]=55 [cloud_api.max_lag_ms]=800 [fault_tolerance.machines]=1)
# "usual": the values above; "fraction": these with a half added where they are whole. The other forms
# are those of unit-settings, which tries them for each value by itself.
FORMS=(usual fraction "" 0 1 2 3000 2147483648 1e12 -1 0.0 0.25 0.001 2.5 3000.0 3000.5 3e3 true false)

fail () {
	echo "settings: $*" >&2
	[ -f "$RUN/n1.log" ] && tail -n 5 "$RUN/n1.log" >&2
	exit 1
}

# value_of NAME FORM: the value of a declared number.
value_of () {
	case "$2" in
	usual) echo "${USUAL[$1]}" ;;
	fraction) [[ "${USUAL[$1]}" == *.* ]] && echo "${USUAL[$1]}" || echo "${USUAL[$1]}.5" ;;
	*) echo "$2" ;;
	esac
}

# fill_in ROLE FORM SEED: writes the settings of node 1 from the template of a role. All declared numbers
# have the form; the port of the only seed identifies the file in the log.
fill_in () {
	local name script=
	for name in $(grep -oE '\{\{(bounds|cloud_api|fault_tolerance)\.[a-z_]*' "deploy/$1.ini" | tr -d '{' | sort -u); do
		[ "$name" = cloud_api.address ] && continue
		[ -n "${USUAL[$name]:-}" ] || fail "deploy/$1.ini: $name has no usual value in this test"
		script+="s|{{$name}}|$(value_of "$name" "$2")|;"
	done
	sed -e "$script; s|{{node_name}}|node-1|; s|{{zone}}|zone-a|; s|{{ip}}|$HOST|" \
		-e "s|{{internal_port_range.0}}|$PORT|; s|{{internal_port_range.1}}|$((PORT + 3))|" \
		-e "s|{{seeds}}|$HOST:$3|; s|{{bootstrap}}|$BOOTSTRAP|; s|{{data_dir}}|$RUN/data|" \
		-e "s|{{listen.front}}|$HOST:$((PORT + 5))|; s|{{listen.readiness}}|$HOST:$((PORT + 6))|" \
		-e "s|{{listen.control}}|$HOST:$((PORT + 4))|; s|{{cloud_api.address}}|$LIST|" \
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
	[ "$2" = fraction ] || { end "$role" "$2"; return; }
	for form in "${FORMS[@]}"; do
		seed=$((seed + 1))
		fill_in "$role" "$form" "$seed"
		kill -HUP "${PIDS[n1]}"
		wait_for 10 logged SETTINGS_READ "$HOST:$seed" || fail "$role does not read bounds \"$form\" again"
		checks=$((checks + 1))
	done
	logged SETTINGS_BAD && fail "$role refused a form on a reload"
	fill_in "$role" "three" "$((seed + 1))"
	kill -HUP "${PIDS[n1]}"
	wait_for 10 logged SETTINGS_BAD || fail "$role does not tell of a bad file"
	sleep 0.3
	kill -0 "${PIDS[n1]}" || fail "$role ended when a bad file was read"
	logged SETTINGS_READ "$HOST:$((seed + 1))" && fail "$role has taken over a bad file"
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

# check_config FORM STATUS: what the command that checks settings says of bounds with a form.
check_config () {
	local status=0
	fill_in entry "$1" "$((PORT + 4))"
	"$BUILD/oleanderctl" check-config "$RUN/n1.ini" > "$RUN/checked" 2>&1 || status=$?
	[ "$status" = "$2" ] || fail "check-config with bounds \"$1\": status $status, expected $2: $(cat "$RUN/checked")"
	checks=$((checks + 1))
}

check_config usual 0
check_config fraction 0
check_config "" 0
check_config -1 7
grep -q 'front.drain_ms = -1' "$RUN/checked" || fail "check-config does not name a value that is replaced"
check_config three 6
for role in entry control; do
	for BOOTSTRAP in false "" 0 1 true; do check_start "$role" usual; done
	LIST=$HOST:$((PORT + 7))
	check_start "$role" usual
	LIST=
	for form in "${FORMS[@]}"; do
		check_start "$role" "$form"
	done
done
echo "settings: $checks checks passed"
