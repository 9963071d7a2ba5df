"""Order in which client connections handle calls while they compete for CPU time.

Start-time fair queueing: each flow, here a connection, has a virtual time up to which it has used
its share. A flow that was idle continues at the current virtual time, so it precedes all flows that
have used CPU time since then, however many calls these have waiting. Source: Goyal, Vin and Cheng,
"Start-time fair queueing", IEEE/ACM Transactions on Networking 5(5), 1997, with equal weights.

No I/O and no clock: the cost of a turn is an argument, in any unit. Not thread-safe.
"""

import heapq
import itertools


class Flow:
    """One user of the queue, which has at most one turn at a time.

    Attributes:
        start_tag: Virtual time at which the current turn begins, or the last one began.
        finish_tag: Virtual time at which the last turn ended.
        is_backlogged: Whether the flow was going to request another turn when the last one ended.
    """

    def __init__(self) -> None:
        self.start_tag = 0.0
        self.finish_tag = 0.0
        self.is_backlogged = False


class FairQueue:
    """Queue of flows that wait for their turn. One flow at a time has the turn."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._current: Flow | None = None
        self._waiting: list[tuple[float, int, Flow]] = []
        self._numbers = itertools.count()  # first come, first served among equal tags

    def request_turn(self, flow: Flow) -> bool:
        """Give the flow the turn if no flow has it, or else add the flow to the queue.

        Returns:
            Whether the flow has the turn.
        """
        flow.start_tag = flow.finish_tag
        if not flow.is_backlogged:
            flow.start_tag = max(self._virtual_time, flow.finish_tag)
        if self._current is None:
            self._begin_turn(flow)
            return True
        heapq.heappush(self._waiting, (flow.start_tag, next(self._numbers), flow))
        return False

    def end_turn(self, flow: Flow, cost: float, is_backlogged: bool) -> Flow | None:
        """End the turn of the flow, and give the turn to the waiting flow with the lowest tag.

        Args:
            flow: The flow that has the turn.
            cost: What the turn has used.
            is_backlogged: Whether the flow will request another turn at once.

        Returns:
            The flow that has the turn now; None if no flow is waiting.
        """
        flow.finish_tag = flow.start_tag + cost
        flow.is_backlogged = is_backlogged
        self._current = None
        if not self._waiting:
            return None
        next_flow = heapq.heappop(self._waiting)[2]
        self._begin_turn(next_flow)
        return next_flow

    def _begin_turn(self, flow: Flow) -> None:
        self._current = flow
        self._virtual_time = max(self._virtual_time, flow.start_tag)
