"""An assignment file as text, to a charter and back; pure. A fault is a ConfigError whose text
names the key, as in `[tenant acme] rate: a number of 0 or more is wanted`.
"""

import ipaddress
import re
from collections.abc import Iterable

from ..config.ini import NAME_PATTERN, NUMBER_LIMIT, IniSection, parse_sections
from ..errors import ConfigError
from .model import (
    FILE_FORMAT_VERSION,
    REJECT,
    RENDEZVOUS,
    TABLE,
    TO_DEFAULT,
    Assignment,
    Cell,
    Limits,
    Migration,
    Rollout,
    Tenant,
)

GROUP_RANGE_PATTERN = re.compile(r"(\d{1,3})(?:-(\d{1,3}))?", re.ASCII)
MAX_GROUP = 255


def parse_assignment(text: str) -> Assignment:
    """Raises ConfigError; the charter is whole and agrees in itself."""
    found = parse_sections(text)
    if "assignment" not in found:
        raise ConfigError("[assignment]: the section is missing")
    head = IniSection("assignment", found.pop("assignment"))
    form = head.integer("form")
    if form != FILE_FORMAT_VERSION:
        raise head.error(
            "form", f"this program reads form {FILE_FORMAT_VERSION}, the file has {form}"
        )
    limits = _limits(IniSection("limits", found.pop("limits", {})), Limits())
    kinds: dict[str, dict[str, object]] = {"cell": {}, "tenant": {}, "move": {}, "release": {}}
    readers = {"cell": _cell, "tenant": _tenant, "move": _move, "release": _release}
    for title, held in found.items():
        kind, _, name = title.partition(" ")
        name = name.strip()
        if kind not in kinds or not NAME_PATTERN.fullmatch(name):
            raise ConfigError(
                f"[{title}]: an unknown section; known are assignment, limits, cell NAME, "
                "tenant NAME, move NAME, release NAME"
            )
        if name in kinds[kind]:
            raise ConfigError(f"[{title}]: stands there twice")
        keys = IniSection(title, held)
        kinds[kind][name] = readers[kind](keys, name, limits)
        keys.reject_unknown_keys()
    charter = Assignment(
        version=head.integer("version"),
        written_at=head.number("written"),
        limits=limits,
        cells=kinds["cell"],
        tenants=kinds["tenant"],
        migrations=kinds["move"],
        rollouts=kinds["release"],
        placement_method=head.choice("how", (RENDEZVOUS, TABLE), RENDEZVOUS),
        load_bound=head.number("load_bound", 1.25, 100.0, 1.0),
        default_tenant=head.text("default_tenant", ""),
        unknown_tenant_policy=head.choice("unknown", (TO_DEFAULT, REJECT), TO_DEFAULT),
        propagation_time=head.number("spread_ms", 5_000.0),
        clock_skew=head.number("skew_ms", 500.0),
        retry_horizon=head.number("horizon_ms", 12_000.0),
    )
    head.reject_unknown_keys()
    validate_assignment(charter)
    return charter


# Keys of limits in the file, and the fields of `Limits` that hold them, in the order of both.
LIMIT_FIELDS_BY_KEY = {
    "rate": "rate",
    "burst": "burst",
    "open_most": "max_open_requests",
    "body_kb": "max_body_kb",
    "retries": "retry_ratio",
    "connections": "max_connections",
}


def _limits(keys: IniSection, default: Limits, whole: bool = True) -> Limits:
    """`whole`: nothing else stands in this section."""
    found = Limits(
        *(
            keys.integer(key, getattr(default, field))
            if key == "connections"
            else keys.number(key, float(getattr(default, field)))
            for key, field in LIMIT_FIELDS_BY_KEY.items()
        )
    )
    if whole:
        keys.reject_unknown_keys()
    return found


def _cell(keys: IniSection, name: str, limits: Limits) -> Cell:
    return Cell(
        name,
        keys.number("weight", 1.0, 1e6),
        keys.names("caches"),
        keys.integer("shuffle", 0, 10_000),
        keys.names("neighbours"),
        keys.number("reserve", 0.0, 1.0),
        keys.number("return_ms", 10_000.0),
        _limits(keys, Limits(), False),
    )


def _tenant(keys: IniSection, name: str, limits: Limits) -> Tenant:
    addresses = tuple(keys.text("addresses", "").replace(",", " ").split())
    for address in addresses:
        try:
            ipaddress.ip_network(address)
        except ValueError as wrong:
            raise keys.error("addresses", str(wrong)) from None
    groups = []
    for part in keys.text("groups", "").replace(",", " ").split():
        form = GROUP_RANGE_PATTERN.fullmatch(part)
        first, last = (int(form[1]), int(form[2] or form[1])) if form else (1, 0)
        if not first <= last <= MAX_GROUP:
            raise keys.error(
                "groups", f"{part!r} is no group or range of groups from 0 to {MAX_GROUP}"
            )
        groups.append((first, last))
    return Tenant(
        name,
        keys.text("cell", ""),
        keys.number("weight", 1.0, 1e6, 1e-6),
        addresses,
        tuple(groups),
        _limits(keys, limits, False),
    )


def _move(keys: IniSection, name: str, _: Limits) -> Migration:
    return Migration(
        name,
        keys.names("tenants"),
        keys.text("from"),
        keys.text("to"),
        keys.number("starts"),
        keys.number("warm_ms"),
        keys.number("shift_ms"),
        keys.number("drain_ms"),
        keys.number("warm_share", 0.05, 1.0),
        keys.number("held_at", 0.0),
        keys.number("resumed_at", 0.0),
        keys.number("aborted_at", 0.0),
    )


def _release(keys: IniSection, name: str, limits: Limits) -> Rollout:
    waves = tuple(
        tuple(wave.replace(",", " ").split())
        for wave in keys.text("waves", "").split(";")
        if wave.strip()
    )
    return Rollout(
        name,
        keys.text("canary"),
        waves,
        keys.number("starts"),
        keys.number("wave_ms"),
        _limits(keys, limits, False),
        keys.number("drop_most", 0.03, 1.0),
        keys.number("slower_most", 1.5, 100.0, 1.0),
        keys.flag("taken_back", False),
        int(keys.number("shuffle", -1.0, 10_000, -1.0)),
    )


def validate_assignment(charter: Assignment) -> None:
    """Whether the parts of a charter fit together; raises ConfigError."""
    cells, tenants = charter.cells, charter.tenants

    def known(title: str, key: str, name: str, among: Iterable[str], what: str) -> None:
        if name not in among:
            raise ConfigError(f"[{title}] {key}: no {what} {name!r}")

    if not cells:
        raise ConfigError("[cell NAME]: one cell at the least is wanted")
    if not any(cell.weight for cell in cells.values()):
        raise ConfigError("[cell NAME] weight: one cell at the least must have more than 0")
    if charter.default_tenant:
        known("assignment", "default_tenant", charter.default_tenant, tenants, "tenant")
    elif charter.unknown_tenant_policy == TO_DEFAULT:
        raise ConfigError("[assignment] default_tenant: wanted where unknown = default_tenant")
    holder: dict[str, str] = {}
    for name, cell in cells.items():
        for other in cell.failover_cells:
            known(f"cell {name}", "neighbours", other, cells, "cell")
            if other == name:
                raise ConfigError(f"[cell {name}] neighbours: a cell is no neighbour of its own")
        for cache in cell.caches:
            if cache in holder:
                raise ConfigError(
                    f"[cell {name}] caches: {cache} stands in cell {holder[cache]} already"
                )
            holder[cache] = name
    for name, tenant in tenants.items():
        if tenant.cell:
            known(f"tenant {name}", "cell", tenant.cell, cells, "cell")
        elif charter.placement_method == TABLE:
            raise ConfigError(f"[tenant {name}] cell: wanted where how = {TABLE}")
    _agree_moves(charter, known)
    for name, release in charter.rollouts.items():
        seen: set[str] = set()
        for key, names in (
            ("canary", (release.canary,)),
            *(("waves", wave) for wave in release.waves),
        ):
            for cell in names:
                known(f"release {name}", key, cell, cells, "cell")
                if cell in seen:
                    raise ConfigError(f"[release {name}] {key}: {cell} stands there twice")
                seen.add(cell)


def _agree_moves(charter: Assignment, known) -> None:
    moving: dict[str, str] = {}
    for name, move in charter.migrations.items():
        title = f"move {name}"
        known(title, "from", move.source, charter.cells, "cell")
        known(title, "to", move.target, charter.cells, "cell")
        if move.source == move.target:
            raise ConfigError(f"[{title}] to: the same cell as from")
        if not move.tenants:
            raise ConfigError(f"[{title}] tenants: one at the least is wanted")
        for tenant in move.tenants:
            known(title, "tenants", tenant, charter.tenants, "tenant")
            if tenant in moving:
                raise ConfigError(
                    f"[{title}] tenants: {tenant} is moved by {moving[tenant]} already"
                )
            moving[tenant] = name
        for key, at, least in (
            ("held_at", move.paused_at, move.starts_at),
            ("aborted_at", move.aborted_at, move.starts_at),
            ("resumed_at", move.resumed_at, move.paused_at or NUMBER_LIMIT),
        ):
            if at and at < least:
                raise ConfigError(f"[{title}] {key}: before the move starts or was held")


def format_assignment(charter: Assignment) -> str:
    """The text of a charter; `read` gives an equal one."""
    out = [
        "; written by `mulleinrelay cells`; changed by hand only with a higher version",
        "[assignment]",
    ]
    out += _lines(
        {
            "form": FILE_FORMAT_VERSION,
            "version": charter.version,
            "written": charter.written_at,
            "how": charter.placement_method,
            "load_bound": charter.load_bound,
            "default_tenant": charter.default_tenant,
            "unknown": charter.unknown_tenant_policy,
            "spread_ms": charter.propagation_time,
            "skew_ms": charter.clock_skew,
            "horizon_ms": charter.retry_horizon,
        }
    )
    out += ["", "[limits]", *_lines(_of_limits(charter.limits))]
    for name, cell in charter.cells.items():
        out += [
            "",
            f"[cell {name}]",
            *_lines(
                {
                    "weight": cell.weight,
                    "caches": cell.caches,
                    "shuffle": cell.shuffle_shards,
                    "neighbours": cell.failover_cells,
                    "reserve": cell.failover_quota,
                    "return_ms": cell.return_duration,
                }
                | _of_limits(cell.limits)
            ),
        ]
    for name, tenant in charter.tenants.items():
        groups = tuple(
            f"{first}-{last}" if first != last else str(first) for first, last in tenant.groups
        )
        out += [
            "",
            f"[tenant {name}]",
            *_lines(
                {
                    "cell": tenant.cell,
                    "weight": tenant.weight,
                    "addresses": tenant.addresses,
                    "groups": groups,
                }
                | _of_limits(tenant.limits)
            ),
        ]
    for name, move in charter.migrations.items():
        out += [
            "",
            f"[move {name}]",
            *_lines(
                {
                    "tenants": move.tenants,
                    "from": move.source,
                    "to": move.target,
                    "starts": move.starts_at,
                    "warm_ms": move.warm_up_duration,
                    "shift_ms": move.shift_duration,
                    "drain_ms": move.drain_duration,
                    "warm_share": move.warm_up_fraction,
                    "held_at": move.paused_at,
                    "resumed_at": move.resumed_at,
                    "aborted_at": move.aborted_at,
                }
            ),
        ]
    for name, release in charter.rollouts.items():
        out += [
            "",
            f"[release {name}]",
            *_lines(
                {
                    "canary": release.canary,
                    "waves": "; ".join(" ".join(wave) for wave in release.waves),
                    "starts": release.starts_at,
                    "wave_ms": release.wave_duration,
                    "drop_most": release.max_success_drop,
                    "slower_most": release.max_slowdown,
                    "taken_back": "yes" if release.is_rolled_back else "no",
                    "shuffle": release.shuffle_shards,
                }
                | _of_limits(release.limits)
            ),
        ]
    return "\n".join(out) + "\n"


def _of_limits(limits: Limits) -> dict[str, object]:
    return {key: getattr(limits, field) for key, field in LIMIT_FIELDS_BY_KEY.items()}


def _lines(held: dict[str, object]) -> list[str]:
    return [
        f"{key} = {_worded(value)}" for key, value in held.items() if value != "" and value != ()
    ]


def _worded(value: object) -> str:
    if isinstance(value, tuple):
        return " ".join(value)
    return repr(int(value)) if isinstance(value, float) and value == int(value) else str(value)
