"""Queue of the member updates that are piggybacked on datagrams, without I/O.

It follows `TransmitLimitedQueue` of hashicorp/memberlist: each update is sent a limited number of
times, which grows with the logarithm of the fleet's size. Updates that were sent least go first.
"""

import math
from collections.abc import Iterable

from .messages import MemberId

RETRANSMIT_MULTIPLIER = 2.0  # transmissions of an update per log2 of the fleet's size


def transmit_limit(cluster_size: int) -> int:
    """Return how many times a director sends an update, for `cluster_size` active members."""
    return math.ceil(RETRANSMIT_MULTIPLIER * math.log2(cluster_size + 1))


class BroadcastQueue:
    """Members whose update is still to be sent, with the number of transmissions so far.

    The queue holds member ids, not updates. The caller looks up a member's update when it sends the
    update, so that the newest one is sent.
    """

    def __init__(self) -> None:
        self._transmissions: dict[MemberId, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def enqueue(self, member_id: MemberId) -> None:
        """Add a member; if it is queued already, set its number of transmissions to 0."""
        self._transmissions[member_id] = 0

    def discard(self, member_id: MemberId) -> None:
        """Remove a member if it is queued."""
        self._transmissions.pop(member_id, None)

    def clear(self) -> None:
        """Remove all members."""
        self._transmissions.clear()

    def select(self, count: int, preferred: Iterable[MemberId] = ()) -> list[MemberId]:
        """Return up to `count` members: the preferred ones, then the queued ones sent least.

        Preferred members need not be queued. No member is removed from the queue.
        """
        ranked = sorted(self._transmissions, key=lambda member_id: self._transmissions[member_id])
        return list(dict.fromkeys([*preferred, *ranked]))[:count]

    def record_transmission(self, member_id: MemberId, limit: int) -> None:
        """Count a transmission of a member's update, and remove the member at the limit.

        Members that are not queued are ignored.
        """
        if member_id not in self._transmissions:
            return
        self._transmissions[member_id] += 1
        if self._transmissions[member_id] >= limit:
            del self._transmissions[member_id]
