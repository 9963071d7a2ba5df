"""Our own file beside the platform's: whether cells are on here, and what this director has. Pure
but for `load`.
"""

import os
from dataclasses import dataclass

from ..config.ini import NAME_PATTERN, IniSection, load_ini, parse_sections
from ..errors import ConfigError


@dataclass(slots=True, frozen=True)
class CellsConfig:
    enabled: bool
    assignment_file: str  # path
    tenant_field: str  # of the clients' map; empty: none
    poll_interval: float  # ms
    records_folder: str  # folder; empty: none are kept
    max_open_requests: int  # 0: by the memory
    rate: float  # requests a second that this director can bear; 0: not bounded
    max_retry_after: float  # ms


def parse_cells_config(text: str, folder: str) -> CellsConfig:
    """Paths are taken from `folder`. Raises ConfigError."""
    found = parse_sections(text)
    for title in found:
        if title not in ("cells", "director"):
            raise ConfigError(f"[{title}]: an unknown section; known are cells, director")
    cells, director = (
        IniSection("cells", found.get("cells", {})),
        IniSection("director", found.get("director", {})),
    )
    enabled = cells.flag("enabled", False)
    assignment, records = cells.text("assignment", ""), cells.text("records", "")
    if enabled and not assignment:
        raise cells.error("assignment", "a path is wanted where enabled = yes")
    own = CellsConfig(
        enabled,
        os.path.join(folder, assignment) if assignment else "",
        cells.text("tenant_field", "tenant"),
        cells.number("read_every_ms", 1_000.0, 60_000.0, 50.0),
        os.path.join(folder, records) if records else "",
        director.integer("open_most", 0, 1_000_000),
        director.number("rate", 0.0),
        director.number("come_back_most_ms", 5_000.0, 600_000.0),
    )
    if own.tenant_field and not NAME_PATTERN.fullmatch(own.tenant_field):
        raise cells.error("tenant_field", f"{own.tenant_field!r} is no name")
    cells.reject_unknown_keys()
    director.reject_unknown_keys()
    return own


def load_cells_config(path: str) -> CellsConfig:
    """Raises ConfigError."""
    return load_ini(path, parse_cells_config)
