"""Parts of the cases about orders whose keys only the caches of one cell know."""

import asyncio
import os

from stand import Pull, World

MEMORY_SPAN = 6000.0  # ms for which the nodes of a cell drop repeats
NORTH = ("s-01", "s-02")
SOUTH = ("s-03", "s-04")


def assignment(
    version: int,
    written: float,
    cells: dict[str, tuple[str, ...]],
    home: str,
    spread_ms: int = 1000,
) -> str:
    """Return an assignment file with the tenant acme in the cell `home`."""
    text = (
        f"[assignment]\nform = 1\nversion = {version}\nwritten = {written:.0f}\n"
        "default_tenant = shared\nunknown = default_tenant\n"
        f"spread_ms = {spread_ms}\nskew_ms = 100\nhorizon_ms = 6000\n"
    )
    for name, caches in cells.items():
        text += f"\n[cell {name}]\nweight = 1\ncaches = {' '.join(caches)}\n"
    return text + f"\n[tenant shared]\ncell = south\n\n[tenant acme]\ncell = {home}\n"


def write(path: str, text: str) -> None:
    """Replace a file."""
    with open(path + ".new", "w") as file:
        file.write(text)
    os.replace(path + ".new", path)


class OrderNodes:
    """Nodes that take orders; those of one advertised cell drop repeats of a key."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.runs: dict[str, dict[int, tuple[float, str]]] = {}  # by key, then by cell
        for node in world.nodes.values():
            node.handler = self.serve
        for name in SOUTH:
            world.nodes[name].cell = 2
        for name in NORTH:
            world.nodes[name].cell = 1

    async def serve(self, pull: Pull) -> None:
        """Run an order unless the cell knows its key, and answer 0.5 s later."""
        key = pull.fields["dedupe"]
        runs = self.runs.setdefault(key, {})
        known = runs.get(pull.node.cell)
        if known is not None and pull.came_at < known[0] + MEMORY_SPAN:
            self.world.record.line(f"{pull.node.name} drops the repeat of {key}")
        else:
            runs[pull.node.cell] = (pull.came_at, pull.node.name)
            self.world.record.line(f"{pull.node.name}, cell {pull.node.cell}, runs {key}")
            await asyncio.sleep(0.5)
        pull.answer("DONE", "why=MISS_ORIGIN,entity=w,issued=1", b"taken")

    def find_repeats(self) -> None:
        """Write down each order that ran in two cells."""
        for key, runs in self.runs.items():
            if len(runs) > 1:
                where = ", ".join(f"{name} (cell {cell})" for cell, (_, name) in runs.items())
                self.world.record.breaks(f"order {key} ran twice: {where}")


def write_cells_file(path: str, assignment_path: str, read_every_ms: int) -> None:
    """Write the configuration of cells of one director."""
    write(
        path,
        f"[cells]\nenabled = yes\nassignment = {assignment_path}\ntenant_field = tenant\n"
        f"read_every_ms = {read_every_ms}\nrecords =\n",
    )
