#!/bin/sh
# Builds what the cases 6 to 10 start, beside the build of the deploy file. The stand-ins are plain Python of the
# standard library (common2.py) and need no build; the senders of the cases 6, 7 and 9 are members of a fleet, which needs
# the pinned packages of requirements-fleet.txt in the same .venv.
set -eu
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/pip -q install -r requirements-fleet.txt
.venv/bin/python -c 'import lark, tomllib, xxhash'
for case in 6 7 8 9 10; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "review/$case/case.py"
done
