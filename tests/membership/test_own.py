import os

import pytest

from mulleinrelay.errors import ConfigError
from mulleinrelay.membership.config import load_fleet_config, parse_fleet_config

DEPLOY = os.path.join(os.path.dirname(__file__), "..", "..", "deploy", "fleet.ini")
ON = "[fleet]\nenabled = yes\nkey = long enough\n"


def test_the_deployed_file_is_off_and_holds_every_key():
    own = load_fleet_config(DEPLOY)
    assert not own.enabled and not own.shares_slow_start_quota and own.seeds


@pytest.mark.parametrize(
    "text, told",
    [
        ("[fleet]\nenabled = yes\n", r"\[fleet\] key"),
        ("[fleet]\nenabled = maybe\n", r"\[fleet\] enabled"),
        (ON + "listen = here\n", r"\[fleet\] listen"),
        (ON + "listen = 0.0.0.0:7946\n", r"\[fleet\] announce"),
        (ON + "seeds = 127.0.0.1:7946 x\n", r"\[fleet\] seeds"),
        (ON + "location = a b\n", r"\[fleet\] location"),
        (ON + "colour = red\n", r"\[fleet\] colour: an unknown key"),
        (ON + "[budgets]\nwarm = yes\n", r"\[budgets\] warm: an unknown key"),
        (ON + "[other]\n", r"\[other\]: an unknown section"),
    ],
)
def test_a_fault_names_its_key(text, told):
    with pytest.raises(ConfigError, match=told):
        parse_fleet_config(text, "/")


def test_records_are_taken_from_the_files_folder():
    own = parse_fleet_config(
        ON + "records = kept\nlisten = 10.0.0.1:5\n[budgets]\ncold = yes\n", "/var/fleet"
    )
    assert (
        own.records_folder == "/var/fleet/kept"
        and own.announce == ("10.0.0.1", 5)
        and own.shares_slow_start_quota
    )
