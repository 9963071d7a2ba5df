"""Subscriptions to a complete director."""

import threading

import pytest
from gnmi_calls import call, subscribe_request
from helpers import wait_for
from managed_director import INSECURE_CONFIG, ManagedDirector, drain, drain_path

from mulleinrelay.management import gnmi_messages as gnmi
from mulleinrelay.management.gnmi_client import GnmiCallError
from mulleinrelay.management.paths import parse_path


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Yield a director with cells, shared by the tests that start no director of their own."""
    with ManagedDirector(tmp_path_factory.mktemp("managed"), cells=True) as director:
        yield director


def collect_events(target, paths, is_complete):
    """Subscribe in a thread that collects the events in a list.

    If the call fails, the last item of the list is ("error", code, text).

    Returns:
        The list, and a threading.Event that is set when `is_complete` returns true for the list, or
        when the call has ended or failed.
    """
    events = []
    done = threading.Event()

    def read():
        try:
            for event in target.watch([parse_path(path) for path in paths]):
                events.append(event)
                if is_complete(events):
                    break
        except GnmiCallError as error:
            events.append(("error", error.code, str(error)))
        done.set()

    threading.Thread(target=read, daemon=True).start()
    return events, done


def test_stream_sends_changes_at_once(running):
    events, done = collect_events(
        running.target(),
        ["/fleet/drains", "/fleet/boxes/box[name=s-02]/state"],
        lambda events: any(kind == "delete" for kind, _, _ in events),
    )
    assert wait_for(lambda: ("sync", None, None) in events)
    drain(running.target(), "s-02", reason="r")
    assert wait_for(
        lambda: (
            any(value == "r" for _, _, value in events)
            and any(value == "draining" for _, _, value in events)
        )
    )
    running.target().set(deletes=[drain_path("s-02")])
    assert done.wait(5.0)


def test_queue_of_a_subscriber_that_does_not_read_is_bounded(running):
    subscriber = running.management.subscribe([parse_path("/fleet/drains")], 3)
    for number in range(6):
        drain(running.target(), "zz", reason=f"r{number}")
    running.target().set(deletes=[drain_path("zz")])
    # The thread of management may queue a change after the call has returned.
    assert wait_for(lambda: subscriber.dropped_count >= 4, 10.0)
    assert len(subscriber.queue) == 3
    running.management.unsubscribe(subscriber)


def test_stream_beyond_the_limit_is_rejected(tmp_path):
    with ManagedDirector(tmp_path, INSECURE_CONFIG + "[limits]\nsubscribers = 1\n") as director:
        events, _ = collect_events(director.target(), ["/fleet/drains"], lambda _: False)
        assert wait_for(lambda: ("sync", None, None) in events)
        rejected_events, done = collect_events(
            director.target(), ["/fleet/drains"], lambda _: False
        )
        assert done.wait(5.0)
        assert rejected_events[-1][:2] == ("error", "RESOURCE_EXHAUSTED")


@pytest.mark.parametrize(
    ("requests", "has_updates", "sync_count"),
    [
        ([subscribe_request(gnmi.ONCE, "/fleet/request-classes")], True, 1),
        ([subscribe_request(gnmi.ONCE, "/fleet/request-classes", updates_only=True)], False, 1),
        (
            [
                subscribe_request(gnmi.POLL, "/fleet/request-classes"),
                *[gnmi.SubscribeRequest(poll={})] * 2,
            ],
            True,
            2,
        ),
    ],
    ids=["once", "once, updates only", "poll"],
)
def test_once_and_poll_send_updates_and_syncs(running, requests, has_updates, sync_count):
    responses = call(running, "Subscribe", requests)
    assert any(len(response.update.update) for response in responses) == has_updates
    assert sum(response.sync_response for response in responses) == sync_count
