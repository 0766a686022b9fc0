#!/bin/sh
# Builds the stand-ins of all cases: Python of the standard library, so a check that they compile and load.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in standins/*.py ?/case.py; do
    ../.venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONPATH=. ../.venv/bin/python -c 'import standins.loads, standins.play, standins.sites'
