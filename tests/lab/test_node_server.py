"""A node server of the fleet lab and its connections, driven by hand."""

import contextlib
import socket
import time

import pytest

from mulleinrelay.lab.fleet.node_server import NodeContext, NodeServer, build_node_fleet
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario
from mulleinrelay.net import resp
from mulleinrelay.standins.event_loop import EventLoop

SMALL = """
[fleet lab]
seconds = 9
[directors]
count = 2
[nodes]
locations = north
caches = 2
falls = yes
"""
PULL = resp.command(b"PULL", b"9b" * 8, b"lane=pages,name=ab,piece=0", b"")


class Recorder:
    def __init__(self):
        self.records = []

    def add(self, *record):
        self.records.append(record)


@pytest.mark.parametrize("is_named", [True, False])
def test_a_node_that_crashes_closes_all_its_connections(is_named):
    # A command on a connection that had been accepted, and whose first line came after the crash,
    # was counted as one more crash of the node.
    scenario = parse_fleet_scenario(SMALL)
    fleet = build_node_fleet(scenario)
    recorder = Recorder()
    context = NodeContext(EventLoop(), fleet, recorder, lambda *_: False)
    site = next(iter(scenario.node_sites()))
    server = NodeServer(context, fleet.nodes[site.name], site.zone)

    def turn(timeout_s):
        for key, mask in context.loop.selector.select(timeout_s):
            key.data(mask)

    caller = socket.create_connection(("127.0.0.1", server.port))
    turn(1.0)
    if is_named:
        caller.sendall(b"*1\n")
        turn(1.0)
    server.crash()
    with contextlib.suppress(ConnectionError):
        caller.sendall((b"" if is_named else b"*1\n") + PULL)
    for _ in range(3):
        turn(0.05)
    record_types = [record[0] for record in recorder.records]
    assert not server.sessions and record_types == (["conn", "conn"] if is_named else [])
    with pytest.raises(ConnectionError):
        time.sleep(0.01)
        caller.sendall(PULL)
        caller.recv(1)
