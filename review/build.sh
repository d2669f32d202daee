#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review-N. The system itself is built by the command
# of the deploy file. Needs only a C compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
for source in review/[1-5]/case.c; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -Wall -Wextra -o "target/review-$number" \
		"$source" review/stage.c -lpthread
done
