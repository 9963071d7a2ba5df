"""Division of a director's memory limit among its uses.

The limit and the number of descriptors are settings of the platform, and any of the smallest
values may meet any of the largest. Each use of memory that clients or endpoints can enlarge has
a limit of its own, in bytes or as a number of connections.

No I/O and no clock.
"""

from dataclasses import dataclass

# Resident memory of a director before it serves requests, with a reserve for its own threads.
BASE_MEMORY_MB = 20.0
# Fractions of the remaining memory. Their sum exceeds 1, since no load uses all of them fully.
REQUEST_FRACTION = 0.2
UNREAD_ANSWER_FRACTION = 0.1
RECEIVED_ANSWER_FRACTION = 0.12
CLIENT_CONNECTION_FRACTION = 0.5
UPSTREAM_CONNECTION_FRACTION = 0.2
MIN_POOL_BYTES = 1_000_000  # of the memory for requests, and of each kind of answers
# Resident memory of a connection's thread and objects, without its receive buffer.
CONNECTION_BYTES = 30_000
# Minimum and maximum size of the receive buffer of an upstream connection.
MIN_RECEIVE_BLOCK_BYTES = 8_192
MAX_RECEIVE_BLOCK_BYTES = 32_768

# Fractions of the file descriptors. The remaining descriptors are for the event stream, management
# and files.
CLIENT_DESCRIPTOR_FRACTION = 0.5
UPSTREAM_DESCRIPTOR_FRACTION = 0.4


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits of one director.

    Attributes:
        request_bytes: Memory for received requests.
        unread_answer_bytes: Memory for answers that clients have not read.
        received_answer_bytes: Memory for large answers that are being received from endpoints.
        receive_block_bytes: Size of the receive buffer of an upstream connection. Only an answer
            that does not fit into it uses the memory for large answers.
        max_clients: Maximum number of client connections.
        max_upstream_connections: Maximum number of upstream connections.
    """

    request_bytes: int
    unread_answer_bytes: int
    received_answer_bytes: int
    receive_block_bytes: int
    max_clients: int
    max_upstream_connections: int


def memory_limits(memory_mb: float, descriptors: int) -> MemoryLimits:
    """Return the limits of a director.

    Args:
        memory_mb: Memory limit of the director in MB.
        descriptors: Maximum number of file descriptors of the director.
    """
    available = max(0.0, memory_mb - BASE_MEMORY_MB) * 1e6
    upstream_bytes = max(MIN_POOL_BYTES, UPSTREAM_CONNECTION_FRACTION * available)
    upstream_descriptors = UPSTREAM_DESCRIPTOR_FRACTION * descriptors
    block_bytes = _receive_block_bytes(upstream_bytes / upstream_descriptors)
    client_bytes = max(MIN_POOL_BYTES, CLIENT_CONNECTION_FRACTION * available)
    return MemoryLimits(
        request_bytes=_pool_bytes(REQUEST_FRACTION, available),
        unread_answer_bytes=_pool_bytes(UNREAD_ANSWER_FRACTION, available),
        received_answer_bytes=_pool_bytes(RECEIVED_ANSWER_FRACTION, available),
        receive_block_bytes=block_bytes,
        max_clients=int(
            min(CLIENT_DESCRIPTOR_FRACTION * descriptors, client_bytes / CONNECTION_BYTES)
        ),
        max_upstream_connections=int(
            min(upstream_descriptors, upstream_bytes / (CONNECTION_BYTES + block_bytes))
        ),
    )


def _pool_bytes(fraction: float, available: float) -> int:
    return int(max(MIN_POOL_BYTES, fraction * available))


def _receive_block_bytes(bytes_per_connection: float) -> int:
    """Return the size of a receive buffer that leaves each upstream connection its share."""
    block_bytes = int(bytes_per_connection - CONNECTION_BYTES)
    return min(MAX_RECEIVE_BLOCK_BYTES, max(MIN_RECEIVE_BLOCK_BYTES, block_bytes))
