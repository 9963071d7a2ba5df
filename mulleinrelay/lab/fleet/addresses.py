"""Loopback addresses of the directors. No I/O; `director` is the number of a director.

Each director has three addresses: it listens at the first, connects to nodes and the event stream
through the second, and exchanges datagrams with other directors through the third. The fault
proxies, which forward this traffic, listen at the second and third, so the address of a connection
or datagram identifies its director. A further address belongs to no director: labs reserve their
ports there.
"""

# Octet X of an address 127.X.high.low; high and low are the two bytes of N + 1 for director N
LISTEN_NETWORK = 10
PROXY_NETWORK = 20
ADVERTISED_NETWORK = 30

RESERVATION_ADDRESS = "127.40.0.1"

NO_DIRECTOR = -1


def listen_address(director: int) -> str:
    """Return the address at which the director listens."""
    return _address(LISTEN_NETWORK, director)


def proxy_address(director: int) -> str:
    """Return the address at which the director reaches nodes and the event stream."""
    return _address(PROXY_NETWORK, director)


def advertised_address(director: int) -> str:
    """Return the address to which other directors send datagrams for this director.

    The datagrams of this director reach the others from the same address.
    """
    return _address(ADVERTISED_NETWORK, director)


def director_of(address: str) -> int:
    """Return the number of the director to which an address belongs; NO_DIRECTOR if none."""
    parts = address.split(".")
    networks = (str(LISTEN_NETWORK), str(PROXY_NETWORK), str(ADVERTISED_NETWORK))
    if len(parts) != 4 or parts[0] != "127" or parts[1] not in networks:
        return NO_DIRECTOR
    return (int(parts[2]) << 8 | int(parts[3])) - 1


def _address(network: int, director: int) -> str:
    number = director + 1
    return f"127.{network}.{number >> 8}.{number & 255}"
