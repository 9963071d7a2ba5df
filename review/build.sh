#!/bin/sh
# The stand-ins of the cases are Python files of the standard library: this only compiles them.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../.venv/bin/python" -m compileall -q "$here"
