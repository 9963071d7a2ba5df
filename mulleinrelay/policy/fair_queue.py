"""Order in which client connections handle calls while they compete for CPU time.

Start-time fair queueing: each flow, here a connection, has a virtual time up to which it has used
its share. A flow that was idle continues at the current virtual time, so it precedes all flows that
have used CPU time since then, however many calls these have waiting. Source: Goyal, Vin and Cheng,
"Start-time fair queueing", IEEE/ACM Transactions on Networking 5(5), 1997.

Hundreds of busy flows leave a usual one an equal share that may be too small. Three rules favor the
usual one, whose calls come now and then:

* What a flow has used is forgotten if it was idle for `IDLE_RESET_S`. A client that repeats a call
  as soon as it is answered is not idle for so long.
* A flow that still has calls when its turn ends has a lower weight.
* A new flow begins a little behind the others, so that flows that begin at the same time, or begin
  anew again and again, do not precede those in service.

No I/O and no clock: times are arguments, in seconds. Not thread-safe.
"""

import heapq
import itertools

BACKLOG_COST_FACTOR = 16.0  # the inverse of the weight of a flow that still has calls
NEW_FLOW_DELAY_S = 0.001  # of virtual time
IDLE_RESET_S = 0.05  # of real time


class Flow:
    """One user of the queue, which has at most one turn at a time.

    Attributes:
        start_tag: Virtual time at which the current turn begins, or the last one began.
        finish_tag: Virtual time at which the last turn ended.
        is_backlogged: Whether the flow was going to request another turn when the last one ended.
        is_new: Whether the flow has had no turn yet.
    """

    def __init__(self) -> None:
        self.start_tag = 0.0
        self.finish_tag = 0.0
        self.is_backlogged = False
        self.is_new = True


class FairQueue:
    """Queue of flows that wait for their turn. A limited number of flows have a turn."""

    def __init__(self, max_turns: int) -> None:
        """Create an empty queue for at most `max_turns` turns at the same time."""
        self.max_turns = max_turns
        self._turn_count = 0
        self._virtual_time = 0.0
        # Among equal tags, flows that were idle are first, then those that came first.
        self._waiting: list[tuple[float, bool, int, Flow]] = []
        self._numbers = itertools.count()

    def request_turn(self, flow: Flow, idle: float) -> bool:
        """Give the flow a turn if one is free, or else add the flow to the queue.

        Args:
            flow: The flow.
            idle: Time in seconds since the end of its last turn.

        Returns:
            Whether the flow has a turn.
        """
        was_idle = idle >= IDLE_RESET_S and not (flow.is_backlogged or flow.is_new)
        if was_idle:
            flow.start_tag = self._virtual_time
        elif flow.is_backlogged:
            flow.start_tag = flow.finish_tag
        else:
            flow.start_tag = max(self._virtual_time, flow.finish_tag)
        if self._turn_count < self.max_turns:
            self._begin_turn(flow)
            return True
        if flow.is_new:
            flow.start_tag += NEW_FLOW_DELAY_S
        heapq.heappush(self._waiting, (flow.start_tag, not was_idle, next(self._numbers), flow))
        return False

    def remove(self, flow: Flow) -> bool:
        """Remove a flow that waits for its turn; return whether it was waiting."""
        waiting = [entry for entry in self._waiting if entry[-1] is not flow]
        was_waiting = len(waiting) < len(self._waiting)
        if was_waiting:
            heapq.heapify(waiting)
            self._waiting = waiting
        return was_waiting

    def end_turn(self, flow: Flow, cost: float, is_backlogged: bool) -> Flow | None:
        """End the turn of the flow, and give it to the waiting flow with the lowest tag.

        Args:
            flow: A flow that has a turn.
            cost: CPU time in seconds that the turn has used.
            is_backlogged: Whether the flow will request another turn at once.

        Returns:
            The flow that has the turn now; None if no flow was waiting.
        """
        flow.finish_tag = flow.start_tag + cost * (BACKLOG_COST_FACTOR if is_backlogged else 1.0)
        flow.is_backlogged = is_backlogged
        self._turn_count -= 1
        if not self._waiting:
            return None
        next_flow = heapq.heappop(self._waiting)[-1]
        self._begin_turn(next_flow)
        return next_flow

    def _begin_turn(self, flow: Flow) -> None:
        self._turn_count += 1
        flow.is_new = False
        self._virtual_time = max(self._virtual_time, flow.start_tag)
