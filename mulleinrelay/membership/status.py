"""Membership status of a director for operators, as JSON objects; no I/O.

The keys appear in the records and in `--json` output. They must not change, as operators' scripts
read them. `life` is the incarnation, `denials` the refutation count, `unwell` the health score, and
`refused` the number of updates that were ignored because the member table was full. `for_s` is the
number of seconds that a member has had its state, and `heard_s` the number of seconds since its
last datagram; None if there was none.
"""

from dataclasses import dataclass

from .member_table import MemberEntry
from .messages import MemberUpdate
from .swim import SwimProtocol

MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True)
class ServiceStatistics:
    """Part of the status that comes from the membership service, not from the protocol.

    Attributes:
        fleet: Name of the fleet.
        bytes_out: Total bytes of the datagrams sent.
        bytes_in: Total bytes of the datagrams received.
        events: Recent events, each with `at` (Unix seconds) and `text`.
        written_at_s: Time at which the record is written, in Unix seconds.
    """

    fleet: str
    bytes_out: int
    bytes_in: int
    events: list[dict[str, object]]
    written_at_s: float


def director_status(protocol: SwimProtocol, now: float, statistics: ServiceStatistics) -> dict:
    """Return the state record of one director.

    Args:
        protocol: Membership protocol of the director; the caller holds the lock that guards it.
        now: Time in ms of the protocol's clock.
        statistics: Values that the protocol does not know.
    """
    table = protocol.table
    members = [_entry_status(entry, now) for entry in table.entries.values()]
    dropped = {reason.value: count for reason, count in protocol.dropped_datagrams.items()}
    delegate = protocol.delegate
    return {
        "fleet": statistics.fleet,
        **_update_status(table.local),
        "unwell": protocol.detector.health_score,
        "size": table.cluster_size(),
        "members": sorted(members, key=lambda member: (member["name"], member["address"])),
        "dropped": dict(sorted(dropped.items())),
        "refused": table.rejected_members,
        "budgets": delegate.status(now) if delegate is not None else None,
        "bytes_out": statistics.bytes_out,
        "bytes_in": statistics.bytes_in,
        "events": statistics.events,
        "written": round(statistics.written_at_s, 3),
    }


def _update_status(update: MemberUpdate) -> dict:
    return {
        "name": update.name,
        "address": f"{update.host}:{update.port}",
        "location": update.location,
        "life": update.incarnation,
        "denials": update.refutation_count,
        "state": update.state.name.lower(),
    }


def _entry_status(entry: MemberEntry, now: float) -> dict:
    since_last_datagram_s = None
    if entry.last_received_at:
        since_last_datagram_s = round((now - entry.last_received_at) / MS_PER_S, 1)
    return {
        **_update_status(entry.update),
        "for_s": round((now - entry.state_since) / MS_PER_S, 1),
        "heard_s": since_last_datagram_s,
    }
