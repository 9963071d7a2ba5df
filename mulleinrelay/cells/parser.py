"""An assignment file as text, to a charter and back; pure. A fault is a CharterError whose text
names the key, as in `[tenant acme] rate: a number of 0 or more is wanted`.
"""

import configparser
import ipaddress
import re
from collections.abc import Iterable
from dataclasses import fields

from .model import (
    FORM,
    REJECT,
    RENDEZVOUS,
    TABLE,
    TO_DEFAULT,
    Cell,
    Charter,
    CharterError,
    Limits,
    Move,
    Release,
    Tenant,
)

NAME = re.compile(r"[0-9A-Za-z_.:-]{1,128}", re.ASCII)
RANGE = re.compile(r"(\d{1,3})(?:-(\d{1,3}))?", re.ASCII)
GROUP_MOST = 255
LATEST = 1e15  # a Unix time in ms beyond this is no time
TEXT_MOST = 64_000_000


class Keys:
    """One section; each reading checks the form, and `done` finds keys that nobody asked for."""

    def __init__(self, title: str, held: dict[str, str]) -> None:
        self.title, self.held, self.read = title, held, set[str]()

    def fault(self, key: str, text: str) -> CharterError:
        return CharterError(f"[{self.title}] {key}: {text}")

    def text(self, key: str, default: str | None = None) -> str:
        self.read.add(key)
        value = self.held.get(key, default)
        if value is None:
            raise self.fault(key, "the key is missing")
        return value.strip()

    def number(
        self, key: str, default: float | None = None, most: float = LATEST, least: float = 0.0
    ) -> float:
        text = self.text(key, None if default is None else repr(default))
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not least <= value <= most:
            wanted = f"from {least:g} to {most:g}" if most < LATEST else f"of {least:g} or more"
            raise self.fault(key, f"a number {wanted} is wanted, not {text!r}")
        return value

    def whole(self, key: str, default: int | None = None, most: int = 1_000_000_000) -> int:
        value = self.number(key, default, most)
        if value != int(value):
            raise self.fault(key, "a whole number is wanted")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        value = self.text(key, "yes" if default else "no").lower()
        if value not in ("yes", "no"):
            raise self.fault(key, "yes or no is wanted")
        return value == "yes"

    def choice(self, key: str, among: Iterable[str], default: str) -> str:
        value = self.text(key, default)
        if value not in among:
            raise self.fault(key, f"one of {', '.join(among)} is wanted, not {value!r}")
        return value

    def names(self, key: str, default: str = "") -> tuple[str, ...]:
        found = tuple(self.text(key, default).replace(",", " ").split())
        for name in found:
            if not NAME.fullmatch(name):
                raise self.fault(key, f"{name!r} is no name (letters, digits, _ . : -)")
        if len(set(found)) != len(found):
            raise self.fault(key, "a name stands there twice")
        return found

    def done(self) -> None:
        if strange := sorted(set(self.held) - self.read):
            known = ", ".join(sorted(self.read))
            raise self.fault(strange[0], f"an unknown key; known are {known}")


def sections(text: str) -> dict[str, dict[str, str]]:
    """Raises CharterError where the text is no INI."""
    if len(text) > TEXT_MOST:
        raise CharterError(f"the file: over {TEXT_MOST // 1_000_000} MB")
    parser = configparser.RawConfigParser(strict=True, interpolation=None, default_section="\0")
    try:
        parser.read_string(text)
    except configparser.Error as wrong:
        raise CharterError("the file: " + " ".join(str(wrong).split())) from None
    return {title: dict(parser[title]) for title in parser.sections()}


def read(text: str) -> Charter:
    """Raises CharterError; the charter is whole and agrees in itself."""
    found = sections(text)
    if "assignment" not in found:
        raise CharterError("[assignment]: the section is missing")
    head = Keys("assignment", found.pop("assignment"))
    form = head.whole("form")
    if form != FORM:
        raise head.fault("form", f"this program reads form {FORM}, the file has {form}")
    limits = _limits(Keys("limits", found.pop("limits", {})), Limits())
    kinds: dict[str, dict[str, object]] = {"cell": {}, "tenant": {}, "move": {}, "release": {}}
    readers = {"cell": _cell, "tenant": _tenant, "move": _move, "release": _release}
    for title, held in found.items():
        kind, _, name = title.partition(" ")
        name = name.strip()
        if kind not in kinds or not NAME.fullmatch(name):
            raise CharterError(
                f"[{title}]: an unknown section; known are assignment, limits, cell NAME, "
                "tenant NAME, move NAME, release NAME"
            )
        if name in kinds[kind]:
            raise CharterError(f"[{title}]: stands there twice")
        keys = Keys(title, held)
        kinds[kind][name] = readers[kind](keys, name, limits)
        keys.done()
    charter = Charter(
        version=head.whole("version"),
        written=head.number("written"),
        limits=limits,
        cells=kinds["cell"],
        tenants=kinds["tenant"],
        moves=kinds["move"],
        releases=kinds["release"],
        how=head.choice("how", (RENDEZVOUS, TABLE), RENDEZVOUS),
        load_bound=head.number("load_bound", 1.25, 100.0, 1.0),
        default_tenant=head.text("default_tenant", ""),
        unknown=head.choice("unknown", (TO_DEFAULT, REJECT), TO_DEFAULT),
        spread=head.number("spread_ms", 5_000.0),
        skew=head.number("skew_ms", 500.0),
        horizon=head.number("horizon_ms", 12_000.0),
    )
    head.done()
    agree(charter)
    return charter


LIMIT_KEYS = ("rate", "burst", "open_most", "body_kb", "retries", "connections")


def _limits(keys: Keys, default: Limits, whole: bool = True) -> Limits:
    """`whole`: nothing else stands in this section."""
    found = Limits(
        *(
            keys.whole(name, getattr(default, name))
            if name == "connections"
            else keys.number(name, float(getattr(default, name)))
            for name in LIMIT_KEYS
        )
    )
    if whole:
        keys.done()
    return found


def _cell(keys: Keys, name: str, limits: Limits) -> Cell:
    return Cell(
        name,
        keys.number("weight", 1.0, 1e6),
        keys.names("caches"),
        keys.whole("shuffle", 0, 10_000),
        keys.names("neighbours"),
        keys.number("reserve", 0.0, 1.0),
        keys.number("return_ms", 10_000.0),
        _limits(keys, Limits(), False),
    )


def _tenant(keys: Keys, name: str, limits: Limits) -> Tenant:
    addresses = tuple(keys.text("addresses", "").replace(",", " ").split())
    for address in addresses:
        try:
            ipaddress.ip_network(address)
        except ValueError as wrong:
            raise keys.fault("addresses", str(wrong)) from None
    groups = []
    for part in keys.text("groups", "").replace(",", " ").split():
        form = RANGE.fullmatch(part)
        first, last = (int(form[1]), int(form[2] or form[1])) if form else (1, 0)
        if not first <= last <= GROUP_MOST:
            raise keys.fault(
                "groups", f"{part!r} is no group or range of groups from 0 to {GROUP_MOST}"
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


def _move(keys: Keys, name: str, _: Limits) -> Move:
    return Move(
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


def _release(keys: Keys, name: str, limits: Limits) -> Release:
    waves = tuple(
        tuple(wave.replace(",", " ").split())
        for wave in keys.text("waves", "").split(";")
        if wave.strip()
    )
    return Release(
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


def agree(charter: Charter) -> None:
    """Whether the parts of a charter fit together; raises CharterError."""
    cells, tenants = charter.cells, charter.tenants

    def known(title: str, key: str, name: str, among: Iterable[str], what: str) -> None:
        if name not in among:
            raise CharterError(f"[{title}] {key}: no {what} {name!r}")

    if not cells:
        raise CharterError("[cell NAME]: one cell at the least is wanted")
    if not any(cell.weight for cell in cells.values()):
        raise CharterError("[cell NAME] weight: one cell at the least must have more than 0")
    if charter.default_tenant:
        known("assignment", "default_tenant", charter.default_tenant, tenants, "tenant")
    elif charter.unknown == TO_DEFAULT:
        raise CharterError("[assignment] default_tenant: wanted where unknown = default_tenant")
    holder: dict[str, str] = {}
    for name, cell in cells.items():
        for other in cell.neighbours:
            known(f"cell {name}", "neighbours", other, cells, "cell")
            if other == name:
                raise CharterError(f"[cell {name}] neighbours: a cell is no neighbour of its own")
        for cache in cell.caches:
            if cache in holder:
                raise CharterError(
                    f"[cell {name}] caches: {cache} stands in cell {holder[cache]} already"
                )
            holder[cache] = name
    for name, tenant in tenants.items():
        if tenant.cell:
            known(f"tenant {name}", "cell", tenant.cell, cells, "cell")
        elif charter.how == TABLE:
            raise CharterError(f"[tenant {name}] cell: wanted where how = {TABLE}")
    _agree_moves(charter, known)
    for name, release in charter.releases.items():
        seen: set[str] = set()
        for key, names in (
            ("canary", (release.canary,)),
            *(("waves", wave) for wave in release.waves),
        ):
            for cell in names:
                known(f"release {name}", key, cell, cells, "cell")
                if cell in seen:
                    raise CharterError(f"[release {name}] {key}: {cell} stands there twice")
                seen.add(cell)


def _agree_moves(charter: Charter, known) -> None:
    moving: dict[str, str] = {}
    for name, move in charter.moves.items():
        title = f"move {name}"
        known(title, "from", move.source, charter.cells, "cell")
        known(title, "to", move.target, charter.cells, "cell")
        if move.source == move.target:
            raise CharterError(f"[{title}] to: the same cell as from")
        if not move.tenants:
            raise CharterError(f"[{title}] tenants: one at the least is wanted")
        for tenant in move.tenants:
            known(title, "tenants", tenant, charter.tenants, "tenant")
            if tenant in moving:
                raise CharterError(
                    f"[{title}] tenants: {tenant} is moved by {moving[tenant]} already"
                )
            moving[tenant] = name
        for key, at, least in (
            ("held_at", move.held_at, move.starts),
            ("aborted_at", move.aborted_at, move.starts),
            ("resumed_at", move.resumed_at, move.held_at or LATEST),
        ):
            if at and at < least:
                raise CharterError(f"[{title}] {key}: before the move starts or was held")


def write(charter: Charter) -> str:
    """The text of a charter; `read` gives an equal one."""
    out = [
        "; written by `mulleinrelay cells`; changed by hand only with a higher version",
        "[assignment]",
    ]
    out += _lines(
        {
            "form": FORM,
            "version": charter.version,
            "written": charter.written,
            "how": charter.how,
            "load_bound": charter.load_bound,
            "default_tenant": charter.default_tenant,
            "unknown": charter.unknown,
            "spread_ms": charter.spread,
            "skew_ms": charter.skew,
            "horizon_ms": charter.horizon,
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
                    "shuffle": cell.shuffle,
                    "neighbours": cell.neighbours,
                    "reserve": cell.reserve,
                    "return_ms": cell.return_for,
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
    for name, move in charter.moves.items():
        out += [
            "",
            f"[move {name}]",
            *_lines(
                {
                    "tenants": move.tenants,
                    "from": move.source,
                    "to": move.target,
                    "starts": move.starts,
                    "warm_ms": move.warm_for,
                    "shift_ms": move.shift_for,
                    "drain_ms": move.drain_for,
                    "warm_share": move.warm_share,
                    "held_at": move.held_at,
                    "resumed_at": move.resumed_at,
                    "aborted_at": move.aborted_at,
                }
            ),
        ]
    for name, release in charter.releases.items():
        out += [
            "",
            f"[release {name}]",
            *_lines(
                {
                    "canary": release.canary,
                    "waves": "; ".join(" ".join(wave) for wave in release.waves),
                    "starts": release.starts,
                    "wave_ms": release.wave_for,
                    "drop_most": release.drop_most,
                    "slower_most": release.slower_most,
                    "taken_back": "yes" if release.taken_back else "no",
                    "shuffle": release.shuffle,
                }
                | _of_limits(release.limits)
            ),
        ]
    return "\n".join(out) + "\n"


def _of_limits(limits: Limits) -> dict[str, object]:
    return {field.name: getattr(limits, field.name) for field in fields(limits)}


def _lines(held: dict[str, object]) -> list[str]:
    return [
        f"{key} = {_worded(value)}" for key, value in held.items() if value != "" and value != ()
    ]


def _worded(value: object) -> str:
    if isinstance(value, tuple):
        return " ".join(value)
    return repr(int(value)) if isinstance(value, float) and value == int(value) else str(value)
