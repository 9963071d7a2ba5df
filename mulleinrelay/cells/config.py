"""Reader of `cells.ini`, the configuration file of cells; only `load_cells_config` does I/O."""

import os
from dataclasses import dataclass

from ..config.ini import NAME_PATTERN, IniSection, load_ini, parse_sections, reject_unknown_sections

SECTIONS = ("cells", "director")


@dataclass(slots=True, frozen=True)
class CellsConfig:
    """The settings of cells at one director.

    Attributes:
        enabled: Whether tenants are confined to cells.
        assignment_file: Path of the assignment file; it may be empty only if `enabled` is False.
        tenant_field: Name of the request field with the client's tenant; empty if there is none.
        poll_interval: Time between two checks of the assignment file for changes, ms.
        records_folder: Folder for this director's records; empty if none are written.
        max_open_requests: Maximum number of open requests at this director; 0 if only its memory
            limits them.
        rate: Maximum number of requests per second at this director; 0 if it is not limited.
        max_retry_after: Longest Retry-After of a rejected request, ms.
    """

    enabled: bool
    assignment_file: str
    tenant_field: str
    poll_interval: float
    records_folder: str
    max_open_requests: int
    rate: float
    max_retry_after: float


def parse_cells_config(text: str, folder: str) -> CellsConfig:
    """Parse the text of `cells.ini`.

    Args:
        text: Text of the file.
        folder: Folder that relative paths in the text start from.

    Raises:
        ConfigError: If the text is not valid.
    """
    texts = parse_sections(text)
    reject_unknown_sections(texts, SECTIONS)
    cells = IniSection("cells", texts.get("cells", {}))
    director = IniSection("director", texts.get("director", {}))
    enabled = cells.flag("enabled", False)
    assignment_file = cells.text("assignment", "")
    records_folder = cells.text("records", "")
    if enabled and not assignment_file:
        raise cells.error("assignment", "a path is required if enabled = yes")
    config = CellsConfig(
        enabled=enabled,
        assignment_file=_path_in(folder, assignment_file),
        tenant_field=cells.text("tenant_field", "tenant"),
        poll_interval=cells.number("read_every_ms", 1_000.0, 60_000.0, 50.0),
        records_folder=_path_in(folder, records_folder),
        max_open_requests=director.integer("open_most", 0, 1_000_000),
        rate=director.number("rate", 0.0),
        max_retry_after=director.number("come_back_most_ms", 5_000.0, 600_000.0),
    )
    if config.tenant_field and not NAME_PATTERN.fullmatch(config.tenant_field):
        raise cells.error("tenant_field", f"{config.tenant_field!r} is not a valid name")
    cells.reject_unknown_keys()
    director.reject_unknown_keys()
    return config


def _path_in(folder: str, path: str) -> str:
    return os.path.join(folder, path) if path else ""


def load_cells_config(path: str) -> CellsConfig:
    """Read and parse the file `cells.ini` at a path.

    Raises:
        ConfigError: If the file cannot be read or its content is invalid.
    """
    return load_ini(path, parse_cells_config)
