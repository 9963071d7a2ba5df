"""Adapter between `test_stored_data.py` and the program.

The functions return the content of stored data under its external names: keys of files and of JSON
objects, YANG names, fields of the wire format. Only this file names modules and attributes of the
program, so that a rename in the program changes neither the test's expectations nor the data.
"""

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

# INI keys, each as `key=attribute` if the attribute has another name
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


def values_by_key(loaded: Any, keys: str) -> dict[str, Any]:
    """Return an object's values by key.

    `keys` consists of the words `key` and `key=attribute`; the second form names the attribute if
    it differs from the key.
    """
    pairs = [word.partition("=") for word in keys.split()]
    return {key: to_json_types(getattr(loaded, attribute or key)) for key, _, attribute in pairs}


def to_json_types(value: Any) -> Any:
    """Return a value with tuples replaced by lists, as in JSON."""
    return [to_json_types(item) for item in value] if isinstance(value, list | tuple) else value


def relative_paths(
    loaded: Any, keys: tuple[str, ...], folder: str, attributes: dict[str, str] | None = None
) -> dict[str, str]:
    """Return the paths of a configuration relative to the folder of its file, by key.

    `attributes` contains the names of attributes that differ from the keys.
    """
    paths = {key: getattr(loaded, (attributes or {}).get(key, key)) for key in keys}
    return {key: os.path.relpath(path, folder) if path else "" for key, path in paths.items()}


def host_and_port(address: tuple[str, int]) -> str:
    """Return an address as it appears in files."""
    return f"{address[0]}:{address[1]}"


# Commands


def run_command(*arguments: str) -> tuple[int, str]:
    """Return the exit code and the standard output of a command of the program."""
    own_variables = [name for name in os.environ if name.startswith(("MULLEINRELAY_", "LB_"))]
    result = CliRunner().invoke(main, list(arguments), env=dict.fromkeys(own_variables))
    return result.exit_code, result.stdout


# The datastore of management


def read_datastore(folder: str) -> dict[str, Any]:
    """Return the versions and the commit with a pending confirmation of a stored datastore."""
    loaded = DatastoreFile(folder).load()
    pending = loaded.pending_confirmation
    return {
        "versions": [
            {
                "version": version.number,
                "at": version.committed_at,
                "by": version.author,
                "why": version.comment,
                "marks": version.participant_versions,
                "tree": version.tree,
            }
            for version in loaded.versions
        ],
        "unconfirmed": None
        if pending is None
        else {
            "name": pending.commit_id,
            "until": pending.deadline,
            "tree": pending.rollback_tree,
        },
    }


def rewrite_datastore(folder: str, new_folder: str) -> None:
    """Read a stored datastore and write it to another folder."""
    DatastoreFile(new_folder).save(DatastoreFile(folder).load())


def validate_tree(tree: dict[str, Any]) -> dict[str, Any]:
    """Return a tree as validated by the YANG model."""
    return YangModel().validate(tree)


def drains_by_box(tree: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Return the drains that a tree requests, by box."""
    return {
        box: {"scope": drain.scope.value, "forced": drain.forced}
        for box, drain in requested_drains(tree).items()
    }


def assignment_text(tree: dict[str, Any], version: int, written: float) -> str:
    """Return the text of the assignment file for a tree's `assignment`."""
    return write_assignment(assignment_from_tree(tree["fleet"]["assignment"], version, written))


# Assignment files


def parse_assignment(text: str) -> dict[str, Any]:
    """Return the version, the time and the assignment of a file.

    The first two have the keys of the file, the assignment has the names of the YANG model.
    """
    loaded = read_assignment(text)
    return {
        "version": loaded.version,
        "written": loaded.written_at,
        "assignment": assignment_to_tree(loaded),
    }


def rewrite_assignment(text: str) -> str:
    """Parse an assignment file and return the text that the program writes for it."""
    return write_assignment(read_assignment(text))


# Datagrams


def kind_number(name: str) -> int:
    """Return the program's number of a datagram kind."""
    return int(KINDS[name])


def state_number(name: str) -> int:
    """Return the program's number of a member state."""
    return int(STATES[name])


def decode_datagram(fleet: str, key: bytes, data: bytes) -> list[Any]:
    """Return the fields of a datagram in the order of the wire format.

    These are the version, fleet, kind, number, sender, target, updates and payload. Each update
    consists of the name, host, port, location, incarnation, refutation count and state.
    """
    message = DatagramCodec(fleet, key).decode(data)

    def update_fields(update: Any) -> list[Any]:
        return [
            update.name,
            update.host,
            update.port,
            update.location,
            update.incarnation,
            update.refutation_count,
            int(update.state),
        ]

    return [
        message.version,
        message.fleet,
        int(message.kind),
        message.number,
        update_fields(message.sender),
        update_fields(message.target) if message.target is not None else None,
        [update_fields(update) for update in message.updates],
        message.payload.hex(),
    ]


def reencode_datagram(fleet: str, key: bytes, data: bytes) -> bytes:
    """Decode a datagram and return the program's encoding of its message."""
    codec = DatagramCodec(fleet, key)
    message = codec.decode(data)
    return codec.encode(
        message.kind,
        message.number,
        message.sender,
        message.target,
        message.updates,
        message.payload,
    )


def decode_leases(data: bytes) -> list[list[Any]]:
    """Return the lease messages of a payload.

    Each contains the limit, kind, incarnation, number, units and renewed lease in wire order.
    """
    return [
        [
            message.limit,
            message.kind,
            message.incarnation,
            message.number,
            message.units,
            message.renews,
        ]
        for message in LeaseCodec().decode(data)
    ]


def reencode_leases(data: bytes) -> bytes:
    """Decode a payload of lease messages and return the program's encoding of them."""
    codec = LeaseCodec()
    return codec.encode(codec.decode(data))


# INI files


def load_cells_file(path: str) -> dict[str, Any]:
    """Return the values of a cells file as `serve` and `check` read it."""
    loaded = load_cells_config(path)
    folder = os.path.dirname(path)
    paths = relative_paths(loaded, ("assignment", "records"), folder, CELLS_PATHS)
    return {
        "cells": values_by_key(loaded, CELLS_KEYS) | paths,
        "director": values_by_key(loaded, DIRECTOR_KEYS),
    }


def load_management_file(path: str) -> dict[str, Any]:
    """Return the values of a management file as `serve` and `check` read it."""
    loaded = load_management_config(path)
    paths = relative_paths(loaded, MANAGEMENT_PATHS, os.path.dirname(path))
    roles = {name: role.name.lower() for name, role in loaded.authorization.roles_by_name.items()}
    return {
        "management": values_by_key(loaded, MANAGEMENT_KEYS) | paths,
        "unnamed callers may": loaded.authorization.anonymous_role.name.lower(),
        "roles": roles,
        "limits": values_by_key(loaded, MANAGEMENT_LIMITS),
    }


def load_fleet_file(path: str) -> dict[str, Any]:
    """Return the values of a membership file as `serve` and `check` read it."""
    loaded = load_fleet_config(path)
    others = {
        "key": loaded.key.decode(),
        "listen": host_and_port(loaded.listen),
        "announce": host_and_port(loaded.announce),
        "seeds": [host_and_port(seed) for seed in loaded.seeds],
    }
    paths = relative_paths(loaded, ("records",), os.path.dirname(path), FLEET_PATHS)
    return {
        "fleet": values_by_key(loaded, FLEET_KEYS) | others | paths,
        "budgets": {"cold": loaded.shares_slow_start_quota},
    }


def load_lab_file(path: str) -> dict[str, Any]:
    """Return the values of a tenant scenario as `lab` reads it."""
    with open(path, encoding="utf-8") as file:
        loaded = parse_scenario(file.read())
    return {
        "lab": values_by_key(loaded, LAB_KEYS),
        "fleet": values_by_key(loaded, LAB_FLEET_KEYS),
        "director": values_by_key(loaded, "open_most=max_open_requests rate"),
        "assignment": assignment_to_tree(loaded.assignment),
        "load": {load.tenant: lab_load(load) for load in loaded.loads},
        "deeds": [step.name for step in loaded.steps],
    }


def lab_load(load: Any) -> dict[str, Any]:
    """Return the values of one section `load NAME`."""
    values = values_by_key(load, LAB_LOAD_KEYS)
    for burst in load.bursts:
        values |= dict(zip(BURST_KEYS, burst, strict=True))
    return values


def load_fleet_lab_file(path: str) -> dict[str, Any]:
    """Return the values of a fleet scenario as `lab` reads it."""
    with open(path, encoding="utf-8") as file:
        loaded = parse_fleet_scenario(file.read())
    values = {title: values_by_key(loaded, keys) for title, keys in FLEET_LAB.items()}
    values["nodes"]["notice_from_ms"], values["nodes"]["notice_to_ms"] = loaded.update_delay_ms
    values["faults"] = {fault.name: values_by_key(fault, FAULT_KEYS) for fault in loaded.faults}
    return values
