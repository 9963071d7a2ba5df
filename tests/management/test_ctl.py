"""`mulleinrelay ctl` with a complete director."""

import json

import pytest
from click.testing import CliRunner
from helpers import hold_calls
from managed_director import ManagedDirector

from mulleinrelay.cli import main
from mulleinrelay.management import commands
from mulleinrelay.management.gnmi_client import GnmiTarget

DRAIN = "/fleet/drains/drain"


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Yield a director with cells, shared by the tests that start no director of their own."""
    with ManagedDirector(tmp_path_factory.mktemp("managed"), cells=True) as director:
        yield director


def ctl(director, *arguments):
    """Run a command; return its exit code and output."""
    result = CliRunner().invoke(main, ["ctl", "--target", director.address, *arguments])
    return result.exit_code, result.output


def test_commands_read_change_and_compare_a_director(running, tmp_path):
    assert ctl(running, "drain", "s-02", "--reason", "smoke")[1].endswith(
        "s-02 binding, 0 attempts in flight\n"
    )
    code, output = ctl(running, "drain", "s-03")
    assert code == 3
    assert "cell south would be left without caches" in output
    assert ctl(running, "undrain", "s-02")[0] == 0
    code, output = ctl(running, "--json", "get", "/fleet/boxes/box/state")
    assert code == 0
    assert json.loads(output)[running.address]["result"][0] == [
        "/fleet/boxes/box[name=s-01]/state",
        "ready",
    ]
    assert "s-03" in ctl(running, "get", "/fleet/boxes/box")[1]
    change = "/fleet/assignment/tenant[name=acme]/limits/retries=0.5"
    assert ctl(running, "set", "--within", "30", "--id", "k1", change)[0] == 0
    assert ctl(running, "confirm", "k1")[0] == 0
    assert ctl(running, "confirm", "k1")[0] == 3
    file = tmp_path / "desired.json"
    file.write_text(json.dumps(running.management.datastore.running.tree))
    assert "0 with other values, 0 not in the file" in ctl(running, "diff", str(file))[1]
    number = running.management.datastore.running.number
    assert ctl(running, "set", f"{DRAIN}[box=zz]/reason=x", "--built-on", "1")[0] == 3
    assert ctl(running, "set", f"{DRAIN}[box=zz]/reason=x")[0] == 0
    assert "+ /fleet" not in ctl(running, "diff", str(file))[1]
    assert ctl(running, "rollback", str(number))[0] == 0
    assert f"back to version {number}" in ctl(running, "history")[1]
    assert ctl(running, "get", "/fleet/[x")[0] == 2
    assert ctl(running, "set", "nonsense")[0] == 2
    assert ctl(running, "--target", "127.0.0.1:1", "--timeout", "0.5", "history")[0] == 1


def test_watch_shows_values_and_ends_after_the_given_time(running, monkeypatch):
    # A timer closes the connection after the given time. Here the close is blocked until the first
    # value is shown, because that may take longer than the given time on a busy machine.
    resume_close = hold_calls(monkeypatch, GnmiTarget, "close")
    show_event = commands._show_event

    def show_and_allow_close(*arguments):
        show_event(*arguments)
        resume_close.set()

    monkeypatch.setattr(commands, "_show_event", show_and_allow_close)
    code, output = ctl(running, "watch", "--seconds", "0.5", "/fleet/boxes")
    assert code == 0
    assert "s-01" in output
