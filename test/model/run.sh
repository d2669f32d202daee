#!/usr/bin/env bash
# Checks a Spin model. MODEL-without-GUARD removes a guard from the model and succeeds if the checker
# then finds a violated assertion, which shows that the guard is necessary.
# Usage: run.sh --list | run.sh MODEL | run.sh MODEL-without-GUARD
set -eu
cd "$(dirname "$0")"

if [ "$1" = --list ]; then
	printf '%s\n' lease lease-without-SETTLED lease-without-LEASE lease-without-LAPSE \
		lease-without-HOLD \
		log log-without-IDENTITY log-without-CURRENT log-without-ONE_VOTE \
		shares shares-without-SETTLED shares-without-COUNT shares-without-LEASE shares-without-HOLD \
		voters voters-without-UP_TO_DATE voters-without-SINGLE voters-without-JOINT \
		voters-without-SUCCESSOR \
		claim claim-without-CLAIM claim-without-HOLDER claim-without-CERTAIN
	exit 0
fi
model=${1%%-without-*}
guard=
[ "$model" = "$1" ] || guard=${1##*-without-}
here=$PWD
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cd "$scratch"
spin -a ${guard:+-DNO_$guard} "$here/$model.pml"
gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -w -o pan pan.c
./pan -m1000000 > out 2>&1 || true
grep -E 'errors:|states, stored|elapsed' out || cat out
if [ -z "$guard" ]; then
	grep -q 'errors: 0' out && ! grep -q 'max search depth too small\|out of memory' out
else
	grep -q 'assertion violated' out
fi
