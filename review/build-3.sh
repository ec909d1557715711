#!/bin/sh
# The stand-ins of review/kit-4 and the cases are Python, with its standard library
# only: nothing to build, so this checks that they load. The project's programs come
# from the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for file in kit-4/*.py kit-4/more/*.py [0-9]*/case.py; do
  [ -f "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
