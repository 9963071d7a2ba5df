"""The management service of a running director.

One lock serializes the use of the datastore and the YANG model, and with it the commits of the
participants. A background thread rolls back commits that were not confirmed in time, imports
changes of the cell assignment that were made outside management, and notifies subscribers of
changes.
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

STEP_INTERVAL = 250.0  # ms between steps of the thread, and so the maximum delay of a rollback
STATE_INTERVAL = 1_000.0  # ms between comparisons of the state, to send its changes to subscribers
MAX_EDITS_PER_COMMIT = 10_000
LOG_EVENT = "management"
ASSIGNMENT_FILE_COMMENT = "the assignment file"  # comment of versions imported from that file


class DataKind(StrEnum):
    """The kinds of nodes that a read can select."""

    ALL = "all"
    CONFIG = "config"
    STATE = "state"


@dataclass(slots=True, frozen=True)
class ManagementComponents:
    """The components of one director's management."""

    datastore_file: DatastoreFile
    model: YangModel
    drain_participant: DrainParticipant
    assignment_participant: AssignmentParticipant
    state_view: StateView


class ManagementService:
    """Access to the configuration and state of a running director. Thread-safe.

    Attributes:
        datastore_lock: Guards `datastore`, the model, the publisher with its subscribers, and
            `_synced_assignment`. It is acquired before the locks of the coordinator and the cells.
            Without it, `stop` reads the subscribers and `GnmiServicer.set` the running version.
    """

    def __init__(
        self, components: ManagementComponents, clock: Callable[[], float], log: StructuredLog
    ) -> None:
        """Load the stored datastore and apply its running configuration.

        Args:
            components: The components, which the service owns from now on.
            clock: Returns the time in Unix milliseconds.
            log: Receives the log events of commits and drains.

        Raises:
            DatastoreFileError: If the stored datastore cannot be used.
            CommitRejectedError: If the stored configuration cannot be applied, or the assignment in
                use cannot be validated or stored.
        """
        self.drain_participant = components.drain_participant
        self.assignment_participant = components.assignment_participant
        self.state_view = components.state_view
        self.model = components.model
        self.schema = components.model.schema
        self.clock = clock
        self.log = log
        self.datastore_lock = threading.RLock()
        self.datastore = Datastore(
            components.model.validate,
            [components.assignment_participant, components.drain_participant],
            components.datastore_file.save,
        )
        self._publisher = Publisher(self.schema)
        self._synced_assignment: object = None  # last compared with the running version
        self._state_due_at = 0.0
        self._logged_phases: dict[str, str] = {}  # last logged phase of each drain, by endpoint
        self._stopped = threading.Event()
        stored = components.datastore_file.load()
        self._restore(stored if stored is not None else self.datastore.state)

    def _restore(self, state: DatastoreState) -> None:
        """Adopt a stored state and apply its drains; take the assignment from the assignment file.

        If the last commit was interrupted, its assignment is first written to that file. If the
        result differs from the stored configuration, it is committed as a new version.
        """
        self.datastore.state = state
        last = state.versions[-1]
        self._finish_interrupted_commit(last)
        tree = self._with_current_assignment(last.tree)
        self.drain_participant.commit(self.drain_participant.prepare(tree, tree))
        if tree != last.tree:
            self.datastore.commit(self.clock(), CommitRequest(tree, "", ASSIGNMENT_FILE_COMMENT))

    def _finish_interrupted_commit(self, last: Version) -> None:
        """Write and apply the last version's assignment if a crash prevented this.

        That is the case if the assignment file has an older version than it would have after the
        commit.
        """
        stored_version = last.participant_versions.get(self.assignment_participant.name, 0)
        current = self.assignment_participant.assignment
        if current is None or current.version >= stored_version:
            return
        if "assignment" not in last.tree.get("fleet", {}):
            return
        prepared = self.assignment_participant.prepare({}, last.tree)
        self.assignment_participant.commit(prepared)
        self.log.event(LOG_EVENT, text=f"version {last.number}: interrupted commit completed")

    def _with_current_assignment(self, tree: Tree) -> Tree:
        """Return the validated tree with its assignment replaced by the one that the cells use.

        If cells are off, the result has no assignment.
        """
        fleet = {
            name: child for name, child in tree.get("fleet", {}).items() if name != "assignment"
        }
        if assignment := self.assignment_participant.tree():
            fleet["assignment"] = assignment
        return self.model.validate({"fleet": fleet}) if fleet else {}

    def start(self) -> None:
        """Start the background thread."""
        threading.Thread(target=self._run, name="management", daemon=True).start()

    def stop(self) -> None:
        """Close all subscriptions and tell the thread to end after its current step.

        The method does not wait for the thread.
        """
        self._stopped.set()
        for subscriber in list(self._publisher.subscribers):
            subscriber.close()

    # Reading

    def tree(self, children: set[str] | None = None, config_only: bool = False) -> Tree:
        """Return the running configuration together with the state of the director.

        Args:
            children: Names of the children of /fleet to return; None for all.
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
        """Return the nodes that the paths match, in the order of the paths.

        Args:
            paths: The paths, which may have wildcards.
            kind: The kind of nodes to return.

        Raises:
            PathError: If `tree.read` raises it, or (with the code `NOT_FOUND`) a path without
                wildcards matches nothing in the tree.
            CommitRejectedError: If the assignment was changed outside management and the change
                cannot be imported.
        """
        with self.datastore_lock:
            self._sync_assignment()
        tree = self.tree(fleet_children(paths), kind == DataKind.CONFIG)
        if kind == DataKind.STATE:
            tree = trees.select_state(self.schema, tree)
        found: list[PathValue] = []
        for path in paths:
            matches = list(trees.read(self.schema, tree, path))
            if not matches and path and not any(element.has_wildcard for element in path):
                self.schema.find(path)  # raises a more specific error if the path itself is wrong
                raise PathError(f"{format_path(path)}: does not exist", ErrorCode.NOT_FOUND)
            found += matches
        return found

    # Writing

    def apply_edits(
        self,
        edits: list[Edit],
        author: str,
        expected_version: int | None = None,
        confirm: ConfirmRequest | None = None,
        comment: str = "",
    ) -> Version:
        """Commit all edits in the given order, or none of them.

        Args:
            edits: The edits.
            author: Name of the client.
            expected_version: Number of the version that must be running; None for any.
            confirm: The confirmation that the commit requires; None if it requires none.
            comment: Comment for the history; if empty, a description of the edits.

        Returns:
            The version that is running now.

        Raises:
            PathError: If a path or value does not fit the model.
            CommitRejectedError: If there are too many edits, the assignment was changed outside
                management and cannot be imported, or the commit is rejected or fails.
        """
        if len(edits) > MAX_EDITS_PER_COMMIT:
            raise CommitRejectedError(
                f"{len(edits)} edits in one change; {MAX_EDITS_PER_COMMIT} at most"
            )
        with self.datastore_lock:
            self._sync_assignment()
            tree = self._editable_copy(edits)
            for edit in edits:
                apply_edit(self.schema, tree, edit)
            comment = comment or describe_edits(edits)
            request = CommitRequest(tree, author, comment, expected_version, confirm)
            version = self.datastore.commit(self.clock(), request)
        self._log_and_publish(version)
        return version

    def _editable_copy(self, edits: list[Edit]) -> Tree:
        """Return the running tree with deep copies of the children of /fleet that the edits change.

        The other children are shared with the running version and must not be modified.
        """
        tree = dict(self.datastore.running.tree)
        children = fleet_children([edit.path for edit in edits])
        tree["fleet"] = {
            name: deepcopy(child) if children is None or name in children else child
            for name, child in tree.get("fleet", {}).items()
        }
        return tree

    def confirm(self, commit_id: str) -> None:
        """Confirm a pending commit, so that it is kept.

        Raises:
            CommitRejectedError: If no commit with that id is pending, or the datastore cannot be
                stored.
        """
        with self.datastore_lock:
            self.datastore.confirm(commit_id)
        self.log.event(LOG_EVENT, text=f"commit {commit_id} confirmed")

    def cancel(self, commit_id: str, author: str) -> Version:
        """Roll back a pending commit at once.

        Returns:
            The version that the rollback created.

        Raises:
            CommitRejectedError: If no commit with that id is pending, or the rollback fails.
        """
        with self.datastore_lock:
            version = self.datastore.cancel(self.clock(), commit_id, author)
        self._log_and_publish(version)
        return version

    def rollback(self, number: int, author: str, expected_version: int | None = None) -> Version:
        """Commit the tree of an older version as a new version, unless it equals the running one.

        Args:
            number: Number of the older version.
            author: Name of the client.
            expected_version: Number of the version that must be running; None for any.

        Returns:
            The version that is running now.

        Raises:
            CommitRejectedError: If the history has no such version, another version than the
                expected one is running, the assignment was changed outside management and cannot be
                imported, or the commit is rejected or fails.
        """
        with self.datastore_lock:
            self._sync_assignment()
            running = self.datastore.running.number
            if expected_version is not None and expected_version != running:
                raise CommitRejectedError(
                    f"built on version {expected_version}, but version {running} is running",
                    ErrorCode.STALE,
                )
            version = self.datastore.rollback(self.clock(), number, author)
        self._log_and_publish(version)
        return version

    def _log_and_publish(self, version: Version) -> None:
        text = f"version {version.number}: {version.comment}"
        self.log.event(LOG_EVENT, text=text, by=version.author)
        self._publish()

    def _sync_assignment(self) -> None:
        """Commit the assignment that the cells use, if it was changed outside management.

        If the commit fails, it is not tried again before the cells use yet another assignment.

        Raises:
            CommitRejectedError: If the assignment is not valid in the model, or the commit fails.
        """
        current = self.assignment_participant.assignment
        if current is self._synced_assignment:  # saves comparing a large tenant table
            return
        running = self.datastore.running
        tree = self._with_current_assignment(running.tree)
        self._synced_assignment = current
        if tree != running.tree:
            self.datastore.commit(self.clock(), CommitRequest(tree, "", ASSIGNMENT_FILE_COMMENT))

    # In the background thread

    def _run(self) -> None:
        while not self._stopped.wait(STEP_INTERVAL / 1000.0):
            try:
                self.step()
            except Exception as error:
                # Top level of the thread: logs the exception and continues. The next step tries
                # again, and gNMI calls are served in the meantime.
                self.log.exception("management", error)

    def step(self) -> None:
        """Roll back an expired commit, import the assignment in use and log changes of drains.

        Subscribers are notified every `STATE_INTERVAL`, and also after a rollback unless the import
        fails in the same step.
        """
        now = self.clock()
        rolled_back = None
        with self.datastore_lock:
            try:
                rolled_back = self.datastore.roll_back_expired(now)
                self._sync_assignment()
            except CommitRejectedError as error:
                rolled_back = None
                self.log.event(
                    LOG_EVENT, text=f"rollback or import of the assignment failed: {error}"
                )
        if rolled_back is not None:
            self._log_and_publish(rolled_back)
        self._log_drains(now)
        if now >= self._state_due_at:
            self._state_due_at = now + STATE_INTERVAL
            self._publish()

    def _log_drains(self, now: float) -> None:
        """Log drains with a new phase, and those that `DrainIntent.take_contradicted` returns."""
        for status in self.drain_participant.intent.take_contradicted(now):
            seconds = (now - status.contradicted_since) / 1000.0
            self.log.event(
                LOG_EVENT,
                text=f"drain of {status.request.endpoint} is active, but the endpoint list has "
                f"shown it as ready for {seconds:.0f} s",
            )
        for endpoint, status in list(self.drain_participant.intent.statuses.items()):
            phase = status.phase.value
            if self._logged_phases.get(endpoint) != phase:
                self._logged_phases[endpoint] = phase
                self.log.event(LOG_EVENT, text=f"drain of {endpoint}: phase {phase}")

    # Subscriptions

    def subscribe(self, paths: list[Path], capacity: int) -> Subscriber:
        """Add a subscriber to changes below the paths; `unsubscribe` removes it.

        Args:
            paths: The subscribed paths. The subscriber gets all changes below the children of
                /fleet that the paths of any subscriber lead to. `SubscribeCall` selects the changes
                that its own paths match.
            capacity: Maximum number of updates in the subscriber's queue.
        """
        subscriber = Subscriber(fleet_children(paths), capacity)
        with self.datastore_lock:
            if not self._publisher.subscribers:
                self._publisher.reset(self.tree())
            self._publisher.subscribers.append(subscriber)
        return subscriber

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Remove a subscriber."""
        with self.datastore_lock:
            if subscriber in self._publisher.subscribers:
                self._publisher.subscribers.remove(subscriber)

    def _publish(self) -> None:
        """Publish the current tree: queue its differences from the last published tree.

        Each subscriber's queue gets them; nothing is published while there are no subscribers.
        """
        with self.datastore_lock:
            subscribers = list(self._publisher.subscribers)
            if not subscribers:
                return
            children = self._publisher.subscribed_children()
            difference = self._publisher.update_snapshot(self.tree(children), children)
        if difference.changed or difference.deleted:
            for subscriber in subscribers:
                subscriber.put(difference)


def _commit_entry(version: Version) -> Tree:
    """Return a version as an entry of the list `commit` in the YANG model."""
    return {
        "version": str(version.number),
        "at": str(int(version.committed_at)),
        "by": version.author,
        "why": version.comment,
    }
