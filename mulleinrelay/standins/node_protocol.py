"""Parts of the protocol between directors and nodes, for the node servers of both labs.

With the command PULL a director attempts a read or a write at a node. KILL cancels such a command.
All other commands are health checks, which may ask for a load report. The module does no I/O.
"""

MAX_CANCELLED = 10_000  # ids per connection; one more, and all ids are forgotten


def decode_fields(text: bytes | memoryview) -> dict[str, str]:
    """Decode `key=value,key=value`; parts without `=` are ignored."""
    return dict(pair.split("=", 1) for pair in str(text, "ascii").split(",") if "=" in pair)


class CancelledCommands:
    """Ids of the commands that a director cancelled on one connection."""

    def __init__(self) -> None:
        self.ids: set[bytes] = set()

    def add(self, command_id: bytes) -> None:
        """Record that the command needs no answer.

        If there are more than MAX_CANCELLED ids, all are forgotten, which bounds the memory.
        """
        self.ids.add(command_id)
        if len(self.ids) > MAX_CANCELLED:
            self.ids.clear()

    def __contains__(self, command_id: bytes) -> bool:
        return command_id in self.ids
