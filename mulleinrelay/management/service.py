"""Management at a running director: one lock round the datastore, its parts and its model; changes
told to watchers.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..coordinator import RequestCoordinator
from ..structured_log import StructuredLog
from . import paths
from .datastore import Datastore, DatastoreState, RefusedError, Version
from .datastore_file import DatastoreFile
from .participants import AssignmentParticipant, DrainParticipant, StateView
from .paths import Path, PathError, Shape

STEP_EVERY = 250.0  # ms
STATE_EVERY = 1_000.0  # ms: how often state is looked at for those that watch it
EDITS_MOST = 10_000


@dataclass(slots=True)
class Edit:
    """One step of a change: `delete`, `replace` or `update`."""

    what: str
    path: Path
    value: Any = None


@dataclass(slots=True, eq=False)
class Watcher:
    """One who is told of changes, bounded: what it doesn't take in time is counted as lost."""

    names: set[str] | None  # children of /fleet that it wants; None: all
    most: int
    waiting: list[Any] = field(default_factory=list)
    lost: int = 0
    ended: bool = False
    rung: threading.Condition = field(default_factory=threading.Condition)

    def put(self, change: Any) -> None:
        with self.rung:
            if len(self.waiting) >= self.most:
                self.lost += 1
            else:
                self.waiting.append(change)
            self.rung.notify()

    def take(self, seconds: float) -> list[Any]:
        with self.rung:
            if not self.waiting and not self.ended:
                self.rung.wait(seconds)
            found, self.waiting = self.waiting, []
            return found

    def end(self) -> None:
        with self.rung:
            self.ended = True
            self.rung.notify()


class ManagementService:
    def __init__(
        self,
        facade: RequestCoordinator,
        log: StructuredLog,
        keeper: DatastoreFile,
        model: Any,
        drains: DrainParticipant,
        cells: AssignmentParticipant,
        view: StateView,
        clock: Callable[[], float],
    ) -> None:
        """`model`: has a `shape` and `check(tree)`. Raises KeepError where what was kept can't be
        used.
        """
        self.facade, self.log, self.model, self.view, self.clock = facade, log, model, view, clock
        self.shape: Shape = model.shape
        self.drains, self.cells = drains, cells
        self.lock = threading.RLock()
        self.store = Datastore(model.check, [cells, drains], keeper.save)
        self.watchers: list[Watcher] = []
        self.last: dict[str, Any] = {}
        self.state_due = 0.0
        self.phases: dict[str, str] = {}
        self.followed: Any = None  # the charter that the running version agrees with
        self.ended = threading.Event()
        kept = keeper.load()
        self._resume(kept if kept is not None else self.store.held)

    def _resume(self, held: DatastoreState) -> None:
        """Takes over what was kept; the assignment is that of its own file."""
        self.store.held = held
        last = held.versions[-1]
        mark = last.marks.get("assignment", 0)
        behind = self.cells.warden is not None and self.cells.charter().version < mark
        if behind and "assignment" in last.tree.get(
            "fleet", {}
        ):  # killed before the file was written
            self.cells.commit(self.cells.prepare({}, last.tree))
            self.log.event(
                "management", text=f"version {last.number} brought to its end after a kill"
            )
        tree = self._with_assignment(last.tree)
        self.drains.commit(self.drains.prepare(tree, tree))
        if tree != held.versions[-1].tree:
            self.store.commit(self.clock(), tree, "", "the assignment file")

    def _with_assignment(self, tree: dict[str, Any]) -> dict[str, Any]:
        fleet = {name: held for name, held in tree.get("fleet", {}).items() if name != "assignment"}
        if held := self.cells.tree():
            fleet["assignment"] = held
        return self.model.check({"fleet": fleet}) if fleet else {}

    def start(self) -> None:
        threading.Thread(target=self._go_on, name="management", daemon=True).start()

    def stop(self) -> None:
        self.ended.set()
        for watcher in list(self.watchers):
            watcher.end()

    # Reading

    def tree(self, names: set[str] | None = None, config_only: bool = False) -> dict[str, Any]:
        """The whole, or the named children of /fleet."""
        with self.lock:
            running, open_ = self.store.running, self.store.held.unconfirmed
            versions = list(self.store.held.versions)
        wanted = running.tree.get("fleet", {})
        wanted = {
            "fleet": {name: held for name, held in wanted.items() if names is None or name in names}
        }
        if config_only:
            return wanted
        left = max(0, int(open_.until - self.clock())) if open_ is not None else 0
        whole = self.view.tree(
            wanted,
            {
                "version": str(running.number),
                "unconfirmed-for": left,
                "commit": [
                    {
                        "version": str(one.number),
                        "at": str(int(one.at)),
                        "by": one.by,
                        "why": one.why,
                    }
                    for one in versions
                ],
            },
            names,
        )
        return whole

    def get(self, wanted: list[Path], kind: str) -> list[tuple[Path, Any]]:
        """`kind`: all, config, state. Raises PathError; `not found` where a path without wildcards
        is empty.
        """
        found: list[tuple[Path, Any]] = []
        with self.lock:
            self._follow()
        tree = self.tree(children(wanted), kind == "config")
        if kind == "state":
            tree = state_only(self.shape, tree)
        for path in wanted:
            here = list(paths.read(self.shape, tree, path))
            if (
                not here
                and path
                and not any(
                    name in ("*", "...") or any(value == "*" for _, value in keys)
                    for name, keys in path
                )
            ):
                self.shape.at(path)  # says what is wrong with it
                raise PathError(f"{paths.worded(path)}: there is nothing", "not found")
            found += here
        return found

    # Writing

    def set(
        self,
        edits: list[Edit],
        by: str,
        built_on: int | None = None,
        confirm: tuple[str, float] | None = None,
        why: str = "",
    ) -> Version:
        """All edits in their order, or none. Raises PathError, RefusedError."""
        if len(edits) > EDITS_MOST:
            raise RefusedError(f"{len(edits)} edits in one change; {EDITS_MOST} at most")
        with self.lock:
            self._follow()
            tree = dict(self.store.running.tree)
            names = children([edit.path for edit in edits])
            tree["fleet"] = {  # only what the edits reach is copied
                name: paths.copied(held) if names is None or name in names else held
                for name, held in tree.get("fleet", {}).items()
            }
            for edit in edits:
                if edit.what == "delete":
                    paths.delete(self.shape, tree, edit.path)
                elif edit.what == "replace":
                    paths.replace(self.shape, tree, edit.path, edit.value)
                else:
                    paths.update(self.shape, tree, edit.path, edit.value)
            why = why or ", ".join(
                f"{edit.what} {paths.worded(edit.path)}" for edit in edits[:3]
            ) + (f" and {len(edits) - 3} more" if len(edits) > 3 else "")
            new = self.store.commit(self.clock(), tree, by, why, built_on, confirm)
        self._told(new)
        return new

    def confirm(self, name: str) -> None:
        with self.lock:
            self.store.confirm(name)
        self.log.event("management", text=f"change {name} confirmed")

    def cancel(self, name: str, by: str) -> Version:
        with self.lock:
            new = self.store.cancel(self.clock(), name, by)
        self._told(new)
        return new

    def rollback(self, number: int, by: str, built_on: int | None = None) -> Version:
        with self.lock:
            self._follow()
            if built_on is not None and built_on != self.store.running.number:
                raise RefusedError(
                    f"built on version {built_on}, but {self.store.running.number} is running",
                    "stale",
                )
            new = self.store.rollback(self.clock(), number, by)
        self._told(new)
        return new

    def _told(self, new: Version) -> None:
        self.log.event("management", text=f"version {new.number}: {new.why}", by=new.by)
        self._publish()

    def _follow(self) -> None:
        """The assignment file may have changed by another hand; what that says is
        running already.
        """
        charter = self.cells.charter() if self.cells.warden is not None else None
        if charter is self.followed:  # a large table is not gone through for nothing
            return
        running = self.store.running
        tree = self._with_assignment(running.tree)
        self.followed = charter
        if tree != running.tree:
            self.store.commit(self.clock(), tree, "", "the assignment file")

    # By the clock, in a thread of its own

    def _go_on(self) -> None:
        while not self.ended.wait(STEP_EVERY / 1000.0):
            try:
                self.step()
            except Exception as broken:
                self.log.exception("management", broken)

    def step(self) -> None:
        now = self.clock()
        with self.lock:
            try:
                back = self.store.tick(now)
                self._follow()
            except RefusedError as wrong:
                back = None
                self.log.event("management", text=f"cannot go back: {wrong}")
        if back is not None:
            self._told(back)
        for drain in self.drains.intent.disagreeing(now):
            self.log.event(
                "management",
                text=f"drain of {drain.want.box} binds, but the list has said ready for "
                f"{(now - drain.ready_since) / 1000.0:.0f} s",
            )
        for box, drain in list(self.drains.intent.drains.items()):
            if self.phases.get(box) != drain.phase.value:
                self.phases[box] = drain.phase.value
                self.log.event("management", text=f"drain of {box} {drain.phase.value}")
        if now >= self.state_due:
            self.state_due = now + STATE_EVERY
            self._publish()

    # Watching

    def watch(self, wanted: list[Path], most: int) -> Watcher:
        watcher = Watcher(children(wanted), most)
        with self.lock:
            if not self.watchers:
                self.last = self.tree()
            self.watchers.append(watcher)
        return watcher

    def unwatch(self, watcher: Watcher) -> None:
        with self.lock:
            if watcher in self.watchers:
                self.watchers.remove(watcher)

    def _publish(self) -> None:
        """Tells watchers of what differs from what they were told last."""
        with self.lock:
            if not self.watchers:
                return
            names: set[str] | None = set()
            for watcher in self.watchers:
                names = None if names is None or watcher.names is None else names | watcher.names
            new = self.tree(names)
            old = (
                self.last
                if names is None
                else {
                    "fleet": {
                        name: held
                        for name, held in self.last.get("fleet", {}).items()
                        if name in names
                    }
                }
            )
            changed, gone = paths.differences(self.shape, old, new)
            self.last = {"fleet": self.last.get("fleet", {}) | new.get("fleet", {})}
            for name in [
                name
                for name in self.last["fleet"]
                if name not in new.get("fleet", {}) and (names is None or name in names)
            ]:
                del self.last["fleet"][name]
            watchers = list(self.watchers)
        if changed or gone:
            for watcher in watchers:
                watcher.put((changed, gone))


def children(wanted: list[Path]) -> set[str] | None:
    """Which children of /fleet paths ask for; None: all of them."""
    if any(len(path) < 2 or path[0][0] != "fleet" or path[1][0] in ("*", "...") for path in wanted):
        return None
    return {path[1][0] for path in wanted}


def state_only(shape: Shape, tree: Any) -> Any:
    """What is config false, with the keys that lead to it."""
    if shape.state or not isinstance(tree, dict):
        return tree
    found: dict[str, Any] = {}
    for name, held in tree.items():
        inner = shape.children.get(name)
        if inner is None:
            continue
        if inner.state:
            found[name] = held
        elif inner.is_list:
            entries = [
                {key: one[key] for key in inner.keys} | state_only(Shape(inner.children), one)
                for one in held
            ]
            if kept := [one for one in entries if len(one) > len(inner.keys)]:
                found[name] = kept
        elif inner.children and (below := state_only(inner, held)):
            found[name] = below
    return found
