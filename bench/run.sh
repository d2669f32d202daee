#!/usr/bin/env bash
# Runs all benchmarks one after the other; the head of each script says what it measures.
cd "$(dirname "$0")/.." || exit 1
for run in latency throughput hedge faults stops overload busy control; do
	echo "== bench/$run.sh"
	bash "bench/$run.sh"
done
echo "== build/bench/slopes"
"${BUILD:-build}/bench/slopes"
