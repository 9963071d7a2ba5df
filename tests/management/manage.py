"""Helpers of the tests of management: a whole director with gNMI before stand-ins."""

import json

from helpers import HIT, SPOTS, Caller, Sink, StandBus, StandNode, configuration, heard

from mulleinrelay.cells.config import CellsConfig as CellsFile
from mulleinrelay.cells.model import Assignment, Cell, Tenant
from mulleinrelay.cells.parser import write
from mulleinrelay.config.platform import parse_config
from mulleinrelay.director import Director
from mulleinrelay.management.config import parse_management_config
from mulleinrelay.management.gnmi_client import ConnectionOptions, GnmiTarget

CLEAR = "[management]\nenabled = yes\ninsecure_loopback = yes\nlisten = 127.0.0.1:0\nstate_dir = state\n"


def charter() -> Assignment:
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


class Managed:
    """One director on loopback with management, and cells where wanted; ended with the block."""

    def __init__(self, folder, own=CLEAR, cells=False, nodes=None, plan=HIT):
        self.folder, self.nodes = folder, nodes or [StandNode(plan) for _ in SPOTS]
        self.bus, self.sink, self.callers, self.targets = StandBus(), Sink(), [], []
        self.path = folder / "assignment.ini"
        held = None
        if cells:
            if not self.path.exists():
                self.path.write_text(write(charter()))
            held = CellsFile(True, str(self.path), "tenant", 50.0, "", 0, 0.0, 5_000.0)
        self.start = parse_config(
            json.dumps(configuration([node.address for node in self.nodes], self.bus.address))
        )
        self.service = Director(
            self.start, self.sink, held, parse_management_config(own, str(folder))
        )

    def __enter__(self) -> "Managed":
        self.service.start()
        self.address = f"127.0.0.1:{self.service.gnmi_server.port}"
        self.management = self.service.gnmi_server.management
        return self

    def target(self, **access):
        self.targets.append(GnmiTarget(self.address, ConnectionOptions(**access)))
        return self.targets[-1]

    def caller(self):
        self.callers.append(Caller(self.service.listener.listener.getsockname()))
        return self.callers[-1]

    def ready(self):
        return [name for name, _, _ in self.service.coordinator.ready_caches()]

    def heard(self):
        return heard(self.nodes)

    def tell(self, number, name, state="SERVING", started=0, port=None, full=False):
        place = next(place for place, spot in enumerate(SPOTS) if spot[0] == name)
        row = {
            "id": name,
            "addr": f"127.0.0.1:{port}" if port else self.nodes[place].address,
            "zone": SPOTS[place][1],
            "kind": SPOTS[place][2],
            "cell": 0,
            "state": state,
            "weight": 4,
            "started_ms": started,
        }
        self.service.event_stream.apply(
            number, {"topology": {"version": number, "full": full, "servers": [row]}}
        )

    def __exit__(self, *_):
        for target in self.targets:
            target.close()
        self.service.stop()
        for caller in self.callers:
            caller.close()
        self.service.wait()
        for each in (*self.nodes, self.bus):
            each.close()
