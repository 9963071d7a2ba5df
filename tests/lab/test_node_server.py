"""A node server of the fleet lab, whose event loop the test runs step by step."""

import contextlib
import socket
import time

import pytest

from mulleinrelay.lab.fleet.node_server import NodeContext, NodeServer, build_node_fleet
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario
from mulleinrelay.net import resp
from mulleinrelay.standins.event_loop import EventLoop

SCENARIO = """
[fleet lab]
seconds = 9
[directors]
count = 2
[nodes]
locations = north
caches = 2
falls = yes
"""
PULL_COMMAND = resp.command(b"PULL", b"9b" * 8, b"lane=pages,name=ab,piece=0", b"")


class FakeRecorder:
    def __init__(self):
        self.records = []

    def add(self, *record):
        self.records.append(record)


@pytest.mark.parametrize("has_director_line", [True, False])
def test_crashed_node_closes_all_connections(has_director_line):
    # Guard against a connection that stays open if the node crashes after accepting it and before
    # receiving its first line, which names the director. A later command on that connection would
    # count as a second crash of the node.
    scenario = parse_fleet_scenario(SCENARIO)
    fleet = build_node_fleet(scenario)
    recorder = FakeRecorder()
    context = NodeContext(EventLoop(), fleet, recorder, lambda *_: False)
    site = next(iter(scenario.node_sites()))
    server = NodeServer(context, fleet.nodes[site.name], site.zone)

    def run_loop_once(timeout_s):
        for key, mask in context.loop.selector.select(timeout_s):
            key.data(mask)

    client = socket.create_connection(("127.0.0.1", server.port))
    run_loop_once(1.0)
    if has_director_line:
        client.sendall(b"*1\n")
        run_loop_once(1.0)
    server.crash()
    with contextlib.suppress(ConnectionError):
        client.sendall((b"" if has_director_line else b"*1\n") + PULL_COMMAND)
    for _ in range(3):
        run_loop_once(0.05)
    record_types = [record[0] for record in recorder.records]
    assert not server.sessions and record_types == (["conn", "conn"] if has_director_line else [])
    with pytest.raises(ConnectionError):
        time.sleep(0.01)
        client.sendall(PULL_COMMAND)
        client.recv(1)
