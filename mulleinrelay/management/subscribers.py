"""Subscribers to changes of the tree, with bounded update queues, and their publisher."""

import threading
from dataclasses import dataclass, field

from .schema import SchemaNode
from .tree import Tree, TreeDifference, diff_trees


@dataclass(slots=True, eq=False)
class Subscriber:
    """A client that is notified of changes. Thread-safe.

    An update is the difference between two successively published trees. An update that does not
    fit into the queue is dropped and counted.

    Attributes:
        fleet_children: Names of the subscribed children of /fleet; None for all.
        capacity: Maximum number of updates in the queue.
        queue: Pending updates.
        dropped_count: Number of updates that were dropped.
        is_closed: Whether the subscription has ended.
        condition: Guards `queue`, `dropped_count` and `is_closed`. It is notified when an update
            arrives and when the subscriber is closed.
    """

    fleet_children: set[str] | None
    capacity: int
    queue: list[TreeDifference] = field(default_factory=list)
    dropped_count: int = 0
    is_closed: bool = False
    condition: threading.Condition = field(default_factory=threading.Condition)

    def put(self, update: TreeDifference) -> None:
        """Queue an update, or count it as dropped if the queue is full."""
        with self.condition:
            if len(self.queue) >= self.capacity:
                self.dropped_count += 1
            else:
                self.queue.append(update)
            self.condition.notify()

    def take(self, timeout_s: float) -> list[TreeDifference]:
        """Remove and return all pending updates; if there are none, first wait for an update.

        The result is empty if no update was queued within `timeout_s` or before the subscriber was
        closed.
        """
        with self.condition:
            if not self.queue and not self.is_closed:
                self.condition.wait(timeout_s)
            updates = self.queue
            self.queue = []
            return updates

    def close(self) -> None:
        """Mark the subscriber as closed and wake the thread that waits in `take`."""
        with self.condition:
            self.is_closed = True
            self.condition.notify()


class Publisher:
    """The subscribers and the tree that was published last. Not thread-safe.

    `ManagementService` holds its `datastore_lock` during each method call.

    Attributes:
        subscribers: The subscribers that are notified of changes.
    """

    def __init__(self, schema: SchemaNode) -> None:
        """Create a publisher.

        `reset` must be called whenever a subscriber is added while there are no others, because
        changes are not published without subscribers.
        """
        self._schema = schema
        self.subscribers: list[Subscriber] = []
        self._published_fleet: Tree = {}

    def reset(self, tree: Tree) -> None:
        """Set the tree that the next published tree is compared with."""
        self._published_fleet = dict(tree.get("fleet", {}))

    def subscribed_children(self) -> set[str] | None:
        """Return the children of /fleet that any subscriber has subscribed to; None for all."""
        children: set[str] = set()
        for subscriber in self.subscribers:
            if subscriber.fleet_children is None:
                return None
            children |= subscriber.fleet_children
        return children

    def update_snapshot(self, tree: Tree, children: set[str] | None) -> TreeDifference:
        """Replace some children of /fleet in the published tree; return what has changed in them.

        Args:
            tree: The current tree, reduced to `children`.
            children: Names of the children to replace; None for all.
        """
        new_fleet = tree.get("fleet", {})
        old_fleet = {
            name: child
            for name, child in self._published_fleet.items()
            if children is None or name in children
        }
        difference = diff_trees(self._schema, {"fleet": old_fleet}, tree)
        for name in old_fleet:
            if name not in new_fleet:
                del self._published_fleet[name]
        self._published_fleet |= new_fleet
        return difference
