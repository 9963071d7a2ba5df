"""Versions of what staff want: candidate, commit, confirmation, history. Pure; time (Unix ms) is
passed in.

A change goes through all that take part or through none: each part prepares, which may refuse, and
only when all are ready does each commit; where one fails even then, those that have committed are
undone in turn.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

HISTORY_MOST = 50
CONFIRM_MOST = 86_400_000.0  # ms


class RefusedError(Exception):
    """A change that is not made; `code`: invalid, stale, busy, failed."""

    def __init__(self, text: str, code: str = "invalid") -> None:
        super().__init__(text)
        self.code = code


class Participant(Protocol):
    """Something in the running program that a change reaches."""

    name: str

    def prepare(self, old: dict[str, Any], new: dict[str, Any]) -> Any:
        """Checks, and reckons what the commit needs; changes nothing. Raises RefusedError."""

    def mark(self, ready: Any) -> int:
        """What tells, after a kill, whether this commit had been done; 0 where nothing
        of it lasts.
        """

    def commit(self, ready: Any) -> Callable[[], None]:
        """Takes the change over; gives what undoes it."""


@dataclass(slots=True, frozen=True)
class Version:
    """One state of what staff want. Trees are never changed once they stand here."""

    number: int
    tree: dict[str, Any]
    at: float
    by: str
    why: str
    marks: dict[str, int] = field(default_factory=dict)  # of the parts, once they have committed


@dataclass(slots=True, frozen=True)
class Unconfirmed:
    """The last change goes back at `until` unless it is confirmed."""

    name: str
    until: float
    back_to: dict[str, Any]


@dataclass(slots=True)
class DatastoreState:
    """All that is kept over a restart."""

    versions: list[Version]
    unconfirmed: Unconfirmed | None = None


@dataclass(slots=True, eq=False)
class Datastore:
    # the model's: gives the canonical tree, raises RefusedError
    check: Callable[[dict[str, Any]], dict[str, Any]]
    parts: Sequence[Participant]
    keep: Callable[
        [DatastoreState], None
    ]  # makes it last; raises RefusedError, and then the change is undone
    held: DatastoreState = field(
        default_factory=lambda: DatastoreState([Version(0, {}, 0.0, "", "empty")])
    )

    @property
    def running(self) -> Version:
        return self.held.versions[-1]

    def commit(
        self,
        now: float,
        tree: dict[str, Any],
        by: str,
        why: str,
        built_on: int | None = None,
        confirm: tuple[str, float] | None = None,
    ) -> Version:
        """Makes a tree the running one. `built_on`: the version that its writer saw. `confirm`:
        (name, ms): it goes back after that time. A tree that changes nothing makes no version.
        Raises RefusedError, and then all is as it was.
        """
        running, open_ = self.running, self.held.unconfirmed
        if built_on is not None and built_on != running.number:
            raise RefusedError(
                f"built on version {built_on}, but version {running.number} is running", "stale"
            )
        if open_ is not None and confirm is not None:
            raise RefusedError(f"change {open_.name} still wants its confirmation", "busy")
        if confirm is not None and not 0.0 < confirm[1] <= CONFIRM_MOST:
            raise RefusedError(f"a confirmation within {confirm[1]:g} ms can't be waited for")
        tree = self.check(tree)
        if tree == running.tree and confirm is None:
            return running
        unconfirmed = open_
        if confirm is not None:
            unconfirmed = Unconfirmed(confirm[0], now + confirm[1], running.tree)
        return self._through(
            running.tree, Version(running.number + 1, tree, now, by, why), unconfirmed
        )

    def confirm(self, name: str) -> None:
        """Raises RefusedError."""
        self._waiting_for(name)
        held = DatastoreState(self.held.versions, None)
        self.keep(held)
        self.held = held

    def cancel(self, now: float, name: str, by: str) -> Version:
        """Goes back at once. Raises RefusedError."""
        open_ = self._waiting_for(name)
        return self._back(now, open_, by, f"change {name} was cancelled")

    def tick(self, now: float) -> Version | None:
        """Goes back where a confirmation has not come in time; gives the version that this made."""
        open_ = self.held.unconfirmed
        if open_ is None or now < open_.until:
            return None
        return self._back(now, open_, "", f"change {open_.name} was not confirmed")

    def rollback(self, now: float, number: int, by: str) -> Version:
        """Makes an older version's tree the running one, as a new version. Raises RefusedError."""
        found = next((version for version in self.held.versions if version.number == number), None)
        if found is None:
            first = self.held.versions[0].number
            raise RefusedError(
                f"there is no version {number}; kept are {first} to {self.running.number}"
            )
        return self.commit(now, found.tree, by, f"back to version {number}")

    def _waiting_for(self, name: str) -> Unconfirmed:
        open_ = self.held.unconfirmed
        if open_ is None or open_.name != name:
            raise RefusedError(
                f"no change {name} wants a confirmation"
                + (f"; {open_.name} does" if open_ is not None else "")
            )
        return open_

    def _back(self, now: float, open_: Unconfirmed, by: str, why: str) -> Version:
        running = self.running
        return self._through(
            running.tree, Version(running.number + 1, open_.back_to, now, by, why), None
        )

    def _through(
        self, old: dict[str, Any], new: Version, unconfirmed: Unconfirmed | None
    ) -> Version:
        """Takes a change through all parts and the store, or through none. It lasts before any part
        commits, with the mark that each part will bear then: killed in between, the parts are
        brought up to it at the start.
        """
        ready = [(part, part.prepare(old, new.tree)) for part in self.parts]
        new = replace(new, marks={part.name: part.mark(made) for part, made in ready})
        held = DatastoreState([*self.held.versions, new][-HISTORY_MOST:], unconfirmed)
        undo: list[Callable[[], None]] = []
        self.keep(held)
        try:
            for part, made in ready:
                undo.append(part.commit(made))
        except Exception as broken:
            for back in reversed(undo):
                back()
            self.keep(self.held)
            if isinstance(broken, RefusedError):
                raise
            why = f"{type(broken).__name__}: {broken}; nothing was changed"
            raise RefusedError(why, "failed") from broken
        self.held = held
        return new
