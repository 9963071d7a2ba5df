"""Subscriptions at a whole director."""

import threading

import pytest
from gnmi_calls import call, subscribe
from helpers import wait_for
from managed_director import INSECURE_CONFIG, ManagedDirector, drain, drain_path

from mulleinrelay.management import gnmi_messages as gnmi
from mulleinrelay.management.gnmi_client import GnmiCallError
from mulleinrelay.management.paths import parse_path


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """One director with cells for all tests here that leave it as it was."""
    with ManagedDirector(tmp_path_factory.mktemp("managed"), cells=True) as director:
        yield director


def collect_events(target, paths, is_complete):
    """Subscribes in a thread.

    Returns the list that it fills (an error comes last, as ("error", code, text)) and the event
    that it sets once `is_complete` is true of the list or the call has failed.
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


def test_stream_notifies_of_changes_at_once(running):
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


def test_queue_of_a_subscriber_that_reads_nothing_is_bounded(running):
    subscriber = running.management.subscribe([parse_path("/fleet/drains")], 3)
    for number in range(6):
        drain(running.target(), "zz", reason=f"r{number}")
    running.target().set(deletes=[drain_path("zz")])
    assert len(subscriber.queue) == 3
    assert subscriber.dropped_count >= 4
    running.management.unsubscribe(subscriber)


def test_stream_beyond_the_limit_is_rejected(tmp_path):
    with ManagedDirector(tmp_path, INSECURE_CONFIG + "[limits]\nsubscribers = 1\n") as director:
        events, _ = collect_events(director.target(), ["/fleet/drains"], lambda _: False)
        assert wait_for(lambda: ("sync", None, None) in events)
        others, done = collect_events(director.target(), ["/fleet/drains"], lambda _: False)
        assert done.wait(5.0)
        assert others[-1][:2] == ("error", "RESOURCE_EXHAUSTED")


@pytest.mark.parametrize(
    ("requests", "has_updates", "syncs"),
    [
        ([subscribe(gnmi.ONCE, "/fleet/request-classes")], True, 1),
        ([subscribe(gnmi.ONCE, "/fleet/request-classes", updates_only=True)], False, 1),
        (
            [subscribe(gnmi.POLL, "/fleet/request-classes"), *[gnmi.SubscribeRequest(poll={})] * 2],
            True,
            2,
        ),
    ],
    ids=["once", "once, updates only", "poll"],
)
def test_once_and_poll_send_updates_and_syncs(running, requests, has_updates, syncs):
    responses = call(running, "Subscribe", requests)
    assert any(len(response.update.update) for response in responses) == has_updates
    assert sum(response.sync_response for response in responses) == syncs
