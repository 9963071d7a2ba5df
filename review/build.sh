#!/bin/sh
# The stand-ins of the cases are Python files of the standard library, so there is nothing to build:
# this only checks their syntax. It writes no bytecode, which would hold the paths of the machine.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../.venv/bin/python" -B -c '
import pathlib, sys
for file in sorted(pathlib.Path(sys.argv[1]).rglob("*.py")):
    compile(file.read_text(encoding="utf-8"), file.name, "exec")
' "$here"
