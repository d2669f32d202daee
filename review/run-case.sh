#!/usr/bin/env bash
# Runs a case: run-case.sh N. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0, the case runs without its disruption.
set -u
cd "$(dirname "$0")/.." || exit 2
[ -x target/oleanderstiled ] && [ -x "target/review-$1" ] || {
	echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
	exit 2
}
temp=$(mktemp -d) || exit 2
"target/review-$1" "review/$1" "$temp"
status=$?
if [ -n "${KEEP:-}" ]; then echo "logs: $temp"; else rm -rf "$temp"; fi
exit "$status"
