"""The configuration datastore: running configuration, confirmed commits, rollback, history.

A commit is applied by all participants or by none, as in two-phase commit. First each participant
prepares the change and may reject it, then the new version is stored, and then each participant
commits. If a participant fails to commit, the commits of the earlier participants are undone in
reverse order, and the old state is stored again.

A confirmed commit (the term of NETCONF, RFC 6241) is rolled back unless its client confirms it
before a deadline. Until then it is pending. Only one confirmed commit can be pending at a time.
Other commits that are made in the meantime are rolled back together with it.

No I/O and no clock of its own: the time is an argument, in Unix milliseconds; `Datastore.persist`
stores a state, and the participants apply a commit.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple, Protocol

from .errors import CommitRejectedError, ErrorCode
from .tree import Tree

MAX_VERSIONS = 50  # in the history; older versions are dropped
MAX_CONFIRM_TIMEOUT = 86_400_000.0  # ms; one day

Undo = Callable[[], None]


class Participant(Protocol):
    """A part of the running program that applies committed configurations."""

    name: str

    def prepare(self, old: Tree, new: Tree) -> Any:
        """Check a change and compute the data that its commit needs, without side effects.

        Raises:
            CommitRejectedError: If the change cannot be applied.
        """

    def persisted_version(self, prepared: Any) -> int:
        """Return the version that the participant's own file will have after the commit.

        After a crash, a comparison of this version with the one in the file shows whether the
        participant had committed. Participants without a file return 0.
        """

    def commit(self, prepared: Any) -> Undo:
        """Apply a prepared change; return a function that undoes it."""


@dataclass(slots=True, frozen=True)
class Version:
    """A committed configuration. Its tree must not be modified.

    Attributes:
        number: The version's number, which increases by one with each commit.
        tree: The configuration.
        committed_at: Time of the commit, in Unix milliseconds.
        author: Name of the client; empty for the director itself.
        comment: What was changed or why, for the history.
        participant_versions: The result of `persisted_version` for this commit, by name of the
            participant.
    """

    number: int
    tree: Tree
    committed_at: float
    author: str
    comment: str
    participant_versions: dict[str, int] = field(default_factory=dict)


class ConfirmRequest(NamedTuple):
    """A client's request to roll its commit back unless the client confirms the commit in time.

    Attributes:
        commit_id: The client's name for the commit.
        timeout: Milliseconds from the commit to the rollback.
    """

    commit_id: str
    timeout: float


@dataclass(slots=True, frozen=True)
class CommitRequest:
    """A request for a commit.

    Attributes:
        tree: The new configuration.
        author: Name of the client; empty for the director itself.
        comment: Comment for the history.
        expected_version: Number of the version that must be running, or the commit is rejected;
            None for any version.
        confirm: The confirmation that the commit requires; None if it requires none.
    """

    tree: Tree
    author: str
    comment: str
    expected_version: int | None = None
    confirm: ConfirmRequest | None = None


@dataclass(slots=True, frozen=True)
class PendingConfirmation:
    """A confirmed commit that is pending: its client has not confirmed it yet.

    Attributes:
        commit_id: The client's name for the commit.
        deadline: Time of the rollback unless the commit is confirmed before, in Unix milliseconds.
        rollback_tree: The configuration that the rollback restores.
    """

    commit_id: str
    deadline: float
    rollback_tree: Tree


@dataclass(slots=True)
class DatastoreState:
    """The state that is kept across restarts.

    Attributes:
        versions: The history, oldest version first; the last version is the running one.
        pending_confirmation: The confirmed commit that is pending; None if there is none.
    """

    versions: list[Version]
    pending_confirmation: PendingConfirmation | None = None


def _empty_state() -> DatastoreState:
    return DatastoreState([Version(0, {}, 0.0, "", "empty")])


@dataclass(slots=True, eq=False)
class Datastore:
    """The versions of the configuration. Not thread-safe: `ManagementService` serializes calls.

    Attributes:
        validate: Returns a tree in canonical form; raises CommitRejectedError if it is not valid.
        participants: The participants of each commit, in the order in which they commit.
        persist: Stores a state; raises CommitRejectedError if it cannot be stored.
        state: The current state.
    """

    validate: Callable[[Tree], Tree]
    participants: Sequence[Participant]
    persist: Callable[[DatastoreState], None]
    state: DatastoreState = field(default_factory=_empty_state)

    @property
    def running(self) -> Version:
        """The running version."""
        return self.state.versions[-1]

    def commit(self, now: float, request: CommitRequest) -> Version:
        """Make a tree the running configuration.

        No new version is created if the tree equals the running one and the commit requires no
        confirmation.

        Returns:
            The version that is running now.

        Raises:
            CommitRejectedError: If the commit is rejected or fails; nothing is changed then.
        """
        running = self.running
        pending = self.state.pending_confirmation
        if request.expected_version is not None and request.expected_version != running.number:
            raise CommitRejectedError(
                f"built on version {request.expected_version}, "
                f"but version {running.number} is running",
                ErrorCode.STALE,
            )
        if request.confirm is not None:
            self._check_confirm_request(request.confirm)
        tree = self.validate(request.tree)
        if tree == running.tree and request.confirm is None:
            return running
        if request.confirm is not None:
            commit_id, timeout = request.confirm
            pending = PendingConfirmation(commit_id, now + timeout, running.tree)
        new = Version(running.number + 1, tree, now, request.author, request.comment)
        return self._commit_version(new, pending)

    def _check_confirm_request(self, confirm: ConfirmRequest) -> None:
        _, timeout = confirm
        pending = self.state.pending_confirmation
        if pending is not None:
            raise CommitRejectedError(
                f"change {pending.commit_id} is still waiting for its confirmation", ErrorCode.BUSY
            )
        if not 0.0 < timeout <= MAX_CONFIRM_TIMEOUT:
            raise CommitRejectedError(
                f"confirmation timeout is {timeout:g} ms; it must be above 0 and at most a day"
            )

    def confirm(self, commit_id: str) -> None:
        """Confirm the pending commit, so that it is kept.

        Raises:
            CommitRejectedError: If no commit with that id is pending, or the state cannot be
                stored.
        """
        self._require_pending(commit_id)
        state = DatastoreState(self.state.versions)
        self.persist(state)
        self.state = state

    def cancel(self, now: float, commit_id: str, author: str) -> Version:
        """Roll back the pending commit at once; return the version that the rollback created.

        Raises:
            CommitRejectedError: If no commit with that id is pending, or the rollback fails.
        """
        pending = self._require_pending(commit_id)
        return self._roll_back_pending(now, pending, author, f"change {commit_id} was cancelled")

    def roll_back_expired(self, now: float) -> Version | None:
        """Roll back the pending commit if its deadline has passed.

        Returns:
            The version that the rollback created; None if no commit has expired.

        Raises:
            CommitRejectedError: If the rollback fails.
        """
        pending = self.state.pending_confirmation
        if pending is None or now < pending.deadline:
            return None
        return self._roll_back_pending(
            now, pending, "", f"change {pending.commit_id} was not confirmed"
        )

    def rollback(self, now: float, number: int, author: str) -> Version:
        """Commit the tree of an older version as a new version; return the running version.

        As with `commit`, no new version is created if the tree equals the running one.

        Raises:
            CommitRejectedError: If the history has no such version, or the commit is rejected or
                fails.
        """
        for version in self.state.versions:
            if version.number == number:
                request = CommitRequest(version.tree, author, f"back to version {number}")
                return self.commit(now, request)
        first = self.state.versions[0].number
        raise CommitRejectedError(
            f"version {number} is not in the history, "
            f"which has versions {first} to {self.running.number}"
        )

    def _require_pending(self, commit_id: str) -> PendingConfirmation:
        pending = self.state.pending_confirmation
        if pending is None:
            raise CommitRejectedError(f"no change {commit_id} is waiting for a confirmation")
        if pending.commit_id != commit_id:
            raise CommitRejectedError(
                f"no change {commit_id} is waiting for a confirmation, "
                f"but change {pending.commit_id} is"
            )
        return pending

    def _roll_back_pending(
        self, now: float, pending: PendingConfirmation, author: str, comment: str
    ) -> Version:
        new = Version(self.running.number + 1, pending.rollback_tree, now, author, comment)
        return self._commit_version(new, None)

    def _commit_version(self, new: Version, pending: PendingConfirmation | None) -> Version:
        """Prepare a version with all participants, store it, and let the participants commit.

        The version is stored before any participant commits, together with the version that each
        participant's own file will have. If the program crashes between these steps, the
        participants are updated to the stored version at the next start.
        """
        old_tree = self.running.tree
        prepared = [
            (participant, participant.prepare(old_tree, new.tree))
            for participant in self.participants
        ]
        new = replace(
            new,
            participant_versions={
                participant.name: participant.persisted_version(change)
                for participant, change in prepared
            },
        )
        state = DatastoreState([*self.state.versions, new][-MAX_VERSIONS:], pending)
        self.persist(state)
        self._commit_participants(prepared)
        self.state = state
        return new

    def _commit_participants(self, prepared: list[tuple[Participant, Any]]) -> None:
        undos: list[Undo] = []
        try:
            for participant, change in prepared:
                undos.append(participant.commit(change))
        except Exception as error:
            # After any kind of failure in one participant, the others must not keep their part of
            # the change. The director keeps running on the old version.
            for undo in reversed(undos):
                undo()
            self.persist(self.state)
            if isinstance(error, CommitRejectedError):
                raise
            raise CommitRejectedError(
                f"{type(error).__name__}: {error}; nothing was changed", ErrorCode.FAILED
            ) from error
