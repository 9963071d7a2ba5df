"""Subscribers to changes of the tree: a bounded update queue each, and what was published last."""

import threading
from dataclasses import dataclass, field

from .schema import SchemaNode
from .tree import Tree, TreeDifference, diff_trees


@dataclass(slots=True, eq=False)
class Subscriber:
    """One client that is notified of changes. Thread-safe.

    An update that does not fit into the queue is dropped and counted.

    Attributes:
        fleet_children: Children of /fleet that it subscribes to; None: all.
        capacity: Updates that may wait.
        queue: Updates that wait; guarded by `condition`, as are the next two.
        dropped_count: Updates that did not fit.
        is_closed: Whether the call has ended.
        condition: Notified when an update is queued or the subscriber closed.
    """

    fleet_children: set[str] | None
    capacity: int
    queue: list[TreeDifference] = field(default_factory=list)
    dropped_count: int = 0
    is_closed: bool = False
    condition: threading.Condition = field(default_factory=threading.Condition)

    def put(self, update: TreeDifference) -> None:
        """Queues an update, or counts it as dropped."""
        with self.condition:
            if len(self.queue) >= self.capacity:
                self.dropped_count += 1
            else:
                self.queue.append(update)
            self.condition.notify()

    def take(self, timeout_s: float) -> list[TreeDifference]:
        """Removes and returns all updates that wait; waits for one if there are none."""
        with self.condition:
            if not self.queue and not self.is_closed:
                self.condition.wait(timeout_s)
            updates = self.queue
            self.queue = []
            return updates

    def close(self) -> None:
        """Wakes the thread that waits in `take`."""
        with self.condition:
            self.is_closed = True
            self.condition.notify()


class Publisher:
    """All subscribers, and the tree as they have seen it last. Not thread-safe.

    Attributes:
        subscribers: Those that are notified of changes.
    """

    def __init__(self, schema: SchemaNode) -> None:
        """Starts without subscribers; `reset` gives it the tree that the first one reads."""
        self._schema = schema
        self.subscribers: list[Subscriber] = []
        self._fleet: Tree = {}

    def reset(self, tree: Tree) -> None:
        """Takes over a complete tree."""
        self._fleet = dict(tree.get("fleet", {}))

    def wanted_children(self) -> set[str] | None:
        """Returns the children of /fleet that any of the subscribers wants; None: all."""
        children: set[str] = set()
        for subscriber in self.subscribers:
            if subscriber.fleet_children is None:
                return None
            children |= subscriber.fleet_children
        return children

    def advance(self, tree: Tree, children: set[str] | None) -> TreeDifference:
        """Takes over some children of /fleet and returns what differs from before.

        Args:
            tree: The present tree, with these children only.
            children: Which they are; None: all.
        """
        new_fleet = tree.get("fleet", {})
        old_fleet = {
            name: child
            for name, child in self._fleet.items()
            if children is None or name in children
        }
        difference = diff_trees(self._schema, {"fleet": old_fleet}, tree)
        for name in old_fleet:
            if name not in new_fleet:
                del self._fleet[name]
        self._fleet |= new_fleet
        return difference
