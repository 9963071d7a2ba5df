"""The configuration datastore: running configuration, confirmed commits, rollback, history. Pure.

A commit goes through all participants or none, as in two-phase commit: each participant prepares
and may reject, the new version is stored, and only then does each participant commit. If one of
them fails even then, those that have committed are undone in reverse order.

Times are Unix milliseconds and passed in.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple, Protocol

from .errors import CommitRejectedError, ErrorCode
from .tree import Tree

MAX_VERSIONS = 50  # of the history; older ones are dropped
MAX_CONFIRM_TIMEOUT = 86_400_000.0  # ms: a day

Undo = Callable[[], None]


class Participant(Protocol):
    """A part of the running program that commits change."""

    name: str

    def prepare(self, old: Tree, new: Tree) -> Any:
        """Checks a change and computes what its commit needs; changes nothing.

        Raises:
            CommitRejectedError: If the change cannot be made.
        """

    def persisted_version(self, prepared: Any) -> int:
        """Returns the version that the participant's own file will have after this commit.

        After a crash it tells whether the commit was carried out. 0 if the participant stores
        nothing itself.
        """

    def commit(self, prepared: Any) -> Undo:
        """Applies a prepared change; returns what undoes it."""


@dataclass(slots=True, frozen=True)
class Version:
    """One committed configuration. Its tree is never changed.

    Attributes:
        number: Counts up by one with each commit.
        tree: The configuration.
        committed_at: When, in Unix milliseconds.
        author: Name of the client; empty for the director itself.
        comment: What was changed or why, for the history.
        participant_versions: By participant's name what `persisted_version` gave.
    """

    number: int
    tree: Tree
    committed_at: float
    author: str
    comment: str
    participant_versions: dict[str, int] = field(default_factory=dict)


class ConfirmRequest(NamedTuple):
    """A client's wish that its commit is rolled back unless it confirms it in time.

    Attributes:
        commit_id: The client's name for the commit.
        timeout: Milliseconds to the rollback.
    """

    commit_id: str
    timeout: float


@dataclass(slots=True, frozen=True)
class CommitRequest:
    """A commit as it is asked for.

    Attributes:
        tree: The new configuration.
        author: Name of the client; empty for the director itself.
        comment: For the history.
        built_on: Number of the version that the client has seen; None: any.
        confirm: Set if the client must confirm the commit.
    """

    tree: Tree
    author: str
    comment: str
    built_on: int | None = None
    confirm: ConfirmRequest | None = None


@dataclass(slots=True, frozen=True)
class PendingConfirmation:
    """A confirmed commit that its client has not confirmed yet.

    Attributes:
        commit_id: The client's name for the commit.
        deadline: When it is rolled back, in Unix milliseconds.
        rollback_tree: The configuration from before the commit.
    """

    commit_id: str
    deadline: float
    rollback_tree: Tree


@dataclass(slots=True)
class DatastoreState:
    """All that outlives a restart: the versions, the running one last, and a pending commit."""

    versions: list[Version]
    pending_confirmation: PendingConfirmation | None = None


def _empty_state() -> DatastoreState:
    return DatastoreState([Version(0, {}, 0.0, "", "empty")])


@dataclass(slots=True, eq=False)
class Datastore:
    """The versions of the configuration. Not thread-safe: `ManagementService` serializes calls.

    Attributes:
        validate: Returns a tree in canonical form; raises CommitRejectedError if it is not valid.
        participants: Those that each commit goes through, in the order of their commits.
        persist: Stores a state; raises CommitRejectedError if it cannot.
        state: The present state.
    """

    validate: Callable[[Tree], Tree]
    participants: Sequence[Participant]
    persist: Callable[[DatastoreState], None]
    state: DatastoreState = field(default_factory=_empty_state)

    @property
    def running(self) -> Version:
        """The running configuration."""
        return self.state.versions[-1]

    def commit(self, now: float, request: CommitRequest) -> Version:
        """Makes a tree the running configuration.

        A tree that changes nothing makes no version, unless it is to be confirmed.

        Returns:
            The version that is running now.

        Raises:
            CommitRejectedError: If the commit is not made; nothing is changed then.
        """
        running = self.running
        pending = self.state.pending_confirmation
        if request.built_on is not None and request.built_on != running.number:
            raise CommitRejectedError(
                f"built on version {request.built_on}, but version {running.number} is running",
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
                f"change {pending.commit_id} still wants its confirmation", ErrorCode.BUSY
            )
        if not 0.0 < timeout <= MAX_CONFIRM_TIMEOUT:
            raise CommitRejectedError(f"a confirmation within {timeout:g} ms can't be waited for")

    def confirm(self, commit_id: str) -> None:
        """Keeps a confirmed commit.

        Raises:
            CommitRejectedError: If no such commit is pending, or the state cannot be stored.
        """
        self._pending_commit(commit_id)
        state = DatastoreState(self.state.versions)
        self.persist(state)
        self.state = state

    def cancel(self, now: float, commit_id: str, author: str) -> Version:
        """Rolls a confirmed commit back at once; returns the version that this makes.

        Raises:
            CommitRejectedError: If no such commit is pending, or it cannot be rolled back.
        """
        pending = self._pending_commit(commit_id)
        return self._roll_back(now, pending, author, f"change {commit_id} was cancelled")

    def roll_back_expired(self, now: float) -> Version | None:
        """Rolls a commit back that was not confirmed in time.

        Returns:
            The version that this makes; None if no deadline has passed.

        Raises:
            CommitRejectedError: If it cannot be rolled back.
        """
        pending = self.state.pending_confirmation
        if pending is None or now < pending.deadline:
            return None
        return self._roll_back(now, pending, "", f"change {pending.commit_id} was not confirmed")

    def rollback(self, now: float, number: int, author: str) -> Version:
        """Makes an older version's tree the running configuration, as a new version.

        Raises:
            CommitRejectedError: If the history has no such version, or the commit is not made.
        """
        for version in self.state.versions:
            if version.number == number:
                request = CommitRequest(version.tree, author, f"back to version {number}")
                return self.commit(now, request)
        first = self.state.versions[0].number
        raise CommitRejectedError(
            f"there is no version {number}; kept are {first} to {self.running.number}"
        )

    def _pending_commit(self, commit_id: str) -> PendingConfirmation:
        pending = self.state.pending_confirmation
        if pending is None:
            raise CommitRejectedError(f"no change {commit_id} wants a confirmation")
        if pending.commit_id != commit_id:
            raise CommitRejectedError(
                f"no change {commit_id} wants a confirmation; {pending.commit_id} does"
            )
        return pending

    def _roll_back(
        self, now: float, pending: PendingConfirmation, author: str, comment: str
    ) -> Version:
        new = Version(self.running.number + 1, pending.rollback_tree, now, author, comment)
        return self._commit_version(new, None)

    def _commit_version(self, new: Version, pending: PendingConfirmation | None) -> Version:
        """Takes a version through all participants and the store, or through none.

        It is stored before any participant commits, together with the version that each
        participant's own file will have: after a crash in between, the participants are brought
        up to it at the next start.
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
            # Whatever fails in a participant, the others must not keep their part of the change;
            # the director keeps running on the old version
            for undo in reversed(undos):
                undo()
            self.persist(self.state)
            if isinstance(error, CommitRejectedError):
                raise
            raise CommitRejectedError(
                f"{type(error).__name__}: {error}; nothing was changed", ErrorCode.FAILED
            ) from error
