#!/usr/bin/env bash
# Formatter, linter, unit tests, fuzz targets with fixed seeds and counts, Spin models.
# Ends with "N passed, N failed", counted from what ran.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
passed=0
failed=0

# run NAME COMMAND...: one check; its output is shown when it fails.
run () {
	local name=$1 log
	shift
	log=$(mktemp)
	if "$@" > "$log" 2>&1; then
		passed=$((passed + 1))
		echo "ok    $name"
	elif grep -q "^$name:" KNOWN-RED.txt 2> /dev/null; then
		echo "known red  $name (KNOWN-RED.txt)"
		grep "^$name:" KNOWN-RED.txt
	else
		failed=$((failed + 1))
		echo "FAIL  $name"
		tail -n 40 "$log"
	fi
	rm -f "$log"
}

sources () {
	git ls-files '*.c' '*.h'
}

check_format () {
	sources | xargs clang-format --dry-run -Werror
}

check_lint () {
	git ls-files '*.c' | grep -v '^test/fuzz/' |
		xargs -P "$(nproc)" -n 4 clang-tidy -p "$BUILD" --quiet
}

check_events () {
	"$BUILD/oleanderstiled" --list-events | diff - <(grep '^|' docs/events.md)
}

check_options () {
	"$BUILD/oleanderstiled" --list-options | diff - <(grep '^|' docs/settings.md)
}

check_examples () {
	local file
	for file in etc/*.ini; do
		"$BUILD/oleanderctl" check-config "$file" || return 1
	done
}

run format check_format
run lint check_lint
[ -f docs/events.md ] && run events-catalogue check_events
[ -f docs/settings.md ] && run settings-manual check_options
compgen -G 'etc/*.ini' > /dev/null && run example-settings check_examples
for test in "$BUILD"/test/unit-*; do
	[ -x "$test" ] && [ -f "$test" ] && run "$(basename "$test")" "$test"
done
if [ -f test/fuzz/run.sh ]; then
	while read -r name; do
		run "fuzz-$name" bash test/fuzz/run.sh "$name"
	done < <(bash test/fuzz/run.sh --list)
fi
if [ -f test/model/run.sh ]; then
	while read -r name; do
		run "model-$name" bash test/model/run.sh "$name"
	done < <(bash test/model/run.sh --list)
fi
run platform env BUILD="$BUILD" bash test/platform.sh
run demo env BUILD="$BUILD" bash test/demo.sh
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
