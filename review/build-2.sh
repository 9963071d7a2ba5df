#!/bin/sh
# Builds what the scripts of the second review start: the requirements that the director's option
# for cells adds (declared by the project), and the stand-ins in review/stand_2 (Python, standard
# library only). To be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/pip -q install -r requirements-cells.txt
.venv/bin/python -m compileall -q review/stand_2
