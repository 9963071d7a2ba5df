"""Loopback addresses by director; pure.

Each director listens at one address of its own, and reaches everything else at a second one, so
that a fault proxy knows by the address which director a connection belongs to.
"""

# Second octets of 127.X.high.low, where high and low are the director's number plus one
OWN_NETWORK = 10
FAR_NETWORK = 20
PEER_NETWORK = 30

NO_DIRECTOR = -1


def own(director: int) -> str:
    """Return the address at which the director listens."""
    return _address(OWN_NETWORK, director)


def far(director: int) -> str:
    """Return the address at which this director finds nodes and the event stream."""
    return _address(FAR_NETWORK, director)


def peer(director: int) -> str:
    """Return the address at which other directors send and receive this director's datagrams."""
    return _address(PEER_NETWORK, director)


def director_of(address: str) -> int:
    """Return the director that an address belongs to, or NO_DIRECTOR."""
    parts = address.split(".")
    networks = (str(OWN_NETWORK), str(FAR_NETWORK), str(PEER_NETWORK))
    if len(parts) != 4 or parts[0] != "127" or parts[1] not in networks:
        return NO_DIRECTOR
    return (int(parts[2]) << 8 | int(parts[3])) - 1


def _address(network: int, director: int) -> str:
    number = director + 1
    return f"127.{network}.{number >> 8}.{number & 255}"
