"""The same verdict every time: hypothesis draws the same cases at each run. Plays of whole fleets take most
of a minute and little of a machine: those that the collected tests want are played side by side."""

from concurrent.futures import ThreadPoolExecutor

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")

AT_A_TIME = 3  # fleets: more would be late


@pytest.fixture(scope="session")
def plays(request, tmp_path_factory):
    """What the play of that name came to. A module names its plays in PLAYS: functions of a folder."""
    modules = {item.module for item in request.session.items}
    wanted = {}
    for module in sorted(modules, key=lambda module: module.__name__):
        wanted |= getattr(module, "PLAYS", {})
    with ThreadPoolExecutor(AT_A_TIME) as pool:
        played = {name: pool.submit(play, str(tmp_path_factory.mktemp(name)))
                  for name, play in wanted.items()}
        yield lambda name: played[name].result()
