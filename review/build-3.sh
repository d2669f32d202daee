#!/bin/sh
# Checks what the cases 11 to 15 need: the daemon, which the build of deploy/system.toml puts into
# target/, and Python, which that build uses too. Their stand-ins are Python modules beside this file
# and are not compiled.
set -eu
cd "$(dirname "$0")/.."
[ -x target/oleanderstiled ] || { echo "target/oleanderstiled is not built"; exit 2; }
python3 -B -c 'import sys; sys.path.insert(0, "review"); import stage_3, backends_3'
echo "ready"
