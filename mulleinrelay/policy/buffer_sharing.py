"""Sharing of the memory for received requests among the client connections.

Requests whose answer is outstanding, and parts of requests that are still being received, are kept
in memory. A limit for each connection does not bound their sum, and a limit for the sum alone would
let a few connections take all of it. The limit of a connection is therefore the unused part of the
memory: with n connections that take as much as they may, each holds 1/(n + 1) of the memory, and
the same amount stays free for a connection that holds nothing yet. Source: Choudhury and Hahne,
"Dynamic queue length thresholds for shared-memory packet switches", IEEE/ACM Transactions on
Networking 6(2), 1998, with a factor of 1.

No I/O and no clock. Sizes are in bytes.
"""


def may_hold_more(held: int, additional: int, used: int, capacity: int) -> bool:
    """Return whether a connection may hold additional bytes.

    Args:
        held: Bytes that the connection holds.
        additional: Bytes that the connection would hold in addition; 0 to ask whether it is within
            its limit.
        used: Bytes that all connections hold, including this one.
        capacity: Bytes that all connections together may hold.
    """
    return held + additional <= capacity - used
