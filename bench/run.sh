#!/usr/bin/env bash
# Everything that is measured, one after the other; each run says what it prints.
cd "$(dirname "$0")/.." || exit 1
for run in latency throughput hedge faults stops overload control; do
	echo "== bench/$run.sh"
	bash "bench/$run.sh"
done
echo "== build/bench/slopes"
"${BUILD:-build}/bench/slopes"
