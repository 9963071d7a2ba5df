"""The same verdict every time: hypothesis draws the same cases at each run. Plays of whole fleets
take most of a minute and little of a machine, studies of the model a core each: those that the
collected tests want are begun with the first test, and run beside the others.
"""

import multiprocessing
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from inspect import signature

import pytest
from helpers import hold_calls
from hypothesis import settings

from mulleinrelay import director
from mulleinrelay.net import event_stream
from mulleinrelay.net.client_listener import ClientListener

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")

AT_A_TIME = 3  # fleets: more would be late
STUDIED_AT_A_TIME = 3  # processes


@pytest.fixture(autouse=True)
def skip_catch_up(monkeypatch):
    """Stand-ins of the event stream send everything with the head of the response.

    So directors need not wait for what follows it.
    """
    monkeypatch.setattr(event_stream, "CATCH_UP_TIMEOUT_S", 0.0)


@pytest.fixture
def short_drains(monkeypatch):
    """Drains end at once where nothing is open."""
    monkeypatch.setattr(director, "NEW_CALLS_S", 0.0)


@pytest.fixture
def allow_client_reads(monkeypatch):
    """Connections of clients are read only once it is set."""
    yield (begin := hold_calls(monkeypatch, ClientListener, "_serve_connection"))
    begin.set()


def pytest_collection_modifyitems(items):
    """Those that wait for a study or a play come last, when most have been played beside the
    others.
    """
    items.sort(
        key=lambda item: (
            not {"process_job_result", "thread_job_result"}.isdisjoint(
                signature(item.function).parameters
            )
        )
    )


def wanted_by(session, name):
    modules = {item.module for item in session.items}
    wanted = {}
    for module in sorted(modules, key=lambda module: module.__name__):
        wanted |= getattr(module, name, {})
    return wanted


@pytest.fixture(scope="session", autouse=True)
def process_job_result(request):
    """What the study of that name came to. A module names its studies in STUDIES: a function with
    its arguments, which is called in another process.
    """
    wanted = wanted_by(request.session, "PROCESS_JOBS")
    with ProcessPoolExecutor(STUDIED_AT_A_TIME, multiprocessing.get_context("spawn")) as pool:
        begun = {name: pool.submit(*study) for name, study in wanted.items()}
        yield lambda name: begun[name].result()


@pytest.fixture(scope="session", autouse=True)
def thread_job_result(request, tmp_path_factory):
    """What the play of that name came to. A module names its plays in PLAYS: functions
    of a folder.
    """
    wanted = wanted_by(request.session, "THREAD_JOBS")
    with ThreadPoolExecutor(AT_A_TIME) as pool:
        played = {
            name: pool.submit(play, str(tmp_path_factory.mktemp(name)))
            for name, play in wanted.items()
        }
        yield lambda name: played[name].result()
