"""Entry point of the command line: `python -m mulleinrelay`."""

from .cli import main

main(prog_name="mulleinrelay")
