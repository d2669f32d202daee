#!/usr/bin/env bash
# Checks the stand-ins of the second review. They are Python programs, which need no build; Python 3
# is there because the build command of the deploy file runs meson, which is written in it.
set -eu
cd "$(dirname "$0")"
python3 - stand_in.py [6-9]/case.py 10/case.py <<'END'
import glob
import sys

for pattern in sys.argv[1:]:
    for name in glob.glob(pattern):
        with open(name, encoding="utf-8") as file:
            compile(file.read(), name, "exec")
        print("checked", name)
END
