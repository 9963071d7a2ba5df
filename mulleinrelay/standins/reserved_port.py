"""Reservation of a loopback port for a process that listens at it later, or again after a stop."""

import socket


class ReservedPort:
    """A port that the system does not select for any other socket until it is released.

    A socket that is bound but does not listen holds the port. Connections to a reserved stream port
    are refused until another socket with SO_REUSEADDR, also of another process, listens at the same
    address. Without a reservation, the port is free while a process starts or restarts, and the
    system may select it for any other listener of the machine.

    Attributes:
        port: Number of the port.
    """

    def __init__(self, host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> None:
        """Reserve a port.

        Args:
            host: Address at which the port is reserved; empty for all addresses. The system does
                not select a port that is reserved at one address for listeners at all addresses.
            kind: Kind of the socket. A datagram port can be bound at the same address only after
                `release`.
        """
        self.holder = socket.socket(socket.AF_INET, kind)
        if kind == socket.SOCK_STREAM:
            self.holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.holder.bind((host, 0))
        self.port: int = self.holder.getsockname()[1]

    def release(self) -> None:
        """Make the port available to all sockets."""
        self.holder.close()
