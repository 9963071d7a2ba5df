"""Fixtures of the tests of cells."""

import json

from helpers import (
    ENDPOINTS,
    HIT_ANSWER,
    LogRecorder,
    StandInClient,
    StandInEndpoint,
    StandInEventStream,
    commands_by_endpoint,
    platform_configuration,
)

from mulleinrelay.cells.admission_controller import (
    AdmissionController,
    AdmissionGrant,
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


def make_assignment(
    cells=("north", "south"),
    tenants=("acme", "beta", "shared"),
    moves=(),
    version=1,
    releases=(),
    tenant_limits=None,
    **changes,
) -> Assignment:
    """Makes an assignment of two cells; tenants are in the first, but `beta` in the last."""
    cells = [Cell(cell) if isinstance(cell, str) else cell for cell in cells]
    cells_by_name = {cell.name: cell for cell in cells}
    tenants_by_name = {}
    for tenant in tenants:
        if isinstance(tenant, str):
            home = cells[-1] if tenant == "beta" else cells[0]
            tenant = Tenant(tenant, home.name, limits=tenant_limits or Limits())
        tenants_by_name[tenant.name] = tenant
    return Assignment(
        version,
        1000.0,
        cells_by_name,
        tenants_by_name,
        {move.name: move for move in moves},
        {release.name: release for release in releases},
        **({"default_tenant": "shared"} | changes),
    )


def make_migration(starts_at=10_000.0, **changes) -> Migration:
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


class ControllerFixture:
    """A controller with named caches, and a clock that stands until moved."""

    def __init__(
        self,
        assignment=None,
        caches=("s-01", "s-02", "s-03", "s-04"),
        capacity=None,
        can_bypass=True,
    ):
        self.now = 1_000.0
        self.controller = AdmissionController(
            self.now,
            assignment or make_assignment(),
            capacity or DirectorCapacity(100.0),
            can_bypass,
        )
        self.texts = self.update_caches(caches)

    def update_caches(self, caches, fractions=None):
        fractions = fractions or {}
        return self.controller.update_caches(
            self.now, [(name, name, fractions.get(name, 1.0)) for name in caches]
        )

    def admit(
        self,
        tenant_name="acme",
        request_class=PAGES,
        key=7,
        idempotency_key="",
        is_retry=False,
        body=0,
        address="",
        group=99,
    ):
        return self.controller.admit_request(
            self.now,
            AdmissionRequest(
                tenant_name, address, group, key, request_class, idempotency_key, is_retry, body
            ),
        )

    def count_admitted(self, count, **request):
        """Returns how many of `count` requests are admitted; they stay open."""
        grants = [self.admit(key=key, **request) for key in range(count)]
        return sum(isinstance(grant, AdmissionGrant) for grant in grants)

    def complete(self, grant, is_served=True, delay=5.0, is_client_waiting=True):
        return self.controller.complete_request(
            self.now, grant, is_served, is_client_waiting, delay
        )


class DirectorsFixture:
    """Whole directors with one assignment file, before the same stand-ins; the block stops them."""

    def __init__(
        self, folder, held, plan=HIT_ANSWER, directors=1, open_most=0, rate=0.0, **changes
    ):
        self.path = folder / "assignment.ini"
        self.path.write_text(format_assignment(held))
        plans = plan if isinstance(plan, list) else [plan] * len(ENDPOINTS)
        self.endpoints = [StandInEndpoint(each) for each in plans]
        self.bus, self.sinks, self.callers = StandInEventStream(), [], []
        self.services: list[Director] = []
        for number in range(directors):
            whole = platform_configuration(
                [node.address for node in self.endpoints], self.bus.address, **changes
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
            self.sinks.append(LogRecorder())
            start = parse_config(json.dumps(whole | {"name": f"n{number}"}))
            self.services.append(Director(start, self.sinks[-1], own))

    def __enter__(self) -> "DirectorsFixture":
        for service in self.services:
            service.start()
        return self

    def caller(self, number=0):
        self.callers.append(StandInClient(self.services[number].listener.listener.getsockname()))
        return self.callers[-1]

    def heard(self, word="PULL"):
        return commands_by_endpoint(self.endpoints, word)

    def __exit__(self, *_):
        for service in self.services:
            service.stop()
        for caller in self.callers:
            caller.close()
        for service in self.services:
            service.wait()
        for each in (*self.endpoints, self.bus):
            each.close()
