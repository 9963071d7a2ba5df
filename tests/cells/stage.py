"""Helpers of the tests of cells."""

import json

from helpers import HIT, SPOTS, Caller, Sink, StandBus, StandNode, configuration, heard

from mulleinrelay.cells.admission_controller import (
    AdmissionController,
    AdmissionRequest,
    DirectorCapacity,
)
from mulleinrelay.cells.config import CellsConfig
from mulleinrelay.cells.formatter import format_assignment
from mulleinrelay.cells.model import Assignment, Cell, Limits, Migration, Tenant
from mulleinrelay.config.platform import parse_config
from mulleinrelay.director import Director
from mulleinrelay.policy.model import IDEMPOTENT, KEYED, UNSAFE, RequestClass

PAGES = RequestClass(IDEMPOTENT, 500.0, 2.0, 6000.0, 5000.0, "all", 0.0, False)
ORDER = RequestClass(KEYED, 500.0, 2.0, 6000.0, 6000.0, "cell", 0.0, False)
ORDER_ALL = RequestClass(KEYED, 500.0, 2.0, 6000.0, 6000.0, "all", 0.0, True)
PAY = RequestClass(UNSAFE, 500.0, 2.0, 6000.0, 6000.0, "cell", 0.0, False)


def charter(
    cells=("north", "south"),
    tenants=("acme", "beta", "shared"),
    moves=(),
    version=1,
    releases=(),
    tenant_limits=None,
    **changes,
) -> Assignment:
    """A charter of two cells whose tenants stand in the first, save `beta` in the second."""
    held = {
        one if isinstance(one, str) else one.name: Cell(one) if isinstance(one, str) else one
        for one in cells
    }
    first, last = next(iter(held)), list(held)[-1]
    people = {}
    for one in tenants:
        tenant = (
            one
            if isinstance(one, Tenant)
            else Tenant(one, last if one == "beta" else first, limits=tenant_limits or Limits())
        )
        people[tenant.name] = tenant
    return Assignment(
        version,
        1000.0,
        held,
        people,
        {move.name: move for move in moves},
        {release.name: release for release in releases},
        **({"default_tenant": "shared"} | changes),
    )


def move(starts_at=10_000.0, **changes) -> Migration:
    return Migration(
        **(
            {
                "name": "m1",
                "tenants": ("acme",),
                "source": "north",
                "target": "south",
                "starts_at": starts_at,
                "warm_up_duration": 1_000.0,
                "shift_duration": 4_000.0,
                "drain_duration": 2_000.0,
            }
            | changes
        )
    )


class Ruled:
    """A governor with named caches, and a clock that stands until moved."""

    def __init__(
        self, held=None, caches=("s-01", "s-02", "s-03", "s-04"), board=None, by_pass=True
    ):
        self.now = 1_000.0
        self.governor = AdmissionController(
            self.now, held or charter(), board or DirectorCapacity(100.0), by_pass
        )
        self.words = self.listed(caches)

    def listed(self, caches, warmth=None):
        warmth = warmth or {}
        return self.governor.update_caches(
            self.now, [(name, name, warmth.get(name, 1.0)) for name in caches]
        )

    def ask(
        self,
        told="acme",
        request_class=PAGES,
        key=7,
        idempotency_key="",
        repeated=False,
        body=0,
        address="",
        group=99,
    ):
        return self.governor.admit_request(
            self.now,
            AdmissionRequest(
                told, address, group, key, request_class, idempotency_key, repeated, body
            ),
        )

    def done(self, grant, good=True, delay=5.0, owed=True):
        return self.governor.complete_request(self.now, grant, good, owed, delay)


class Housed:
    """Whole directors with one assignment file, before the same stand-ins, ended with the block."""

    def __init__(self, folder, held, plan=HIT, directors=1, open_most=0, rate=0.0, **changes):
        self.path = folder / "assignment.ini"
        self.path.write_text(format_assignment(held))
        plans = plan if isinstance(plan, list) else [plan] * len(SPOTS)
        self.nodes = [StandNode(each) for each in plans]
        self.bus, self.sinks, self.callers = StandBus(), [], []
        self.services: list[Director] = []
        for number in range(directors):
            whole = configuration(
                [node.address for node in self.nodes], self.bus.address, **changes
            )
            own = CellsConfig(
                True,
                str(self.path),
                "tenant",
                50.0,
                str(folder / "records"),
                open_most,
                rate,
                5_000.0,
            )
            self.sinks.append(Sink())
            start = parse_config(json.dumps(whole | {"name": f"n{number}"}))
            self.services.append(Director(start, self.sinks[-1], own))

    def __enter__(self) -> "Housed":
        for service in self.services:
            service.start()
        return self

    def caller(self, number=0):
        self.callers.append(Caller(self.services[number].listener.listener.getsockname()))
        return self.callers[-1]

    def heard(self, word="PULL"):
        return heard(self.nodes, word)

    def __exit__(self, *_):
        for service in self.services:
            service.stop()
        for caller in self.callers:
            caller.close()
        for service in self.services:
            service.wait()
        for each in (*self.nodes, self.bus):
            each.close()
