#!/bin/sh
# The stand-ins are Python of the standard library alone: nothing is compiled. This checks that each can be loaded by the
# interpreter that the build of the deploy file has made.
set -e
cd "$(dirname "$0")/.."
test -d .venv/gateway || { echo "run the build of the deploy file first" >&2; exit 2; }
for case in 1 2 3; do
    test -f "review/$case/case.py" || continue
    .venv/bin/python -B -c 'import runpy, sys; runpy.run_path(sys.argv[1], run_name="check")' "review/$case/case.py"
done
echo "review: the stand-ins load"
