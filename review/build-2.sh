#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file: all of it is Python of this
# repository and of its environment, so that compiling it shows that it is whole.
set -eu
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || script/setup
.venv/bin/python -m compileall -q cherrygrade review/standins_2 review/6 review/7 review/8 review/9 review/10
PYTHONPATH=. .venv/bin/python -c "import review.standins_2.case"
