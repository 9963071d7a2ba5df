"""A node of the fleet lab and its connections, driven by hand."""

import socket
import time
from types import SimpleNamespace

import pytest

from mulleinrelay.lab.fleet.hosts import NodeHost, fleet_of
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


@pytest.mark.parametrize("named", [True, False])
def test_a_node_that_dies_takes_all_its_connections_along(named):
    # Guards against a fall that is counted where a node was killed: a command on a connection that
    # had been accepted, and whose first line came after the kill.
    scenario = parse_fleet_scenario(SMALL)
    fleet, records = fleet_of(scenario), []
    hosts = SimpleNamespace(
        loop=EventLoop(),
        fleet=fleet,
        hosts={},
        too_old=lambda *_: False,
        records=SimpleNamespace(add=lambda *held: records.append(held)),
    )
    site = next(iter(scenario.node_sites()))
    host = NodeHost(hosts, fleet.nodes[site.name], site.zone)

    def turn():
        for key, mask in hosts.loop.selector.select(1.0):
            key.data(mask)

    caller = socket.create_connection(("127.0.0.1", host.port))
    turn()
    if named:
        caller.sendall(b"*1\n")
        turn()
    host.die()
    try:
        caller.sendall((b"" if named else b"*1\n") + PULL)
    except ConnectionError:
        pass
    for _ in range(3):
        for key, mask in hosts.loop.selector.select(0.05):
            key.data(mask)
    assert not host.wires and [held[0] for held in records] == (["conn", "conn"] if named else [])
    with pytest.raises(ConnectionError):
        time.sleep(0.01)
        caller.sendall(PULL)
        caller.recv(1)
