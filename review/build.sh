#!/usr/bin/env bash
# The stand-ins are scripts for Python 3.8 or later and use its standard library only. There is
# nothing to compile; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/standins.py ./*/case.py <<'PY'
import asyncio, json, subprocess, sys, urllib.parse
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
print("the stand-ins can be run")
PY
