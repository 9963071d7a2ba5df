"""What the present program reads out of stored data, in terms of the outside: keys of files, keys
of JSON, YANG names, fields on the wire. The only place that names modules and attributes of the
program for `test_stored_data.py`: a rename edits this file, never the test or the data."""

import os
from typing import Any

from click.testing import CliRunner

from mulleinrelay.budgets.lease_messages import LeaseCodec
from mulleinrelay.cells.config import load_cells_config
from mulleinrelay.cells.formatter import format_assignment as write_assignment
from mulleinrelay.cells.parser import parse_assignment as read_assignment
from mulleinrelay.cli import main
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario
from mulleinrelay.lab.scenario import parse_scenario
from mulleinrelay.management.assignment_mapping import assignment_from_tree, assignment_to_tree
from mulleinrelay.management.config import load_management_config
from mulleinrelay.management.datastore_file import DatastoreFile
from mulleinrelay.management.drain_intent import requested_drains
from mulleinrelay.management.yang_model import YangModel
from mulleinrelay.membership.config import load_fleet_config
from mulleinrelay.membership.messages import DatagramCodec, MemberState, MessageKind

# INI keys with the attributes that hold them, where these differ
CELLS_KEYS = "enabled tenant_field read_every_ms=poll_interval"
DIRECTOR_KEYS = "open_most=max_open_requests rate come_back_most_ms=max_retry_after"
CELLS_PATHS = {"assignment": "assignment_file", "records": "records_folder"}
MANAGEMENT_KEYS = "enabled listen"
MANAGEMENT_PATHS = ("state_dir", "certificate", "key", "clients_ca")
MANAGEMENT_LIMITS = (
    "subscribers=max_subscribers queue=max_queued_updates message_kb=max_message_kb "
    "calls=max_concurrent_calls"
)
FLEET_KEYS = "enabled name=fleet location members_most=max_members"
FLEET_PATHS = {"records": "records_folder"}
LAB_KEYS = "seconds directors seed cells management"
LAB_FLEET_KEYS = """caches parents capacity fill_cost hit_ms=hit_delay fill_ms=fill_delay
    origin_ms=origin_delay origin_capacity cold_from=initial_fraction cold_ms=slow_start_duration
    falls=crashes_on_overload parent_holds=parent_max_copies"""
LAB_LOAD_KEYS = """rate objects=object_count orders=order_fraction skew patience_ms=patience
    tries=max_tries connections=connections_per_director"""
BURST_KEYS = ("burst_at", "burst_until", "burst_rate")
FLEET_LAB = {
    "fleet lab": """name seconds warm_s=warm_up_s seed client_processes
        relay_processes=proxy_processes""",
    "directors": """count=directors one_seed=has_same_seeds talk=has_membership share=shares_quotas
        uneven=rate_spread least_rate=min_rate memory_mb sockets=max_descriptors
        probes=polls_load_reports""",
    "nodes": """locations caches large_share=large_fraction hubs parents capacity fill_cost
        parent_ms
        hub_ms origin_ms parent_capacity origin_capacity
        holds=max_copies
        parent_holds=parent_max_copies cold_from=initial_fraction cold_ms=slow_start_ms
        parent_cold_ms=parent_slow_start_ms falls=crashes_on_overload""",
    "load": """rate objects skew shared=shared_fraction orders=order_fraction
        effects=unsafe_fraction patience_ms goal_ms=latency_objective_ms tries=max_tries
        late_ms=answer_grace_ms front_ms=failure_detection_ms""",
}
FAULT_KEYS = """what=kind at=at_s for=duration_s share=fraction location paths=path_kinds
    way=direction by=amount jitter_ms over=spread_s seen_by=director_fraction nodes
    other=other_location"""

KINDS = {
    "ping": MessageKind.PING,
    "ack": MessageKind.ACK,
    "ask": MessageKind.INDIRECT_PING,
    "none-heard": MessageKind.NACK,
    "sync": MessageKind.SYNC_REQUEST,
    "page": MessageKind.SYNC_PAGE,
    "part": MessageKind.USER_MESSAGE,
}
STATES = {
    "alive": MemberState.ALIVE,
    "suspect": MemberState.SUSPECT,
    "dead": MemberState.DEAD,
    "left": MemberState.LEFT,
}


def named(held: Any, keys: str) -> dict[str, Any]:
    """Values of an object by the keys of its file: `key` or `key=attribute` each."""
    pairs = [word.partition("=") for word in keys.split()]
    return {key: plain(getattr(held, attribute or key)) for key, _, attribute in pairs}


def plain(value: Any) -> Any:
    """As JSON has it."""
    return [plain(one) for one in value] if isinstance(value, list | tuple) else value


def paths_in(
    held: Any, keys: tuple[str, ...], folder: str, attributes: dict[str, str] | None = None
) -> dict[str, str]:
    """Paths as the file in that folder words them; `attributes`: that hold them, where these
    differ from the keys.
    """
    paths = {key: getattr(held, (attributes or {}).get(key, key)) for key in keys}
    return {key: os.path.relpath(path, folder) if path else "" for key, path in paths.items()}


def host_and_port(address: tuple[str, int]) -> str:
    """As files word it."""
    return f"{address[0]}:{address[1]}"


# Commands


def command(*arguments: str) -> tuple[int, str]:
    """The exit code of a command of the program, and what it writes to standard output."""
    ours = [name for name in os.environ if name.startswith(("MULLEINRELAY_", "LB_"))]
    done = CliRunner().invoke(main, list(arguments), env=dict.fromkeys(ours))
    return done.exit_code, done.stdout


# The datastore of management


def datastore(folder: str) -> dict[str, Any]:
    """The versions and the change that wants its confirmation, as a folder of states holds them."""
    held = DatastoreFile(folder).load()
    waiting = held.pending_confirmation
    return {
        "versions": [
            {
                "version": one.number,
                "at": one.committed_at,
                "by": one.author,
                "why": one.comment,
                "marks": one.participant_versions,
                "tree": one.tree,
            }
            for one in held.versions
        ],
        "unconfirmed": None
        if waiting is None
        else {
            "name": waiting.commit_id,
            "until": waiting.deadline,
            "tree": waiting.rollback_tree,
        },
    }


def datastore_written(folder: str, new_folder: str) -> None:
    """What a folder of states holds, written into another."""
    DatastoreFile(new_folder).save(DatastoreFile(folder).load())


def accepted(tree: dict[str, Any]) -> dict[str, Any]:
    """A tree as the YANG model lets it pass."""
    return YangModel().validate(tree)


def drains(tree: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """The drains that a tree asks for, by box."""
    return {
        box: {"scope": want.scope.value, "forced": want.forced}
        for box, want in requested_drains(tree).items()
    }


def assignment_of(tree: dict[str, Any], version: int, written: float) -> str:
    """The text of the assignment file that a tree's `assignment` stands for."""
    return write_assignment(assignment_from_tree(tree["fleet"]["assignment"], version, written))


# Assignment files


def assignment(text: str) -> dict[str, Any]:
    """Version and time by their keys in the file, the rest by its names in the YANG model."""
    held = read_assignment(text)
    return {
        "version": held.version,
        "written": held.written_at,
        "assignment": assignment_to_tree(held),
    }


def assignment_written(text: str) -> str:
    """The text that the program writes for what it has read."""
    return write_assignment(read_assignment(text))


# Datagrams


def kind_number(name: str) -> int:
    """Of a kind of datagram, as the program means it."""
    return int(KINDS[name])


def state_number(name: str) -> int:
    """Of a state of a director, as the program means it."""
    return int(STATES[name])


def datagram(fleet: str, key: bytes, data: bytes) -> list[Any]:
    """The fields on the wire in their order: version, fleet, kind, number, sender, about, words,
    part; each word: name, host, port, location, life, count, state."""
    held = DatagramCodec(fleet, key).decode(data)

    def word(one: Any) -> list[Any]:
        return [
            one.name,
            one.host,
            one.port,
            one.location,
            one.incarnation,
            one.refutation_count,
            int(one.state),
        ]

    return [
        held.version,
        held.fleet,
        int(held.kind),
        held.number,
        word(held.sender),
        word(held.target) if held.target is not None else None,
        [word(one) for one in held.updates],
        held.payload.hex(),
    ]


def datagram_written(fleet: str, key: bytes, data: bytes) -> bytes:
    """The datagram that the program makes of what it has read."""
    codec = DatagramCodec(fleet, key)
    held = codec.decode(data)
    return codec.encode(
        held.kind, held.number, held.sender, held.target, held.updates, held.payload
    )


def leases(data: bytes) -> list[list[Any]]:
    """Each word on a limit, its fields in order: limit, kind, life, number, grains, renews."""
    return [
        [one.limit, one.kind, one.incarnation, one.number, one.units, one.renews]
        for one in LeaseCodec().decode(data)
    ]


def leases_written(data: bytes) -> bytes:
    """The bytes that the program makes of the words that it has read."""
    codec = LeaseCodec()
    return codec.encode(codec.decode(data))


# INI files


def cells_file(path: str) -> dict[str, Any]:
    """As `serve` and `check` read it."""
    held = load_cells_config(path)
    folder = os.path.dirname(path)
    paths = paths_in(held, ("assignment", "records"), folder, CELLS_PATHS)
    return {"cells": named(held, CELLS_KEYS) | paths, "director": named(held, DIRECTOR_KEYS)}


def management_file(path: str) -> dict[str, Any]:
    """As `serve` and `check` read it."""
    held = load_management_config(path)
    paths = paths_in(held, MANAGEMENT_PATHS, os.path.dirname(path))
    roles = {name: role.name.lower() for name, role in held.authorization.roles_by_name.items()}
    return {
        "management": named(held, MANAGEMENT_KEYS) | paths,
        "unnamed callers may": held.authorization.anonymous_role.name.lower(),
        "roles": roles,
        "limits": named(held, MANAGEMENT_LIMITS),
    }


def fleet_file(path: str) -> dict[str, Any]:
    """As `serve` and `check` read it."""
    held = load_fleet_config(path)
    others = {
        "key": held.key.decode(),
        "listen": host_and_port(held.listen),
        "announce": host_and_port(held.announce),
        "seeds": [host_and_port(seed) for seed in held.seeds],
    }
    paths = paths_in(held, ("records",), os.path.dirname(path), FLEET_PATHS)
    return {
        "fleet": named(held, FLEET_KEYS) | others | paths,
        "budgets": {"cold": held.shares_slow_start_quota},
    }


def lab_file(path: str) -> dict[str, Any]:
    """A scenario of tenants, as `lab` reads it."""
    with open(path, encoding="utf-8") as file:
        held = parse_scenario(file.read())
    return {
        "lab": named(held, LAB_KEYS),
        "fleet": named(held, LAB_FLEET_KEYS),
        "director": named(held, "open_most=max_open_requests rate"),
        "assignment": assignment_to_tree(held.assignment),
        "load": {one.tenant: lab_load(one) for one in held.loads},
        "deeds": [one.name for one in held.steps],
    }


def lab_load(held: Any) -> dict[str, Any]:
    """One section `load NAME`."""
    found = named(held, LAB_LOAD_KEYS)
    for burst in held.bursts:
        found |= dict(zip(BURST_KEYS, burst, strict=True))
    return found


def fleet_lab_file(path: str) -> dict[str, Any]:
    """A scenario of a fleet, as `lab` reads it."""
    with open(path, encoding="utf-8") as file:
        held = parse_fleet_scenario(file.read())
    found = {title: named(held, keys) for title, keys in FLEET_LAB.items()}
    found["nodes"]["notice_from_ms"], found["nodes"]["notice_to_ms"] = held.update_delay_ms
    found["faults"] = {one.name: named(one, FAULT_KEYS) for one in held.faults}
    return found
