"""Loopback addresses by director; pure. Each director listens at one of its own, and reaches all
others at a second one, so that a relay knows by the address who has come.
"""

OWN, FAR, PEER = 10, 20, 30  # 127.X.hi.lo
NUMBERS_MOST = 60_000


def own(director: int) -> str:
    return f"127.{OWN}.{(director + 1) >> 8}.{(director + 1) & 255}"


def far(director: int) -> str:
    """At which this director finds nodes and the stream."""
    return f"127.{FAR}.{(director + 1) >> 8}.{(director + 1) & 255}"


def peer(director: int) -> str:
    """At which others find this director's datagrams, and from which those come to them."""
    return f"127.{PEER}.{(director + 1) >> 8}.{(director + 1) & 255}"


def director_of(address: str) -> int:
    """The director that one of its addresses belongs to; -1: none."""
    parts = address.split(".")
    if len(parts) != 4 or parts[0] != "127" or parts[1] not in (str(OWN), str(FAR), str(PEER)):
        return -1
    return (int(parts[2]) << 8 | int(parts[3])) - 1
