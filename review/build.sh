#!/usr/bin/env bash
# The stand-ins are Python files that need the standard library only: nothing is compiled, they are read once.
set -eu
cd "$(dirname "$0")"
for file in standins.py [1-3]/case.py; do
    ../.venv/bin/python -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
