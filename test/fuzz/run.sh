#!/usr/bin/env bash
# Runs a fuzz target with a fixed seed and number of runs, starting from its corpus. Prints each
# failing input in base64.
# Usage: run.sh --list | run.sh NAME [RUNS [SEED]]
set -eu
cd "$(dirname "$0")/../.."

runs_of () {
	case $1 in
	messages) echo 200000 ;;
	replies) echo 100000 ;;
	settings) echo 20000 ;;
	gate) echo 100000 ;;
	query) echo 20000 ;;
	control) echo 600 ;;
	platform) echo 100000 ;;
	request) echo 200000 ;;
	response) echo 200000 ;;
	scatter) echo 100000 ;;
	list) echo 20000 ;;
	manifest) echo 30000 ;;
	limits) echo 2000 ;;
	esac
}

if [ "$1" = --list ]; then
	# The longest target comes first, so that the others run in parallel with it.
	printf '%s\n' control messages replies settings gate query platform request response scatter list manifest limits
	exit 0
fi
name=$1
runs=${2:-$(runs_of "$name")}
seed=${3:-1}
# Several instances may start at the same time; the lock lets one of them build.
exec 9> /tmp/oleanderstile-fuzz.lock
flock 9
[ -f build-fuzz/build.ninja ] || CC=clang meson setup build-fuzz -Dfuzz=true -Db_lundef=false > /dev/null
ninja -C build-fuzz > /dev/null
flock -u 9
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
mkdir -p "test/fuzz/corpus/$name"
build-fuzz/test/fuzz/"$name" -seed="$seed" -runs="$runs" -len_control=0 -max_len=2048 -timeout=60 -rss_limit_mb=4096 \
	-artifact_prefix="$scratch/" "$scratch" "test/fuzz/corpus/$name" 2>&1 || {
	for file in "$scratch"/crash-* "$scratch"/timeout-* "$scratch"/leak-*; do
		[ -f "$file" ] && echo "input: $(base64 -w0 "$file")"
	done
	exit 1
}
