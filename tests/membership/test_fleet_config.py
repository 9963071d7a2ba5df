import os

import pytest

from mulleinrelay.errors import ConfigError
from mulleinrelay.membership.config import load_fleet_config, parse_fleet_config

EXAMPLE_FILE = os.path.join(os.path.dirname(__file__), "..", "..", "deploy", "fleet.ini")
ENABLED = "[fleet]\nenabled = yes\nkey = long enough\n"


def test_example_file_is_disabled_and_valid():
    config = load_fleet_config(EXAMPLE_FILE)
    assert not config.enabled and not config.shares_slow_start_quota and config.seeds


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[fleet]\nenabled = yes\n", r"\[fleet\] key"),
        ("[fleet]\nenabled = maybe\n", r"\[fleet\] enabled"),
        (ENABLED + "listen = here\n", r"\[fleet\] listen"),
        (ENABLED + "listen = 0.0.0.0:7946\n", r"\[fleet\] announce"),
        (ENABLED + "seeds = 127.0.0.1:7946 x\n", r"\[fleet\] seeds"),
        (ENABLED + "location = a b\n", r"\[fleet\] location"),
        (ENABLED + "colour = red\n", r"\[fleet\] colour: unknown key; known keys: "),
        (ENABLED + "[budgets]\nwarm = yes\n", r"\[budgets\] warm: unknown key; known keys: "),
        (ENABLED + "[other]\n", r"\[other\]: unknown section; known sections: "),
    ],
)
def test_error_names_section_and_key(text, message):
    with pytest.raises(ConfigError, match=message):
        parse_fleet_config(text, "/")


def test_records_folder_is_relative_to_the_folder_of_the_file():
    config = parse_fleet_config(
        ENABLED + "records = kept\nlisten = 10.0.0.1:5\n[budgets]\ncold = yes\n", "/var/fleet"
    )
    assert config.records_folder == "/var/fleet/kept"
    assert config.announce == ("10.0.0.1", 5)
    assert config.shares_slow_start_quota
