"""Helpers and fixtures for the tests of cells."""

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
    migrations=(),
    version=1,
    rollouts=(),
    tenant_limits=None,
    **changes,
) -> Assignment:
    """Return an assignment.

    Cells and tenants are given as objects or by name. A tenant that is given by name has the limits
    `tenant_limits`, and its home is the first cell; only the home of `beta` is the last cell. The
    default tenant is `shared`. `changes` are other fields of the assignment.
    """
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
        {migration.name: migration for migration in migrations},
        {rollout.name: rollout for rollout in rollouts},
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
    """An admission controller with caches given by name, and a clock that the test sets."""

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
        self.messages = self.update_caches(caches)

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
        """Return how many of `count` requests are admitted; the admitted requests stay open."""
        grants = [self.admit(key=key, **request) for key in range(count)]
        return sum(isinstance(grant, AdmissionGrant) for grant in grants)

    def complete(self, grant, is_served=True, delay=5.0, is_client_waiting=True):
        return self.controller.complete_request(
            self.now, grant, is_served, is_client_waiting, delay
        )


class DirectorsFixture:
    """Complete directors that share one assignment file and the same stand-ins.

    The directors start when the context is entered and stop when it is left. `plan` is the answer
    plan of all stand-in endpoints, or a list with a plan for each. `open_most` and `rate` are the
    values of `cells.ini`; `changes` are passed to `platform_configuration`.

    By default, the directors do not react to an endpoint that is silent for up to two seconds. They
    send no pings, and connections may take longer than that to open. The latency objective of all
    request classes is longer than the time for which a client waits, so that no attempt is overdue
    and no timer is due before a request expires. Otherwise, if a busy machine does not schedule a
    thread for a second, an endpoint could count as unreachable or a director as overloaded, and
    requests could be hedged, rejected or failed. With `reacts_to_silence`, the settings of
    `start_settings` are kept.
    """

    LONG_LATENCY_OBJECTIVE = 5_000.0  # ms; the clients wait for at most 3000 ms
    LONG_CONNECT_TIMEOUT = 2_900.0  # ms

    def __init__(
        self,
        folder,
        assignment,
        plan=HIT_ANSWER,
        director_count=1,
        open_most=0,
        rate=0.0,
        reacts_to_silence=False,
        **changes,
    ):
        self.path = folder / "assignment.ini"
        self.path.write_text(format_assignment(assignment))
        plans = plan if isinstance(plan, list) else [plan] * len(ENDPOINTS)
        self.endpoints = [StandInEndpoint(endpoint_plan) for endpoint_plan in plans]
        self.event_stream, self.logs, self.clients = StandInEventStream(), [], []
        self.directors: list[Director] = []
        for number in range(director_count):
            platform_config = platform_configuration(
                [endpoint.address for endpoint in self.endpoints],
                self.event_stream.address,
                **changes,
            )
            if not reacts_to_silence:
                platform_config["settings"]["allowed"] |= {
                    "mayProbe": False,
                    "connectTimeout": self.LONG_CONNECT_TIMEOUT,
                }
                for request_class in platform_config["settings"]["classes"]:
                    request_class["slo"] = self.LONG_LATENCY_OBJECTIVE
            cells_config = CellsConfig(
                True,
                str(self.path),
                "tenant",
                50.0,
                str(folder / "records"),
                open_most,
                rate,
                5_000.0,
            )
            self.logs.append(LogRecorder())
            director_config = parse_config(json.dumps(platform_config | {"name": f"n{number}"}))
            self.directors.append(Director(director_config, self.logs[-1], cells_config))

    def __enter__(self) -> "DirectorsFixture":
        for director in self.directors:
            director.start()
        return self

    def connect_client(self, number=0):
        self.clients.append(StandInClient(self.directors[number].listener.listener.getsockname()))
        return self.clients[-1]

    def commands_by_endpoint(self, word="PULL"):
        return commands_by_endpoint(self.endpoints, word)

    def __exit__(self, *_):
        for director in self.directors:
            director.stop()
        for client in self.clients:
            client.close()
        for director in self.directors:
            director.wait()
        for server in (*self.endpoints, self.event_stream):
            server.close()
