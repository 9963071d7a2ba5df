"""Member updates that are still to be piggybacked on datagrams; pure.

After the `TransmitLimitedQueue` of hashicorp/memberlist: each update is sent a number of times that
grows with the logarithm of the fleet's size, those that were sent least first.
"""

import math
from collections.abc import Iterable

from .messages import MemberId

RETRANSMIT_MULTIPLIER = 2.0  # transmissions of an update by log2 of the fleet's size


def transmit_limit(cluster_size: int) -> int:
    """Returns how often one update is sent in a fleet of that size."""
    return math.ceil(RETRANSMIT_MULTIPLIER * math.log2(cluster_size + 1))


class BroadcastQueue:
    """Members whose current update is still to be sent, with the transmissions so far.

    The update itself is looked up when it is sent, so that the newest one goes out.
    """

    def __init__(self) -> None:
        self._transmissions: dict[MemberId, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def enqueue(self, member_id: MemberId) -> None:
        """Adds a member, or starts anew to count its transmissions."""
        self._transmissions[member_id] = 0

    def discard(self, member_id: MemberId) -> None:
        """Removes a member, if it is there."""
        self._transmissions.pop(member_id, None)

    def clear(self) -> None:
        """Removes all members."""
        self._transmissions.clear()

    def select(self, count: int, first: Iterable[MemberId] = ()) -> list[MemberId]:
        """Returns up to `count` members: those of `first`, then those sent least."""
        ranked = sorted(self._transmissions, key=lambda member_id: self._transmissions[member_id])
        return list(dict.fromkeys([*first, *ranked]))[:count]

    def count_transmission(self, member_id: MemberId, limit: int) -> None:
        """Notes that the update of a member was sent, and removes it at the limit."""
        if member_id not in self._transmissions:
            return
        self._transmissions[member_id] += 1
        if self._transmissions[member_id] >= limit:
            del self._transmissions[member_id]
