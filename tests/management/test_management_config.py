"""The INI file of management."""

import pytest

from mulleinrelay.errors import ConfigError
from mulleinrelay.management.config import parse_management_config


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[management]\nenabled = yes", "[management] insecure_loopback"),
        (
            "[management]\nenabled = yes\nlisten = 10.0.0.1:1\ninsecure_loopback = yes",
            "[management] listen: without",
        ),
        ("[management]\nlisten = here", "[management] listen: expected host:port"),
        ("[management]\nkey = x", "[management] certificate"),
        ("[roles]\nboss = king", "[roles] boss: expected one of read, drain, configure"),
        ("[limits]\nqueue = -1", "[limits] queue"),
        ("[limits]\nspeed = 1", "[limits] speed"),
        ("[x]\n", "[x]: unknown section; known sections: "),
    ],
)
def test_error_names_section_and_key(text, message):
    with pytest.raises(ConfigError) as error:
        parse_management_config(text, "/somewhere")
    assert str(error.value).startswith(message)
