#!/usr/bin/env bash
# The stand-ins of kit-2, kit-3 and the cases are Python programs, which need no build.
# Checks that this machine's Python can run them.
cd "$(dirname "$0")" || exit 1
exec python3 - kit-2/*.py kit-3/*.py {6..10}/case.py <<'P'
import sys
import tomllib  # Python 3.11
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
print(f"{len(sys.argv) - 1} programs can be run")
P
