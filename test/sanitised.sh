#!/usr/bin/env bash
# Builds the daemon with the address sanitiser and runs short end-to-end tests with it: what callers may
# send, and a planned stop while requests are in flight. Guards against reads of freed memory, which
# have no effect that callers see.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SANITISED=${SANITISED:-build-sanitised}
[ -f "$SANITISED/build.ninja" ] || meson setup "$SANITISED" -Db_sanitize=address > /dev/null
ninja -C "$SANITISED" oleanderstiled
mkdir -p "$SANITISED/test"
cp "$BUILD/oleanderstiled-start" "$SANITISED/"
cp "$BUILD"/test/stand-in-platform "$BUILD/test/freeze" "$SANITISED/test/"
BUILD=$SANITISED bash test/callers.sh
BUILD=$SANITISED PLAYS=routings bash test/stops.sh
echo "sanitised: passed"
