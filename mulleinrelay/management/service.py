"""Management at a running director: one lock around the datastore, its participants and its model.

A thread of its own rolls back commits that were not confirmed in time, follows the assignment
file, and notifies subscribers of changes.
"""

import threading
from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass
from enum import StrEnum

from ..structured_log import StructuredLog
from . import tree as trees
from .datastore import CommitRequest, ConfirmRequest, Datastore, DatastoreState, Version
from .datastore_file import DatastoreFile
from .edits import Edit, apply_edit, describe_edits
from .errors import CommitRejectedError, ErrorCode, PathError
from .participants import AssignmentParticipant, DrainParticipant
from .paths import Path, fleet_children, format_path
from .state_view import StateView
from .subscribers import Publisher, Subscriber
from .tree import PathValue, Tree
from .yang_model import YangModel

STEP_INTERVAL = 250.0  # ms between steps of the thread: how late a rollback may come
STATE_INTERVAL = 1_000.0  # ms between comparisons of state for subscribers
MAX_EDITS = 10_000  # of one commit
LOG_EVENT = "management"
ASSIGNMENT_FILE_COMMENT = "the assignment file"  # of versions that take over what it says


class DataKind(StrEnum):
    """Which nodes a read gives."""

    ALL = "all"
    CONFIG = "config"
    STATE = "state"


@dataclass(slots=True, frozen=True)
class ManagementParts:
    """What the management of one director consists of."""

    datastore_file: DatastoreFile
    model: YangModel
    drains: DrainParticipant
    assignment: AssignmentParticipant
    state_view: StateView


class ManagementService:
    """Reads and changes the configuration of a running director. Thread-safe.

    Attributes:
        datastore_lock: Guards `datastore`, the model, the subscribers with what was published to
            them, and the assignment that the running version agrees with. It is taken before the
            locks of the coordinator and the cells.
    """

    def __init__(
        self, parts: ManagementParts, clock: Callable[[], float], log: StructuredLog
    ) -> None:
        """Takes over what is stored and applies it.

        Args:
            parts: The parts; the service owns them from now on.
            clock: Unix milliseconds.
            log: Where commits and drains are logged.

        Raises:
            DatastoreFileError: If the stored datastore cannot be used.
            CommitRejectedError: If what is stored cannot be applied.
        """
        self.drains = parts.drains
        self.assignment = parts.assignment
        self.state_view = parts.state_view
        self.model = parts.model
        self.schema = parts.model.schema
        self.clock = clock
        self.log = log
        self.datastore_lock = threading.RLock()
        self.datastore = Datastore(
            parts.model.validate, [parts.assignment, parts.drains], parts.datastore_file.save
        )
        self._publisher = Publisher(self.schema)
        self._followed_assignment: object = None  # that the running version agrees with
        self._state_due_at = 0.0
        self._logged_phases: dict[str, str] = {}  # of drains, by endpoint
        self._stopped = threading.Event()
        stored = parts.datastore_file.load()
        self._resume(stored if stored is not None else self.datastore.state)

    def _resume(self, state: DatastoreState) -> None:
        """Takes over the stored state; the assignment is that of its own file."""
        self.datastore.state = state
        last = state.versions[-1]
        self._finish_interrupted_commit(last)
        tree = self._with_assignment_in_use(last.tree)
        self.drains.commit(self.drains.prepare(tree, tree))
        if tree != last.tree:
            self.datastore.commit(self.clock(), CommitRequest(tree, "", ASSIGNMENT_FILE_COMMENT))

    def _finish_interrupted_commit(self, last: Version) -> None:
        """Applies the last version's assignment if a crash came before its file was written."""
        stored_version = last.participant_versions.get(self.assignment.name, 0)
        in_use = self.assignment.assignment
        if in_use is None or in_use.version >= stored_version:
            return
        if "assignment" not in last.tree.get("fleet", {}):
            return
        prepared = self.assignment.prepare({}, last.tree)
        self.assignment.commit(prepared)
        self.log.event(LOG_EVENT, text=f"version {last.number} brought to its end after a kill")

    def _with_assignment_in_use(self, tree: Tree) -> Tree:
        """Returns the tree, valid, with the assignment that the cells have now."""
        fleet = {
            name: child for name, child in tree.get("fleet", {}).items() if name != "assignment"
        }
        if assignment := self.assignment.tree():
            fleet["assignment"] = assignment
        return self.model.validate({"fleet": fleet}) if fleet else {}

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self._run, name="management", daemon=True).start()

    def stop(self) -> None:
        """Ends the thread with its present step, without waiting for it, and all subscriptions."""
        self._stopped.set()
        for subscriber in list(self._publisher.subscribers):
            subscriber.close()

    # Reading

    def tree(self, children: set[str] | None = None, config_only: bool = False) -> Tree:
        """Returns configuration and state.

        Args:
            children: Children of /fleet that are wanted; None: all.
            config_only: Whether to leave out the state.
        """
        with self.datastore_lock:
            running = self.datastore.running
            pending = self.datastore.state.pending_confirmation
            versions = list(self.datastore.state.versions)
        fleet = running.tree.get("fleet", {})
        configuration = {
            "fleet": {
                name: child for name, child in fleet.items() if children is None or name in children
            }
        }
        if config_only:
            return configuration
        remaining = max(0, int(pending.deadline - self.clock())) if pending is not None else 0
        datastore = {
            "version": str(running.number),
            "unconfirmed-for": remaining,
            "commit": [_commit_entry(version) for version in versions],
        }
        return self.state_view.tree(configuration, datastore, children)

    def read(self, paths: list[Path], kind: DataKind) -> list[PathValue]:
        """Returns the nodes that the paths match.

        Raises:
            PathError: If the model has no such node, or (`NOT_FOUND`) the tree has none for a path
                without wildcards.
        """
        with self.datastore_lock:
            self._follow_assignment_file()
        tree = self.tree(fleet_children(paths), kind == DataKind.CONFIG)
        if kind == DataKind.STATE:
            tree = trees.select_state(self.schema, tree)
        found: list[PathValue] = []
        for path in paths:
            matches = list(trees.read(self.schema, tree, path))
            if not matches and path and not any(element.has_wildcard for element in path):
                self.schema.find(path)  # raises a more exact error if the path itself is wrong
                raise PathError(f"{format_path(path)}: there is nothing", ErrorCode.NOT_FOUND)
            found += matches
        return found

    # Writing

    def apply_edits(
        self,
        edits: list[Edit],
        author: str,
        built_on: int | None = None,
        confirm: ConfirmRequest | None = None,
        comment: str = "",
    ) -> Version:
        """Commits all edits in their order, or none.

        Args:
            edits: The edits.
            author: Name of the client.
            built_on: Number of the version that the client has seen; None: any.
            confirm: Set if the client must confirm the commit.
            comment: For the history; empty: the edits themselves.

        Returns:
            The version that is running now.

        Raises:
            PathError: If a path or value does not fit the model.
            CommitRejectedError: If the commit is not made.
        """
        if len(edits) > MAX_EDITS:
            raise CommitRejectedError(f"{len(edits)} edits in one change; {MAX_EDITS} at most")
        with self.datastore_lock:
            self._follow_assignment_file()
            tree = self._editable_copy(edits)
            for edit in edits:
                apply_edit(self.schema, tree, edit)
            comment = comment or describe_edits(edits)
            request = CommitRequest(tree, author, comment, built_on, confirm)
            version = self.datastore.commit(self.clock(), request)
        self._report_commit(version)
        return version

    def _editable_copy(self, edits: list[Edit]) -> Tree:
        """Returns the running tree, with copies of only those children that the edits reach."""
        tree = dict(self.datastore.running.tree)
        children = fleet_children([edit.path for edit in edits])
        tree["fleet"] = {
            name: deepcopy(child) if children is None or name in children else child
            for name, child in tree.get("fleet", {}).items()
        }
        return tree

    def confirm(self, commit_id: str) -> None:
        """Keeps a confirmed commit; raises CommitRejectedError if none of that name is pending."""
        with self.datastore_lock:
            self.datastore.confirm(commit_id)
        self.log.event(LOG_EVENT, text=f"commit {commit_id} confirmed")

    def cancel(self, commit_id: str, author: str) -> Version:
        """Rolls a confirmed commit back; raises CommitRejectedError if it cannot be."""
        with self.datastore_lock:
            version = self.datastore.cancel(self.clock(), commit_id, author)
        self._report_commit(version)
        return version

    def rollback(self, number: int, author: str, built_on: int | None = None) -> Version:
        """Makes an older version's tree the running one, as a new version.

        Raises:
            CommitRejectedError: If the history has no such version, or the commit is not made.
        """
        with self.datastore_lock:
            self._follow_assignment_file()
            running = self.datastore.running.number
            if built_on is not None and built_on != running:
                raise CommitRejectedError(
                    f"built on version {built_on}, but {running} is running", ErrorCode.STALE
                )
            version = self.datastore.rollback(self.clock(), number, author)
        self._report_commit(version)
        return version

    def _report_commit(self, version: Version) -> None:
        text = f"version {version.number}: {version.comment}"
        self.log.event(LOG_EVENT, text=text, by=version.author)
        self._publish()

    def _follow_assignment_file(self) -> None:
        """Makes a version of an assignment that others have written; the cells have it already."""
        in_use = self.assignment.assignment
        if in_use is self._followed_assignment:  # a large table is not compared for nothing
            return
        running = self.datastore.running
        tree = self._with_assignment_in_use(running.tree)
        self._followed_assignment = in_use
        if tree != running.tree:
            self.datastore.commit(self.clock(), CommitRequest(tree, "", ASSIGNMENT_FILE_COMMENT))

    # In the thread

    def _run(self) -> None:
        while not self._stopped.wait(STEP_INTERVAL / 1000.0):
            try:
                self.step()
            except Exception as error:
                # The thread's top: the next step tries again, gNMI calls are served meanwhile
                self.log.exception("management", error)

    def step(self) -> None:
        """Rolls back what was not confirmed in time, follows the assignment file, publishes."""
        now = self.clock()
        rolled_back = None
        with self.datastore_lock:
            try:
                rolled_back = self.datastore.roll_back_expired(now)
                self._follow_assignment_file()
            except CommitRejectedError as error:
                rolled_back = None
                self.log.event(LOG_EVENT, text=f"cannot roll back: {error}")
        if rolled_back is not None:
            self._report_commit(rolled_back)
        self._log_drains(now)
        if now >= self._state_due_at:
            self._state_due_at = now + STATE_INTERVAL
            self._publish()

    def _log_drains(self, now: float) -> None:
        """Logs drains that the endpoint list contradicts or that have entered another phase."""
        for status in self.drains.intent.take_contradicted(now):
            seconds = (now - status.contradicted_since) / 1000.0
            self.log.event(
                LOG_EVENT,
                text=f"drain of {status.request.endpoint} is active, but the endpoint list has "
                f"said ready for {seconds:.0f} s",
            )
        for endpoint, status in list(self.drains.intent.drains.items()):
            phase = status.phase.value
            if self._logged_phases.get(endpoint) != phase:
                self._logged_phases[endpoint] = phase
                self.log.event(LOG_EVENT, text=f"drain of {endpoint} {phase}")

    # Subscriptions

    def subscribe(self, paths: list[Path], capacity: int) -> Subscriber:
        """Adds a subscriber to changes below these paths; `unsubscribe` removes it.

        Args:
            paths: What it subscribes to. It also gets changes of nodes beside them, from which
                `SubscribeCall` selects.
            capacity: Updates that may wait for it.
        """
        subscriber = Subscriber(fleet_children(paths), capacity)
        with self.datastore_lock:
            if not self._publisher.subscribers:
                self._publisher.reset(self.tree())
            self._publisher.subscribers.append(subscriber)
        return subscriber

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Removes a subscriber."""
        with self.datastore_lock:
            if subscriber in self._publisher.subscribers:
                self._publisher.subscribers.remove(subscriber)

    def _publish(self) -> None:
        """Notifies all subscribers of what differs from what was published last."""
        with self.datastore_lock:
            subscribers = list(self._publisher.subscribers)
            if not subscribers:
                return
            children = self._publisher.wanted_children()
            difference = self._publisher.advance(self.tree(children), children)
        if difference.changed or difference.deleted:
            for subscriber in subscribers:
                subscriber.put(difference)


def _commit_entry(version: Version) -> Tree:
    """Returns the entry of the datastore's history, by its names in the YANG model."""
    return {
        "version": str(version.number),
        "at": str(int(version.committed_at)),
        "by": version.author,
        "why": version.comment,
    }
