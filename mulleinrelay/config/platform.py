"""The one place where LB_CONFIG and the start settings are read, checked and given their defaults.

A fault is a ConfigError whose text names the key. Both the simulator's host and the director
on sockets get their Terms here.
"""

import json
import os
from dataclasses import dataclass
from typing import Any

from ..errors import ConfigError
from ..policy.model import IDEMPOTENT, KEYED, UNSAFE, RequestClass, ServiceSettings, SlowStartPolicy

REPEAT = {"safe": IDEMPOTENT, "keyed": KEYED, "unsafe": UNSAFE}
LOAD_REPORT_FIELDS = {
    "busy_reqs": "held",
    "inflight": "held",
    "cpu_share": "busy",
    "util": "busy",
    "x1": "crowding",
}
DEFAULT_MEMORY_MB, DEFAULT_SOCKETS, SOCKETS_LEAST = 192, 1024, 64
FALL_MULTIPLE = (
    2.0  # of what a cold node can do, where the settings don't tell how much more fells it
)
MISSING = object()


class JsonSection:
    """A JSON object with the path that led to it; each reading checks the form."""

    def __init__(self, held: Any, path: str) -> None:
        if not isinstance(held, dict):
            raise ConfigError(f"{path or 'the configuration'}: an object is wanted")
        self.values, self.path = held, path

    def at(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def read(self, key: str, forms: tuple[type, ...], wanted: str, default: Any = MISSING) -> Any:
        value = self.values.get(key, default)
        if value is MISSING:
            raise ConfigError(f"{self.at(key)}: the key is missing")
        if value is default:
            return value
        if not isinstance(value, forms) or (isinstance(value, bool) and bool not in forms):
            raise ConfigError(f"{self.at(key)}: {wanted} is wanted")
        return value

    def number(self, key: str, default: Any = MISSING) -> float:
        return self.read(key, (int, float), "a number", default)

    def integer(self, key: str, default: Any = MISSING) -> int:
        return self.read(key, (int,), "a whole number", default)

    def flag(self, key: str, default: Any = MISSING) -> bool:
        return self.read(key, (bool,), "true or false", default)

    def text(self, key: str, default: Any = MISSING) -> str:
        return self.read(key, (str,), "a string", default)

    def choice(self, key: str, among: dict[str, Any]) -> Any:
        value = self.text(key)
        if value not in among:
            raise ConfigError(f"{self.at(key)}: one of {', '.join(among)} is wanted")
        return among[value]

    def items(self, key: str) -> list[Any]:
        return self.read(key, (list,), "a list")

    def each(self, key: str, place: int, forms: tuple[type, ...], wanted: str) -> Any:
        """One entry of a list that must be long enough."""
        held = self.items(key)
        if place >= len(held):
            raise ConfigError(f"{self.at(key)}: an entry {place} is missing")
        if not isinstance(held[place], forms) or (
            isinstance(held[place], bool) and bool not in forms
        ):
            raise ConfigError(f"{self.at(key)}[{place}]: {wanted} is wanted")
        return held[place]

    def section(self, key: str) -> "JsonSection":
        return JsonSection(self.read(key, (dict,), "an object"), self.at(key))

    def sections(self, key: str) -> list["JsonSection"]:
        return [
            JsonSection(held, f"{self.at(key)}[{place}]")
            for place, held in enumerate(self.items(key))
        ]

    def address(self, key: str) -> tuple[str, int]:
        host, _, port = self.text(key).rpartition(":")
        if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
            raise ConfigError(f"{self.at(key)}: host:port is wanted")
        return host, int(port)


def costs_of(settings: JsonSection) -> JsonSection:
    """Prices by what they are for; none where they are not told."""
    return (
        settings.section("costs")
        if "costs" in settings.values
        else JsonSection({}, settings.at("costs"))
    )


def parse_service_settings(boot: JsonSection) -> ServiceSettings:
    """What the decision module reads of the start settings, in the project's own words."""
    allowed, domain, rules = boot.section("allowed"), boot.section("domain"), boot.section("rules")
    report, number, flag = (
        boot.section("report"),
        ((int, float), "a number"),
        ((bool,), "true or false"),
    )
    request_classes = [
        RequestClass(
            case.choice("idempotency", REPEAT),
            case.number("slo"),
            case.number("aimStretch", 0.0),
            case.number("deadline"),
            case.number("memorySpan"),
            case.text("group"),
            domain.each("freshFor", at, *number),
            domain.each("neverKept", at, *flag),
            case.number("credit", 1.0),
        )
        for at, case in enumerate(boot.sections("classes"))
    ]
    zone, overload_for = boot.integer("myZone"), rules.number("overloadFor")
    return ServiceSettings(
        request_classes=request_classes,
        zone=zone,
        director_count=boot.integer("balancers"),
        local_director_count=max(1, domain.each("countByZone", zone, *number)),
        parent_kind=domain.integer("midKind"),
        origin_kind=domain.integer("storeKind"),
        advertises_weights=boot.text("weights") != "none",
        transfer_rate=domain.number("oneFlowKbPerS") / 1000.0,
        max_attempts=allowed.integer("maxAttempts"),
        allows_hedging=allowed.flag("mayDuplicate"),
        allows_cancel=allowed.flag("cancel"),
        allows_health_checks=allowed.flag("mayProbe"),
        allows_retry_after=allowed.flag("retryAfter"),
        max_retry_after=allowed.number("maxRetryAfter"),
        allows_cache_bypass=domain.flag("mayPassBy"),
        allows_coalescing=domain.flag("collapses"),
        allows_sibling_fills=domain.text("peersFill") != "none",
        requires_subscription=boot.text("registryMode") == "subscribe",
        load_report_fields=[LOAD_REPORT_FIELDS.get(word, word) for word in report.items("columns")],
        polls_load_reports=report.text("how") == "probe",
        cache_slow_start=SlowStartPolicy(
            rules.number("coldFrom"),
            rules.number("cold"),
            overload_for,
            rules.number("fallMultiple", FALL_MULTIPLE),
        ),
        parent_slow_start=SlowStartPolicy(
            domain.number("parentStartsAt"),
            domain.number("parentWarmsIn"),
            overload_for,
            domain.number("parentLimitFactor", FALL_MULTIPLE),
        ),
        purge_propagation=domain.number("purgeTakes"),
        health_check_cost=costs_of(boot).number("probe", 0.0),
    )


def parse_service_settings_text(text: bytes) -> ServiceSettings:
    try:
        return parse_service_settings(JsonSection(json.loads(text), ""))
    except ValueError as wrong:
        raise ConfigError(f"the start settings cannot be read as JSON: {wrong}") from None


@dataclass(slots=True, eq=False)
class DirectorConfig:
    """All that one director is told at its start."""

    name: str
    listen: tuple[str, int]
    seed: int
    memory_mb: float
    max_descriptors: int
    event_stream_address: tuple[str, int]
    last_event_number: int  # number of the last event that `events` holds
    known_events: list[Any]
    settings: ServiceSettings
    request_classes: dict[str, RequestClass]
    zones: dict[str, int]
    kinds: dict[str, int]
    connect_timeout: float
    idle_timeout: float  # nodes close a connection that was idle so long
    max_attempts_per_connection: int
    connections_are_priced: bool = False  # a new connection to a node costs more than an open one


def parse_config(text: bytes | str) -> DirectorConfig:
    try:
        whole = JsonSection(json.loads(text), "")
    except ValueError as wrong:
        raise ConfigError(f"the configuration cannot be read as JSON: {wrong}") from None
    settings, known = whole.section("settings"), whole.section("known")
    allowed, terms, seed = (
        settings.section("allowed"),
        parse_service_settings(settings),
        whole.text("seed"),
    )
    limits = whole.section("limits") if "limits" in whole.values else JsonSection({}, "limits")
    costs = costs_of(settings)
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError("seed: hex digits are wanted") from None
    sockets = limits.integer("sockets", DEFAULT_SOCKETS)
    if sockets < SOCKETS_LEAST:
        raise ConfigError(f"limits.sockets: {SOCKETS_LEAST} or more is wanted")
    names = [case.text("name") for case in settings.sections("classes")]
    return DirectorConfig(
        name=whole.text("name"),
        listen=whole.address("listen"),
        seed=number,
        memory_mb=limits.number("memory_mb", DEFAULT_MEMORY_MB),
        max_descriptors=sockets,
        event_stream_address=whole.address("bus"),
        last_event_number=known.integer("offset"),
        known_events=known.items("batch"),
        settings=terms,
        request_classes=dict(zip(names, terms.request_classes, strict=True)),
        zones={name: place for place, name in enumerate(settings.items("azs"))},
        kinds={name: place for place, name in enumerate(settings.items("shapes"))},
        connect_timeout=allowed.number("connectTimeout"),
        idle_timeout=allowed.number("connIdle"),
        max_attempts_per_connection=allowed.integer("maxStreams"),
        connections_are_priced=costs.number("handshake", 0.0) > costs.number("connection", 0.0),
    )


def load_config(
    environment: dict[str, str] | os._Environ[str], path: str | None = None
) -> DirectorConfig:
    """The configuration that LB_CONFIG (or `path`) names."""
    path = path or environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: not set, and no path was given")
    try:
        with open(path, "rb") as file:
            return parse_config(file.read())
    except OSError as wrong:
        raise ConfigError(f"LB_CONFIG: {path}: {wrong.strerror}") from None
