"""Shared fixtures, hypothesis settings and background jobs.

Hypothesis generates the same cases in each run, so that test results are reproducible.

Some tests evaluate the result of a long-running job. The jobs of all collected test modules are
started before the first test and run in the background. Lab runs with complete fleets take most of
a minute but little CPU time, so they run in threads. Simulations and searches use one CPU core
each, so they run in processes.
"""

import multiprocessing
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor

import pytest
from helpers import hold_calls
from hypothesis import settings

from mulleinrelay import director
from mulleinrelay.net import event_stream
from mulleinrelay.net.client_listener import ClientListener
from mulleinrelay.standins.reserved_port import ReservedPort

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")

MAX_THREAD_JOBS = 3  # at a time; more fleets at once would fall behind their schedules
MAX_PROCESS_JOBS = 3  # at a time


@pytest.fixture(autouse=True)
def skip_catch_up(monkeypatch):
    """Let directors start without waiting for missed events of the event stream.

    The wait is not needed, because the stand-in sends all events together with the response head.
    """
    monkeypatch.setattr(event_stream, "CATCH_UP_TIMEOUT_S", 0.0)


@pytest.fixture
def reserve_port():
    """Return a function that returns a loopback port for a process that starts later.

    The port stays reserved until the end of the test. Otherwise another test's listener could get
    the port before the process listens.
    """
    all_reserved = []

    def reserve():
        all_reserved.append(ReservedPort("127.0.0.1"))
        return all_reserved[-1].port

    yield reserve
    for reserved in all_reserved:
        reserved.release()


@pytest.fixture
def short_drains(monkeypatch):
    """Let drains end as soon as no request is open, without a minimum wait for further calls."""
    monkeypatch.setattr(director, "NEW_CALLS_S", 0.0)


@pytest.fixture
def allow_client_reads(monkeypatch):
    """Return an event; client connections are not read until it is set."""
    yield (resume := hold_calls(monkeypatch, ClientListener, "_serve_connection"))
    resume.set()


def pytest_collection_modifyitems(items):
    """Move tests that wait for a background job to the end, to give the jobs time to finish.

    The names of a test's fixtures include those that it requests only through other fixtures.
    """
    items.sort(
        key=lambda item: (
            not {"process_job_result", "thread_job_result"}.isdisjoint(item.fixturenames)
        )
    )


def collect_jobs(session, name):
    """Return the union of the job tables with this name in all collected test modules."""
    modules = {item.module for item in session.items}
    jobs = {}
    for module in sorted(modules, key=lambda module: module.__name__):
        jobs |= getattr(module, name, {})
    return jobs


@pytest.fixture(scope="session", autouse=True)
def process_jobs(request):
    """Start the process jobs and return their futures by name.

    A test module lists its jobs in PROCESS_JOBS: each name has a function and its arguments. The
    function is called in another process.
    """
    jobs = collect_jobs(request.session, "PROCESS_JOBS")
    with ProcessPoolExecutor(MAX_PROCESS_JOBS, multiprocessing.get_context("spawn")) as pool:
        yield {name: pool.submit(*job) for name, job in jobs.items()}


@pytest.fixture(scope="session", autouse=True)
def thread_jobs(request, tmp_path_factory):
    """Start the thread jobs and return their futures by name.

    A test module lists its jobs in THREAD_JOBS: each name has a function, which is called in a
    thread with the path of a temporary folder.
    """
    jobs = collect_jobs(request.session, "THREAD_JOBS")
    with ThreadPoolExecutor(MAX_THREAD_JOBS) as pool:
        yield {
            name: pool.submit(job, str(tmp_path_factory.mktemp(name))) for name, job in jobs.items()
        }


@pytest.fixture(scope="session")
def process_job_result(process_jobs):
    """Return a function that waits for the process job with a given name and returns its result."""
    return lambda name: process_jobs[name].result()


@pytest.fixture(scope="session")
def thread_job_result(thread_jobs):
    """Return a function that waits for the thread job with a given name and returns its result."""
    return lambda name: thread_jobs[name].result()
