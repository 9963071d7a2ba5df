import pytest

from mulleinrelay.policy.admission import (
    SATURATION_DELAY,
    AdmissionThresholds,
    SchedulingDelay,
    eviction_order,
)
from mulleinrelay.policy.model import IDEMPOTENT, KEYED, UNSAFE, RequestClass


def case(repeat=IDEMPOTENT, credit=1.0):
    return RequestClass(
        repeat, 400.0, 0.0, 3000.0, 6000.0, "all", 0.0, repeat != IDEMPOTENT, credit
    )


MEDIA, PAGES, ORDER, PAY = case(credit=2.0), case(), case(KEYED, 3.0), case(UNSAFE)
ALL = [MEDIA, PAGES, ORDER, PAY]


@pytest.mark.parametrize(
    "request_class, repeated, last",
    [
        (ORDER, False, 79),
        (ORDER, True, 79),
        (PAY, False, 79),
        (MEDIA, False, 69),
        (MEDIA, True, 59),
        (PAGES, False, 59),
        (PAGES, True, 49),
    ],
)
def test_the_last_places_are_kept_for_effects_and_then_by_credit(request_class, repeated, last):
    places = AdmissionThresholds(ALL)
    room = [places.can_admit(request_class, repeated, taken / 80) for taken in (last, last + 1)]
    assert room == [True, False]


@pytest.mark.parametrize("cases", [[PAGES], [case(), case()], [ORDER, PAY]])
def test_equals_share_all_places(cases):
    places = AdmissionThresholds(cases)
    assert all(
        places.can_admit(held, False, 79 / 80) and not places.can_admit(held, False, 1.0)
        for held in cases
    )


def test_half_of_the_places_are_open_to_all():
    cases = [case(credit=credit) for credit in range(1, 12)] + [ORDER]
    assert all(AdmissionThresholds(cases).can_admit(held, True, 39 / 80) for held in cases)


def test_orders_find_room_in_a_flood_of_pages():
    """Ten times as many pages as places, each held for long: without the reserve orders
    find none.
    """
    places, taken, orders = AdmissionThresholds(ALL), 0, 0
    for number in range(800):
        request_class = ORDER if number % 100 == 99 else PAGES
        if places.can_admit(request_class, False, taken / 80):
            taken += 1
            orders += request_class is ORDER
    assert orders == 8


@pytest.mark.parametrize(
    "late, after, pages, orders",
    [
        (0.0, 0.0, True, True),
        (0.5 * SATURATION_DELAY, 0.0, True, True),
        (0.9 * SATURATION_DELAY, 0.0, False, True),
        (12.0 * SATURATION_DELAY, 0.0, False, True),  # stopped for seconds
        (12.0 * SATURATION_DELAY, 100.0, True, True),
    ],
)
def test_a_late_director_takes_in_effects_and_is_soon_itself_again(late, after, pages, orders):
    """Guards orders against a director that is short of CPU, and against one stop that turns all
    away.
    """
    lateness, places = SchedulingDelay(), AdmissionThresholds(ALL)
    lateness.record(1000.0, late)
    lateness.record(1001.0, 0.0)
    full = lateness.utilization(1001.0 + after)
    assert (places.can_admit(PAGES, False, full), places.can_admit(ORDER, False, full)) == (
        pages,
        orders,
    )


@pytest.mark.parametrize(
    "clients, first",
    [  # called, asked, calling, used
        (
            [(True, True, False, 5.0), (True, False, False, 9.0)],
            1,
        ),  # let in late, it asked whether we are well
        ([(True, False, True, 5.0), (True, True, False, 9.0)], 1),
        ([(True, False, False, 5.0), (False, False, False, 9.0)], 1),
        ([(True, True, False, 5.0), (True, True, False, 3.0), (False, False, False, 9.0)], 2),
        ([(True, True, False, 5.0), (True, True, False, 3.0)], 1),
        ([(True, True, True, 3.0), (True, True, False, 5.0)], 1),  # in the middle of a call
        ([(True, True, True, 3.0), (False, False, True, 5.0)], 1),
        ([(True, True, True, 5.0), (True, True, True, 3.0)], 1),
    ],
)
def test_who_makes_room_first(clients, first):
    assert min(clients, key=lambda client: eviction_order(*client)) == clients[first]
