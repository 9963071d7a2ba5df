"""Parser of the platform's configuration, the JSON file that LB_CONFIG names.

Both the simulator's adapter and a director on sockets use it to read the start settings. Errors in
the file are reported as `ConfigError`; an error of a value names the path of its key.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from ..errors import ConfigError
from ..policy.memory_limits import MemoryLimits, memory_limits
from ..policy.model import IDEMPOTENT, KEYED, UNSAFE, RequestClass, ServiceSettings, SlowStartPolicy

Choice = TypeVar("Choice")

IDEMPOTENCY_BY_WORD = {"safe": IDEMPOTENT, "keyed": KEYED, "unsafe": UNSAFE}
# This program's names of the figures in load reports, by the platform's names.
LOAD_REPORT_FIELDS = {
    "busy_reqs": "held",
    "inflight": "held",
    "cpu_share": "busy",
    "util": "busy",
    "x1": "crowding",
}
DEFAULT_MEMORY_MB = 192
DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 64
# Maximum work of an endpoint in slow start, as a multiple of its current capacity. More work
# overloads the endpoint.
DEFAULT_OVERLOAD_FACTOR = 2.0
PORT_COUNT = 65_536
REQUIRED = object()  # in place of a default: the key must be present


@dataclass(frozen=True)
class ValueForm:
    """Allowed types of a value, and their name in error messages."""

    types: tuple[type, ...]
    name: str

    def matches(self, value: Any) -> bool:
        """Return whether a value has one of the types; booleans do not count as numbers."""
        if isinstance(value, bool) and bool not in self.types:
            return False
        return isinstance(value, self.types)


NUMBER = ValueForm((int, float), "a number")
INTEGER = ValueForm((int,), "an integer")
FLAG = ValueForm((bool,), "true or false")
TEXT = ValueForm((str,), "a string")
LIST = ValueForm((list,), "a list")
OBJECT = ValueForm((dict,), "an object")


class JsonSection:
    """A JSON object and its path of keys from the root.

    Each method except `path_of` and `error` reads one key, and raises ConfigError if the value has
    a wrong type. If the key is missing, the default is returned unchanged; without a default the
    key is required.
    """

    def __init__(self, values: Any, path: str) -> None:
        """Wrap a parsed value.

        Raises:
            ConfigError: If the value is not an object.
        """
        if not isinstance(values, dict):
            raise ConfigError("expected an object", key=path or "the configuration")
        self.values = values
        self.path = path

    def path_of(self, key: str) -> str:
        """Return the path of a key in this object."""
        return f"{self.path}.{key}" if self.path else key

    def error(self, key: str, reason: str) -> ConfigError:
        """Return an error about this key without raising it."""
        return ConfigError(reason, key=self.path_of(key))

    def read(self, key: str, form: ValueForm, default: Any = REQUIRED) -> Any:
        """Return the value of a key; the value must have one of the types of `form`."""
        value = self.values.get(key, default)
        if value is REQUIRED:
            raise self.error(key, "the key is missing")
        if value is default:
            return value
        if not form.matches(value):
            raise self.error(key, f"expected {form.name}")
        return value

    def number(self, key: str, default: Any = REQUIRED) -> float:
        """Return a number."""
        return self.read(key, NUMBER, default)

    def integer(self, key: str, default: Any = REQUIRED) -> int:
        """Return an integer."""
        return self.read(key, INTEGER, default)

    def flag(self, key: str, default: Any = REQUIRED) -> bool:
        """Return a boolean."""
        return self.read(key, FLAG, default)

    def text(self, key: str, default: Any = REQUIRED) -> str:
        """Return a string."""
        return self.read(key, TEXT, default)

    def choice(self, key: str, choices: Mapping[str, Choice]) -> Choice:
        """Return the choice that a required string names."""
        value = self.text(key)
        if value not in choices:
            raise self.error(key, f"expected one of {', '.join(choices)}; found {value!r}")
        return choices[value]

    def items(self, key: str) -> list[Any]:
        """Return a required list."""
        return self.read(key, LIST)

    def item(self, key: str, position: int, form: ValueForm) -> Any:
        """Return one entry of a required list; the entry must have one of the types of `form`."""
        entries = self.items(key)
        if position >= len(entries):
            raise self.error(key, f"entry {position} is missing")
        if not form.matches(entries[position]):
            raise self.error(f"{key}[{position}]", f"expected {form.name}")
        return entries[position]

    def section(self, key: str) -> "JsonSection":
        """Return a required object."""
        return JsonSection(self.read(key, OBJECT), self.path_of(key))

    def optional_section(self, key: str) -> "JsonSection":
        """Return an object, or an empty one if the key is missing."""
        return self.section(key) if key in self.values else JsonSection({}, self.path_of(key))

    def sections(self, key: str) -> list["JsonSection"]:
        """Return a required list of objects."""
        return [
            JsonSection(values, f"{self.path_of(key)}[{position}]")
            for position, values in enumerate(self.items(key))
        ]

    def address(self, key: str) -> tuple[str, int]:
        """Return the host and port in a required string."""
        host, _, port = self.text(key).rpartition(":")
        if not host or not port.isdecimal() or not 0 <= int(port) < PORT_COUNT:
            raise self.error(key, "expected host:port")
        return host, int(port)


# Keys of the initial fraction, the duration and the overload factor of a slow start
CACHE_SLOW_START_KEYS = ("coldFrom", "cold", "fallMultiple")
PARENT_SLOW_START_KEYS = ("parentStartsAt", "parentWarmsIn", "parentLimitFactor")


def parse_service_settings(start: JsonSection) -> ServiceSettings:
    """Return the policy's settings, read from the start settings.

    `start` is the object of start settings that the platform passes to each director.

    Raises:
        ConfigError: If a key or a list entry is missing, or if its value has a wrong type or is not
            one of the allowed values.
    """
    allowed = start.section("allowed")
    domain = start.section("domain")
    rules = start.section("rules")
    report = start.section("report")
    request_classes = _parse_request_classes(start, domain)
    zone = start.integer("myZone")
    overload_window = rules.number("overloadFor")
    return ServiceSettings(
        request_classes=request_classes,
        zone=zone,
        director_count=start.integer("balancers"),
        local_director_count=max(1, domain.item("countByZone", zone, NUMBER)),
        parent_kind=domain.integer("midKind"),
        origin_kind=domain.integer("storeKind"),
        advertises_weights=start.text("weights") != "none",
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
        requires_subscription=start.text("registryMode") == "subscribe",
        load_report_fields=[LOAD_REPORT_FIELDS.get(word, word) for word in report.items("columns")],
        polls_load_reports=report.text("how") == "probe",
        cache_slow_start=_parse_slow_start(rules, CACHE_SLOW_START_KEYS, overload_window),
        parent_slow_start=_parse_slow_start(domain, PARENT_SLOW_START_KEYS, overload_window),
        purge_propagation=domain.number("purgeTakes"),
        health_check_cost=start.optional_section("costs").number("probe", 0.0),
    )


def _parse_slow_start(
    section: JsonSection, keys: tuple[str, str, str], overload_window: float
) -> SlowStartPolicy:
    """Read a slow start policy.

    `keys` are the keys of the initial fraction, the duration and the overload factor.
    `overload_window` is in ms.
    """
    fraction_key, duration_key, factor_key = keys
    return SlowStartPolicy(
        section.number(fraction_key),
        section.number(duration_key),
        overload_window,
        section.number(factor_key, DEFAULT_OVERLOAD_FACTOR),
    )


def _parse_request_classes(start: JsonSection, domain: JsonSection) -> list[RequestClass]:
    return [
        RequestClass(
            section.choice("idempotency", IDEMPOTENCY_BY_WORD),
            section.number("slo"),
            section.number("aimStretch", 0.0),
            section.number("deadline"),
            section.number("memorySpan"),
            section.text("group"),
            domain.item("freshFor", position, NUMBER),
            domain.item("neverKept", position, FLAG),
            section.number("credit", 1.0),
        )
        for position, section in enumerate(start.sections("classes"))
    ]


def parse_service_settings_text(text: bytes) -> ServiceSettings:
    """Return the policy's settings, read from the JSON text of the start settings.

    Raises:
        ConfigError: If the settings are invalid.
    """
    try:
        return parse_service_settings(JsonSection(json.loads(text), ""))
    except ValueError as error:
        raise ConfigError(f"the start settings cannot be read as JSON: {error}") from error


@dataclass(slots=True, eq=False)
class DirectorConfig:
    """Complete configuration of one director. Times are in ms.

    Attributes:
        name: The director's name, for log lines and records.
        listen: Host and port for clients.
        seed: Seed of the random number generators.
        memory_mb: Memory limit of the director, MB.
        max_descriptors: Maximum number of file descriptors that the director may use.
        event_stream_address: Host and port of the event stream.
        last_event_number: Number of the last event in `known_events`.
        known_events: Events of the event stream from before the start, parsed from JSON.
        settings: Settings of the service for the policy.
        request_classes: Request classes by their names on the wire.
        zones: Zone numbers by name.
        kinds: Numbers of the kinds of endpoints by name.
        connect_timeout: Time within which a connection to an endpoint must be established.
        idle_timeout: Time after which endpoints close an idle connection of a director.
        max_attempts_per_connection: Maximum number of attempts in flight on one connection.
        prefers_open_connections: Whether opening a connection to an endpoint costs more than
            keeping one open.
    """

    name: str
    listen: tuple[str, int]
    seed: int
    memory_mb: float
    max_descriptors: int
    event_stream_address: tuple[str, int]
    last_event_number: int
    known_events: list[Any]
    settings: ServiceSettings
    request_classes: dict[str, RequestClass]
    zones: dict[str, int]
    kinds: dict[str, int]
    connect_timeout: float
    idle_timeout: float
    max_attempts_per_connection: int
    prefers_open_connections: bool = False

    @property
    def memory_limits(self) -> MemoryLimits:
        """The limits of the uses of memory."""
        return memory_limits(self.memory_mb, self.max_descriptors)


def parse_config(text: bytes | str) -> DirectorConfig:
    """Read the configuration from JSON.

    Raises:
        ConfigError: If the configuration is invalid.
    """
    try:
        root = JsonSection(json.loads(text), "")
    except ValueError as error:
        raise ConfigError(f"the configuration cannot be read as JSON: {error}") from error
    start = root.section("settings")
    known = root.section("known")
    allowed = start.section("allowed")
    settings = parse_service_settings(start)
    seed_text = root.text("seed")
    limits = root.optional_section("limits")
    costs = start.optional_section("costs")
    seed = _parse_seed(seed_text)
    max_descriptors = limits.integer("sockets", DEFAULT_DESCRIPTORS)
    if max_descriptors < MIN_DESCRIPTORS:
        raise limits.error(
            "sockets", f"expected at least {MIN_DESCRIPTORS}, found {max_descriptors}"
        )
    class_names = [section.text("name") for section in start.sections("classes")]
    return DirectorConfig(
        name=root.text("name"),
        listen=root.address("listen"),
        seed=seed,
        memory_mb=limits.number("memory_mb", DEFAULT_MEMORY_MB),
        max_descriptors=max_descriptors,
        event_stream_address=root.address("bus"),
        last_event_number=known.integer("offset"),
        known_events=known.items("batch"),
        settings=settings,
        request_classes=dict(zip(class_names, settings.request_classes, strict=True)),
        zones={name: number for number, name in enumerate(start.items("azs"))},
        kinds={name: number for number, name in enumerate(start.items("shapes"))},
        connect_timeout=allowed.number("connectTimeout"),
        idle_timeout=allowed.number("connIdle"),
        max_attempts_per_connection=allowed.integer("maxStreams"),
        prefers_open_connections=costs.number("handshake", 0.0) > costs.number("connection", 0.0),
    )


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise ConfigError("expected hex digits", key="seed") from error


def load_config(environment: Mapping[str, str], path: str | None = None) -> DirectorConfig:
    """Read the configuration from a file.

    Args:
        environment: Environment variables, of which LB_CONFIG names the file.
        path: Path of the file; None or empty to use LB_CONFIG.

    Raises:
        ConfigError: If no file is named, or the file cannot be read or is invalid.
    """
    path = path or environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("not set, and no path was given", key="LB_CONFIG")
    try:
        with open(path, "rb") as file:
            return parse_config(file.read())
    except OSError as error:
        raise ConfigError(str(error.strerror), key=f"LB_CONFIG: {path}") from error
