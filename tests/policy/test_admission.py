import pytest

from mulleinrelay.policy.admission import (
    SATURATION_DELAY,
    AdmissionThresholds,
    SchedulingDelay,
    eviction_order,
    pending_utilization,
)
from mulleinrelay.policy.model import IDEMPOTENT, KEYED, UNSAFE, RequestClass

CAPACITY = 80  # maximum number of pending requests


def request_class(idempotency=IDEMPOTENT, priority_weight=1.0):
    return RequestClass(
        idempotency,
        latency_objective=400.0,
        objective_stretch=0.0,
        client_timeout=3000.0,
        key_retention=6000.0,
        key_scope="all",
        freshness_lifetime=0.0,
        is_uncacheable=idempotency != IDEMPOTENT,
        priority_weight=priority_weight,
    )


MEDIA = request_class(priority_weight=2.0)
PAGES = request_class()
ORDER = request_class(KEYED, 3.0)
PAY = request_class(UNSAFE)
ALL = [MEDIA, PAGES, ORDER, PAY]


@pytest.mark.parametrize("client_count", [1, 3, 20])
@pytest.mark.parametrize("flooding_class", [PAGES, ORDER])
def test_clients_that_ask_for_all_leave_the_same_share_to_another_one(client_count, flooding_class):
    # Guards against a client that is rejected because others hold all pending requests.
    thresholds = AdmissionThresholds(ALL)
    maximum = 1000
    held = [0] * client_count

    def may_open(of_client, each_class):
        utilization = pending_utilization(sum(held), of_client, maximum)
        return thresholds.can_admit(each_class, False, utilization)

    for _ in range(maximum):
        for index in range(client_count):
            held[index] += may_open(held[index], flooding_class)
    assert sum(held) < maximum and max(held) - min(held) <= 1
    share = min(held)
    assert share >= 0.7 * maximum / (client_count + 1)
    assert may_open(share - 2, flooding_class) and may_open(share - 2, PAY)
    assert may_open(0, PAGES) or flooding_class is ORDER


@pytest.mark.parametrize(
    ("admitted", "is_retry", "last_pending"),
    [
        pytest.param(ORDER, False, 79, id="order"),
        pytest.param(ORDER, True, 79, id="order-retry"),
        pytest.param(PAY, False, 79, id="pay"),
        pytest.param(MEDIA, False, 69, id="media"),
        pytest.param(MEDIA, True, 59, id="media-retry"),
        pytest.param(PAGES, False, 59, id="pages"),
        pytest.param(PAGES, True, 49, id="pages-retry"),
    ],
)
def test_last_capacity_is_reserved_for_effects_and_then_by_priority_weight(
    admitted, is_retry, last_pending
):
    thresholds = AdmissionThresholds(ALL)
    is_admitted = [
        thresholds.can_admit(admitted, is_retry, pending / CAPACITY)
        for pending in (last_pending, last_pending + 1)
    ]
    assert is_admitted == [True, False]


@pytest.mark.parametrize(
    "classes",
    [
        pytest.param([PAGES], id="one-class"),
        pytest.param([request_class(), request_class()], id="same-weight"),
        pytest.param([ORDER, PAY], id="no-idempotent-class"),
    ],
)
def test_equal_classes_share_the_complete_capacity(classes):
    thresholds = AdmissionThresholds(classes)
    assert all(
        thresholds.can_admit(each, False, 79 / CAPACITY)
        and not thresholds.can_admit(each, False, 1.0)
        for each in classes
    )


def test_half_of_the_capacity_is_open_to_every_class():
    classes = [request_class(priority_weight=weight) for weight in range(1, 12)] + [ORDER]
    assert all(
        AdmissionThresholds(classes).can_admit(each, True, 39 / CAPACITY) for each in classes
    )


def test_orders_are_admitted_during_a_flood_of_pages():
    """Guard against a flood of pages that leaves no capacity for orders.

    Ten times as many requests as the capacity are received, nearly all of them for pages, and every
    admitted request stays pending. Without the reserved part, the pages would use the whole
    capacity.
    """
    thresholds = AdmissionThresholds(ALL)
    pending = 0
    admitted_orders = 0
    for number in range(800):
        received = ORDER if number % 100 == 99 else PAGES
        if thresholds.can_admit(received, False, pending / CAPACITY):
            pending += 1
            admitted_orders += received is ORDER
    assert admitted_orders == 8


@pytest.mark.parametrize(
    ("delay", "elapsed", "admits_pages", "admits_orders"),
    [
        pytest.param(0.0, 0.0, True, True, id="on-time"),
        pytest.param(0.5 * SATURATION_DELAY, 0.0, True, True, id="half-saturated"),
        pytest.param(0.9 * SATURATION_DELAY, 0.0, False, True, id="nearly-saturated"),
        pytest.param(12.0 * SATURATION_DELAY, 0.0, False, True, id="stopped-for-seconds"),
        pytest.param(12.0 * SATURATION_DELAY, 100.0, True, True, id="100-ms-after-a-stop"),
    ],
)
def test_late_timers_reject_idempotent_requests_only_and_for_a_short_time(
    delay, elapsed, admits_pages, admits_orders
):
    """Guard against the rejection of orders while CPU time is short.

    Also guard against pages that are still rejected long after a single suspension of the director.
    """
    scheduling_delay = SchedulingDelay()
    thresholds = AdmissionThresholds(ALL)
    scheduling_delay.record(1000.0, delay)
    scheduling_delay.record(1001.0, 0.0)
    utilization = scheduling_delay.utilization(1001.0 + elapsed)
    assert (
        thresholds.can_admit(PAGES, False, utilization),
        thresholds.can_admit(ORDER, False, utilization),
    ) == (admits_pages, admits_orders)


# Each connection is (has_called, has_sent_request, is_within_call, last_used_at).
@pytest.mark.parametrize(
    ("connections", "evicted_first"),
    [
        pytest.param(
            [(True, True, False, 5.0), (True, False, False, 9.0)], 1, id="only-sent-health-queries"
        ),
        pytest.param(
            [(True, False, True, 5.0), (True, True, False, 9.0)], 1, id="request-before-open-call"
        ),
        pytest.param(
            [(True, False, False, 5.0), (False, False, False, 9.0)], 1, id="never-sent-a-call"
        ),
        pytest.param(
            [(True, True, False, 5.0), (True, True, False, 3.0), (False, False, False, 9.0)],
            2,
            id="never-sent-a-call-beside-two-clients",
        ),
        pytest.param(
            [(True, True, False, 5.0), (True, True, False, 3.0)], 1, id="oldest-use-first"
        ),
        pytest.param(
            [(True, True, True, 3.0), (True, True, False, 5.0)], 1, id="within-a-call-comes-last"
        ),
        pytest.param(
            [(True, True, True, 3.0), (False, False, True, 5.0)], 1, id="within-its-first-call"
        ),
        pytest.param(
            [(True, True, True, 5.0), (True, True, True, 3.0)], 1, id="both-within-a-call"
        ),
    ],
)
def test_eviction_order_of_client_connections(connections, evicted_first):
    first_evicted = min(connections, key=lambda connection: eviction_order(*connection))
    assert first_evicted == connections[evicted_first]
