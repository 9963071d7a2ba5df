"""Ports of the labs that stay reserved while the process that listens there starts or restarts.

Without the reservation, a fault proxy could get the port that the lab had selected for its
directors, before they started. The directors could not listen then, the load generator's requests
reached the proxy, and the endpoint process ended because of requests it could not decode.
"""

import contextlib
import socket

import pytest

from mulleinrelay.lab.director import Director
from mulleinrelay.lab.fleet import addresses
from mulleinrelay.lab.fleet.node_server import NodeContext, NodeServer, build_node_fleet
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario
from mulleinrelay.standins.event_loop import EventLoop
from mulleinrelay.standins.reserved_port import ReservedPort

LOOPBACK = "127.0.0.1"
SCENARIO = """
[fleet lab]
seconds = 9
[directors]
count = 2
[nodes]
locations = north
caches = 2
"""


def can_bind(port, host=LOOPBACK, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


@contextlib.contextmanager
def listener_at(host, port):
    with socket.create_server((host, port)) as listener:  # sets SO_REUSEADDR
        listener.settimeout(2.0)
        yield listener


@pytest.mark.parametrize("host", ["", LOOPBACK])
def test_reserved_port_refuses_connections_until_a_process_listens(host):
    reserved = ReservedPort(host)
    for _ in range(2):  # start and restart
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((LOOPBACK, reserved.port), timeout=2.0)
        with listener_at(host, reserved.port) as listener:
            client = socket.create_connection((LOOPBACK, reserved.port), timeout=2.0)
            listener.accept()[0].close()
            client.close()
        assert not can_bind(reserved.port)
    reserved.release()


def test_reserved_port_is_not_selected_for_listeners_at_all_addresses():
    all_reserved = [ReservedPort(addresses.RESERVATION_ADDRESS) for _ in range(300)]
    ports = {reserved.port for reserved in all_reserved}
    loop = EventLoop()
    selected = set()
    # The system selects from about 28,000 ports, so without reservations it would select some of
    # the 300 ports.
    for _ in range(2000):
        listener = loop.listen("", 0, lambda accepted: None, on_all_addresses=True)
        selected.add(listener.getsockname()[1])
        loop.stop_listening(listener)
    for reserved in all_reserved:
        reserved.release()
    assert len(ports) == 300
    assert not ports & selected


def test_released_port_is_free():
    # No other socket of the test run can get the released port. No other test binds a socket to
    # these two addresses, and while the guard is bound to the port, the system does not select the
    # port for a socket that is bound to all addresses.
    host, guard_host = "127.50.0.1", "127.50.0.2"
    reserved = ReservedPort(host)
    with socket.socket() as guard:
        guard.bind((guard_host, reserved.port))
        assert not can_bind(reserved.port, host)
        reserved.release()
        assert can_bind(reserved.port, host)


def test_ports_of_a_fleet_lab_are_free_only_at_the_addresses_of_its_directors(tmp_path):
    lab = FleetLab(parse_fleet_scenario(SCENARIO), SCENARIO, str(tmp_path))
    client_port = lab.client_port.port
    datagram_port = lab.datagram_port.port
    assert not can_bind(client_port, host="")
    assert not can_bind(datagram_port, host="", kind=socket.SOCK_DGRAM)
    for director in (0, 1):
        with listener_at(addresses.listen_address(director), client_port):
            pass
        for host in (addresses.listen_address(director), addresses.advertised_address(director)):
            assert can_bind(datagram_port, host, socket.SOCK_DGRAM)
    lab.client_port.release()
    lab.datagram_port.release()


def test_port_of_a_crashed_node_stays_reserved():
    scenario = parse_fleet_scenario(SCENARIO)
    fleet = build_node_fleet(scenario)
    context = NodeContext(EventLoop(), fleet, None, lambda *_: False)
    site = next(iter(scenario.node_sites()))
    server = NodeServer(context, fleet.nodes[site.name], site.zone)
    server.crash()
    assert not can_bind(server.port)
    server.restart()
    socket.create_connection((LOOPBACK, server.port), timeout=2.0).close()


def test_ports_of_a_stopped_director_of_the_tenant_lab_stay_reserved(tmp_path, monkeypatch):
    monkeypatch.setattr(Director, "start", lambda self: None)
    director = Director("n0", str(tmp_path), {}, None, has_management=True)
    assert not can_bind(director.address[1])
    assert not can_bind(int(director.gnmi_address.rpartition(":")[2]))
    director.client_port.release()
    director.gnmi_port.release()


def test_ports_for_processes_of_other_tests_stay_reserved(reserve_port):
    ports = [reserve_port() for _ in range(3)]
    assert len(set(ports)) == 3
    assert not any(can_bind(port) for port in ports)
