import json

import pytest
from click.testing import CliRunner
from helpers import platform_configuration

from mulleinrelay import cli
from mulleinrelay.config.platform import load_config, parse_config
from mulleinrelay.errors import ConfigError


def call(*arguments):
    """(exit code, standard output, standard error) of one command."""
    done = CliRunner().invoke(cli.main, arguments)
    return done.exit_code, done.stdout, done.stderr


def changed(path, value):
    """The configuration with one key set, or taken out where the value is `...`."""
    whole = platform_configuration()
    *way, last = path.split("/")
    spot = whole
    for step in way:
        spot = spot[int(step) if step.isdecimal() else step]
    if value is ...:
        del spot[last]
    else:
        spot[last] = value
    return json.dumps(whole)


@pytest.mark.parametrize(
    ("path", "value", "told"),
    [
        ("name", ..., "name: the key is missing"),
        ("listen", "nowhere", "listen: host:port is wanted"),
        ("listen", "127.0.0.1:70000", "listen: host:port"),
        ("seed", "xyz", "seed: hex digits"),
        ("bus", 7, "bus: a string is wanted"),
        ("known/offset", "3", "known.offset: a whole number"),
        ("known", [], "known: an object is wanted"),
        ("limits/sockets", 1.5, "limits.sockets: a whole number"),
        ("limits/sockets", 20, "limits.sockets: 64 or more"),
        ("settings", ..., "settings: the key is missing"),
        ("settings/classes/1/slo", None, "settings.classes[1].slo: a number"),
        (
            "settings/classes/0/idempotency",
            "maybe",
            "settings.classes[0].idempotency: one of safe, keyed",
        ),
        ("settings/classes/0/name", ..., "settings.classes[0].name: the key is missing"),
        ("settings/allowed/cancel", 1, "settings.allowed.cancel: true or false"),
        ("settings/allowed/maxStreams", ..., "settings.allowed.maxStreams"),
        ("settings/domain/neverKept", [False], "settings.domain.neverKept: an entry 1 is missing"),
        ("settings/domain/freshFor", ["x", 0, 0], "settings.domain.freshFor[0]: a number"),
        ("settings/myZone", 9, "settings.domain.countByZone: an entry 9 is missing"),
        ("settings/rules/cold", True, "settings.rules.cold: a number"),
    ],
)
def test_error_names_its_key(path, value, told, tmp_path):
    with pytest.raises(ConfigError) as fault:
        parse_config(changed(path, value))
    assert str(fault.value).startswith(told)
    file = tmp_path / "config.json"
    file.write_text(changed(path, value))
    assert call("check", "--config", str(file)) == (2, "", f"mulleinrelay: {fault.value}\n")


@pytest.mark.parametrize("text", ["", "[", "[]", "nul"])
def test_value_that_is_no_object_is_an_error(text):
    with pytest.raises(ConfigError, match="configuration"):
        parse_config(text)


def test_configuration_is_read_as_a_director_gets_it(tmp_path):
    start = parse_config(json.dumps(platform_configuration()))
    assert (start.name, start.seed, start.max_descriptors, start.last_event_number) == (
        "n3",
        0x8C1F,
        1024,
        1,
    )
    assert list(start.request_classes) == ["pages", "order", "pay"] and start.zones == {
        "hub": 0,
        "edge": 1,
    }
    file = tmp_path / "config.json"
    file.write_text(json.dumps(platform_configuration()))
    assert load_config({"LB_CONFIG": str(file)}).name == "n3"
    code, told, _ = call("check", "--config", str(file))
    assert code == 0 and told.startswith("n3: listens on 127.0.0.1:")


@pytest.mark.parametrize("environment", [{}, {"LB_CONFIG": "/no/such/file"}])
def test_missing_configuration_is_an_error(environment):
    with pytest.raises(ConfigError, match="LB_CONFIG"):
        load_config(environment)


def test_version():
    code, told, _ = call("version")
    assert code == 0 and told.startswith("mulleinrelay 0.")
