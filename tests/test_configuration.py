"""The platform's configuration and the commands `check` and `version`."""

import json

import pytest
from click.testing import CliRunner
from helpers import platform_configuration

from mulleinrelay import cli
from mulleinrelay.config.platform import load_config, parse_config
from mulleinrelay.errors import ConfigError


def run_command(*arguments):
    """Run a command; return its exit code, standard output and standard error."""
    result = CliRunner().invoke(cli.main, arguments)
    return result.exit_code, result.stdout, result.stderr


def configuration_with(path, value):
    """Return the configuration as JSON with one key changed, or removed if the value is `...`."""
    configuration = platform_configuration()
    *parents, last = path.split("/")
    section = configuration
    for key in parents:
        section = section[int(key) if key.isdecimal() else key]
    if value is ...:
        del section[last]
    else:
        section[last] = value
    return json.dumps(configuration)


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("name", ..., "name: the key is missing"),
        ("listen", "nowhere", "listen: expected host:port"),
        ("listen", "127.0.0.1:70000", "listen: expected host:port"),
        ("seed", "xyz", "seed: expected hex digits"),
        ("bus", 7, "bus: expected a string"),
        ("known/offset", "3", "known.offset: expected an integer"),
        ("known", [], "known: expected an object"),
        ("limits/sockets", 1.5, "limits.sockets: expected an integer"),
        ("limits/sockets", 20, "limits.sockets: expected at least 64, found 20"),
        ("settings", ..., "settings: the key is missing"),
        ("settings/classes/1/slo", None, "settings.classes[1].slo: expected a number"),
        (
            "settings/classes/0/idempotency",
            "maybe",
            "settings.classes[0].idempotency: expected one of safe, keyed",
        ),
        ("settings/classes/0/name", ..., "settings.classes[0].name: the key is missing"),
        ("settings/allowed/cancel", 1, "settings.allowed.cancel: expected true or false"),
        ("settings/allowed/maxStreams", ..., "settings.allowed.maxStreams"),
        ("settings/domain/neverKept", [False], "settings.domain.neverKept: entry 1 is missing"),
        ("settings/domain/freshFor", ["x", 0, 0], "settings.domain.freshFor[0]: expected a number"),
        ("settings/myZone", 9, "settings.domain.countByZone: entry 9 is missing"),
        ("settings/rules/cold", True, "settings.rules.cold: expected a number"),
    ],
)
def test_error_names_its_key(path, value, message, tmp_path):
    with pytest.raises(ConfigError) as error:
        parse_config(configuration_with(path, value))
    assert str(error.value).startswith(message)
    file = tmp_path / "config.json"
    file.write_text(configuration_with(path, value))
    assert run_command("check", "--config", str(file)) == (2, "", f"mulleinrelay: {error.value}\n")


@pytest.mark.parametrize("text", ["", "[", "[]", "nul"])
def test_configuration_that_is_not_an_object_is_an_error(text):
    with pytest.raises(ConfigError, match="configuration"):
        parse_config(text)


def test_valid_configuration_is_read_and_checked(tmp_path):
    config = parse_config(json.dumps(platform_configuration()))
    assert (config.name, config.seed, config.max_descriptors, config.last_event_number) == (
        "n3",
        0x8C1F,
        1024,
        1,
    )
    assert list(config.request_classes) == ["pages", "order", "pay"] and config.zones == {
        "hub": 0,
        "edge": 1,
    }
    file = tmp_path / "config.json"
    file.write_text(json.dumps(platform_configuration()))
    assert load_config({"LB_CONFIG": str(file)}).name == "n3"
    exit_code, output, _ = run_command("check", "--config", str(file))
    assert exit_code == 0 and output.startswith("n3: listens on 127.0.0.1:")


@pytest.mark.parametrize("environment", [{}, {"LB_CONFIG": "/no/such/file"}])
def test_missing_configuration_is_an_error(environment):
    with pytest.raises(ConfigError, match="LB_CONFIG"):
        load_config(environment)


def test_version():
    exit_code, output, _ = run_command("version")
    assert exit_code == 0 and output.startswith("mulleinrelay 0.")
