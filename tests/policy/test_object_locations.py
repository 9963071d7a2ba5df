"""Caches that are believed to hold a part of an object."""

from types import SimpleNamespace

from mulleinrelay.policy.latency import TrackedEndpoint
from mulleinrelay.policy.object_locations import MAX_PARTS, ObjectLocations


def test_part_with_the_oldest_answer_is_forgotten_when_there_are_too_many():
    # Guards against memory that grows with the rate of new objects.
    locations, cache = ObjectLocations(), TrackedEndpoint(1)
    requests = [SimpleNamespace(object_id=number, part=0) for number in range(MAX_PARTS + 2)]
    for request in requests[:MAX_PARTS]:
        locations.record(cache, request, 1.0)
    locations.record(cache, requests[0], 2.0)  # the oldest is the second one now
    for request in requests[MAX_PARTS:]:
        locations.record(cache, request, 3.0)
    held = [locations.is_believed_holder(cache, request, 3.0, 0.0) for request in requests]
    assert held == [True, False, False, *([True] * (MAX_PARTS - 1))]
