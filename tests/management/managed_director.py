"""A complete director with a gNMI server and stand-in endpoints, for the tests of management."""

import json
from unittest import mock

from helpers import (
    ENDPOINTS,
    HIT_ANSWER,
    LogRecorder,
    StandInClient,
    StandInEndpoint,
    StandInEventStream,
    commands_by_endpoint,
    ignore_late_timers,
    platform_configuration,
)

from mulleinrelay import director as director_module
from mulleinrelay.cells.config import CellsConfig
from mulleinrelay.cells.formatter import format_assignment
from mulleinrelay.cells.model import Assignment, Cell, Tenant
from mulleinrelay.config.platform import parse_config
from mulleinrelay.director import Director
from mulleinrelay.management.config import parse_management_config
from mulleinrelay.management.gnmi_client import ConnectionOptions, GnmiTarget
from mulleinrelay.management.paths import parse_path

INSECURE_CONFIG = (
    "[management]\nenabled = yes\ninsecure_loopback = yes\nlisten = 127.0.0.1:0\n"
    "state_dir = state\n"
)


def drain_path(endpoint):
    return parse_path(f"/fleet/drains/drain[box={endpoint}]")


def drain(target, endpoint, **leaves):
    """Commit a drain with the given leaves; return the number of the version."""
    return target.set(updates=[(drain_path(endpoint), leaves)])


def new_assignment() -> Assignment:
    return Assignment(
        1,
        1000.0,
        {
            "north": Cell("north", caches=("s-01",), failover_cells=("south",)),
            "south": Cell("south", caches=("s-02", "s-03")),
        },
        {"acme": Tenant("acme", "north"), "beta": Tenant("beta", "south")},
        default_tenant="beta",
    )


class ManagedDirector:
    """A director on loopback with management and optional cells, started by a with block.

    The end of the block stops the director and closes its endpoints, clients and connections. The
    files in `folder` are kept, so that another director can continue with them. `changes` are
    passed to `platform_configuration`.
    """

    def __init__(self, folder, config=INSECURE_CONFIG, cells=False, plan=HIT_ANSWER, **changes):
        self.folder = folder
        self.endpoints = [StandInEndpoint(plan) for _ in ENDPOINTS]
        self.event_stream = StandInEventStream()
        self.log = LogRecorder()
        self.clients = []
        self.targets = []
        self.assignment_path = folder / "assignment.ini"
        cells_config = None
        if cells:
            if not self.assignment_path.exists():
                self.assignment_path.write_text(format_assignment(new_assignment()))
            cells_config = CellsConfig(
                True, str(self.assignment_path), "tenant", 50.0, "", 0, 0.0, 5_000.0
            )
        addresses = [endpoint.address for endpoint in self.endpoints]
        self.config = parse_config(
            json.dumps(platform_configuration(addresses, self.event_stream.address, **changes))
        )
        self.director = Director(
            self.config, self.log, cells_config, parse_management_config(config, str(folder))
        )
        ignore_late_timers(self.director)

    def __enter__(self) -> "ManagedDirector":
        self.director.start()
        self.address = f"127.0.0.1:{self.director.gnmi_server.port}"
        self.management = self.director.gnmi_server.management
        return self

    def target(self, **options):
        """Open a gNMI connection, which is closed with the director."""
        self.targets.append(GnmiTarget(self.address, ConnectionOptions(**options)))
        return self.targets[-1]

    def client(self):
        """Connect a client that sends requests and is closed with the director."""
        self.clients.append(StandInClient(self.director.listener.listener.getsockname()))
        return self.clients[-1]

    def ready_caches(self):
        return [name for name, _, _ in self.director.coordinator.ready_caches()]

    def received_requests(self):
        """Return the requests that the endpoints have received, by name of the endpoint."""
        return commands_by_endpoint(self.endpoints)

    def assignment_in_use(self):
        return self.director.cell_service.controller.assignment

    def update_endpoint(self, number, name, state="SERVING", started=0, port=None):
        """Apply an update of one endpoint, as if the event stream had sent it.

        Args:
            number: Number of the event and version of the endpoint list.
            name: Name of the endpoint.
            state: The new state in the endpoint list.
            started: Start time of the endpoint in Unix milliseconds; another one means a restart.
            port: Another port than that of the stand-in; None for the stand-in's address.
        """
        index = next(index for index, row in enumerate(ENDPOINTS) if row[0] == name)
        row = {
            "id": name,
            "addr": f"127.0.0.1:{port}" if port else self.endpoints[index].address,
            "zone": ENDPOINTS[index][1],
            "kind": ENDPOINTS[index][2],
            "cell": 0,
            "state": state,
            "weight": 4,
            "started_ms": started,
        }
        self.director.event_stream.apply(
            number, {"topology": {"version": number, "full": False, "servers": [row]}}
        )

    def __exit__(self, *_):
        for target in self.targets:
            target.close()
        # A stopping director accepts new calls for one more second; the tests skip this second.
        with mock.patch.object(director_module, "NEW_CALLS_S", 0.0):
            self.director.stop()
            for client in self.clients:
                client.close()
            self.director.wait()
        for server in (*self.endpoints, self.event_stream):
            server.close()
