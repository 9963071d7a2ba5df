"""What a director writes about its membership for operators, as JSON objects; pure.

The keys are those of the records and of `--json` output. They are the outside's words, which keep
their form: `life` is the incarnation, `denials` the refutation number, `unwell` the health score,
`heard_s` the seconds since the last datagram.
"""

from dataclasses import dataclass

from .member_table import MemberEntry
from .messages import MemberUpdate
from .swim import SwimProtocol

MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True)
class ServiceFigures:
    """Figures that the service adds to the protocol's.

    Attributes:
        fleet: Name of the fleet.
        bytes_out: Bytes of the datagrams sent so far.
        bytes_in: Bytes of those received.
        events: Last events, each with `at` and `text`.
        written_at_s: Unix seconds.
    """

    fleet: str
    bytes_out: int
    bytes_in: int
    events: list[dict[str, object]]
    written_at_s: float


def director_status(protocol: SwimProtocol, now: float, figures: ServiceFigures) -> dict:
    """Returns the record of one director.

    Args:
        protocol: The protocol; the caller holds its lock.
        now: Time in ms, by the protocol's clock.
        figures: What else the record has.
    """
    table = protocol.table
    members = [_entry_status(entry, now) for entry in table.entries.values()]
    dropped = {reason.value: count for reason, count in protocol.dropped_datagrams.items()}
    delegate = protocol.delegate
    return {
        "fleet": figures.fleet,
        **_update_status(table.local),
        "unwell": protocol.detector.health_score,
        "size": table.cluster_size(),
        "members": sorted(members, key=lambda member: (member["name"], member["address"])),
        "dropped": dict(sorted(dropped.items())),
        "refused": table.refused_members,
        "budgets": delegate.status(now) if delegate is not None else None,
        "bytes_out": figures.bytes_out,
        "bytes_in": figures.bytes_in,
        "events": figures.events,
        "written": round(figures.written_at_s, 3),
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
