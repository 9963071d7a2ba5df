import pytest
from helpers import CACHE, PARENT, Fleet

from mulleinrelay.policy.endpoint_health import EjectionReason
from mulleinrelay.policy.events import (
    AttemptFinished,
    ClientLeft,
    EndpointsUpdated,
    HealthCheckFinished,
    PurgeReceived,
    TimerFired,
)
from mulleinrelay.policy.model import (
    IDEMPOTENT,
    KEYED,
    UNSAFE,
    Attempt,
    CacheStatus,
    EndpointState,
    Outcome,
)
from mulleinrelay.policy.rendezvous_hash import rendezvous_order
from mulleinrelay.policy.router import Route


@pytest.mark.parametrize(
    "repeat, group, outcome, attempts, final",
    [
        (IDEMPOTENT, "all", Outcome.ERROR, 2, None),
        (KEYED, "all", Outcome.ERROR, 2, None),
        (KEYED, "zone", Outcome.ERROR, 1, "fail_request"),
        (KEYED, "zone", Outcome.REJECTED, 2, None),
        (UNSAFE, "all", Outcome.RESET, 1, "fail_request"),
        (UNSAFE, "all", Outcome.CONNECT_FAILED, 2, None),
    ],
)
def test_retries_follow_only_as_idempotency_permits(repeat, group, outcome, attempts, final):
    fleet = Fleet(repeat, group)
    request = fleet.ask()
    fleet.answer(request.attempts[0], outcome, CacheStatus.UNKNOWN, after=20)
    assert len(request.attempts) == attempts
    assert [
        name for name, _ in fleet.out.actions if name in ("reject_request", "fail_request")
    ] == [final] * bool(final)


def test_a_keyed_request_is_not_retried_after_its_key_retention():
    fleet = Fleet(KEYED)
    request = fleet.ask()
    fleet.answer(request.attempts[0], Outcome.ERROR, CacheStatus.UNKNOWN, after=5000)
    assert len(request.attempts) == 1 and request.is_complete


@pytest.mark.parametrize(
    "outcome, after, final",
    [
        (
            Outcome.ERROR,
            4000,
            "reject_request",
        ),  # the client comes again while the idempotency key is remembered
        (Outcome.ERROR, 4900, "fail_request"),  # told to come back behind its end
        (Outcome.ERROR, 5500, "fail_request"),
        (Outcome.MISS, 5500, "reject_request"),  # never ran
    ],
)
def test_a_keyed_request_is_rejected_as_retryable_only_while_its_key_is_remembered(
    outcome, after, final
):
    fleet = Fleet(KEYED, max_attempts=1, max_retry_after=200.0)
    fleet.answer(fleet.ask().attempts[0], outcome, CacheStatus.UNKNOWN, after=after)
    assert [
        name for name, _ in fleet.out.actions if name in ("reject_request", "fail_request")
    ] == [final]


def test_one_final_response_is_sent_before_the_client_deadline():
    fleet = Fleet()
    request = fleet.ask(left=900.0)
    delay = max(delay for delay, about in fleet.out.take("schedule_timer") if about is request)
    assert delay < 900.0
    fleet.handle(TimerFired(request), after=delay)
    fleet.answer(request.attempts[0], Outcome.CANCELLED, CacheStatus.UNKNOWN, after=1)
    fleet.handle(ClientLeft(request), after=100)
    assert len(fleet.out.take("reject_request")) == 1 and not fleet.out.take("fail_request")
    assert len(request.attempts) == 1


@pytest.mark.parametrize("change", [EndpointState.DRAINING, EndpointState.GONE, None])
def test_no_attempt_is_sent_to_a_draining_or_removed_endpoint(change):
    fleet = Fleet()
    if change is None:
        kept = [fleet.row(fleet.caches[0], CACHE, 1), fleet.row(fleet.parents[0], PARENT, 0)]
        fleet.handle(EndpointsUpdated(kept, True))
    else:
        fleet.handle(
            EndpointsUpdated(
                [fleet.row(m, CACHE, 1, state=change) for m in fleet.caches[1:]]
                + [fleet.row(fleet.parents[1], PARENT, 0, state=change)],
                False,
            )
        )
    for _ in range(60):
        attempt = fleet.ask().attempts[0]
        assert attempt.endpoint is fleet.caches[0] and attempt.fill_source is not fleet.parents[1]
        fleet.answer(attempt)


@pytest.mark.parametrize("caches_start, parents_start", [(True, False), (False, True)])
def test_an_endpoint_in_slow_start_gets_less_than_would_overload_it(caches_start, parents_start):
    fleet = Fleet(started=100000.0 * caches_start, parents_started=100000.0 * parents_start)
    sent = {member: 0.0 for member in [fleet.caches[0], *fleet.parents]}
    for _ in range(300):
        attempt = fleet.ask(size=500.0, after=5).attempts[0]
        for member in {attempt.endpoint, attempt.fill_source} & set(sent):
            sent[member] += 50.0
        fleet.answer(attempt, note=CacheStatus.FILLED, first_byte=30.0)
    member, rule = (
        (fleet.caches[0], fleet.settings.cache_slow_start)
        if caches_start
        else (fleet.parents[0], fleet.settings.parent_slow_start)
    )
    sharers, multiple = (1, 2.5) if caches_start else (3, 2.0)
    assert sent[member] <= multiple * 6.0 * rule.initial_fraction * 1500.0 / sharers * 1.2


@pytest.mark.parametrize("caches_start", [True, False])
def test_small_requests_count_as_their_class_mean_during_slow_start(caches_start):
    """Nine of ten took a tenth of the mean and went by that: together several times what fells the
    member.
    """
    fleet = Fleet(started=100_100.0 * caches_start, parents_started=100_100.0 * (not caches_start))
    cold = [fleet.caches[0]] if caches_start else fleet.parents
    rule, sharers = (
        (fleet.settings.cache_slow_start, 1)
        if caches_start
        else (fleet.settings.parent_slow_start, 3)
    )
    for number in range(40):  # before it starts: the mean is known
        fleet.ask(size=9100.0 if number % 10 == 0 else 100.0, after=2.0)
    sent = {member: [] for member in cold}
    for number in range(600):
        attempt = fleet.ask(size=9100.0 if number % 10 == 0 else 100.0, after=5.0).attempts
        for member in {
            held for each in attempt for held in (each.endpoint, each.fill_source)
        } & set(sent):
            sent[member].append(fleet.now)
        for each in attempt:
            fleet.answer(each, note=CacheStatus.FILLED, first_byte=30.0)
    mean = 100.0
    for times in sent.values():
        for now in times:
            warmth = (
                rule.initial_fraction
                + (1.0 - rule.initial_fraction) * (now - 100_100.0) / rule.duration
            )
            number = rule.overload_factor * 6.0 * warmth * rule.overload_window / mean / sharers
            assert (
                sum(now - rule.overload_window <= at <= now for at in times)
                <= number + 2.0 * number**0.5 + 2.0
            )


@pytest.mark.parametrize("key, group", [(77, 1), (0, 1)])
def test_a_purge_bounds_max_age_above_zero(key, group):
    fleet = Fleet()
    fleet.handle(PurgeReceived(key, group, 40.0))
    for after in (
        0.0,
        0.5,
        30.0,
        1000.0,
        4000.0,
        20_000.0,
    ):  # a late fill may bring an old copy after all
        fleet.ask(key=77, after=after)
        age = fleet.out.take("send_attempt")[-1][1].max_age
        assert 0.0 < age <= fleet.now - 100000.0 + 40.0


@pytest.mark.parametrize("left, near", [(6000.0, False), (200.0, True)])
def test_a_client_with_less_time_than_its_objective_gets_the_nearest_parent(left, near):
    """Clients with little time were rejected at the end of it, their fills on the way from afar."""
    fleet = Fleet()
    for parent, delay in zip(fleet.parents, (60.0, 30.0), strict=True):
        for _ in range(5):
            parent.recent_delay.add(fleet.now, delay)
            parent.usual_delay.add(fleet.now, delay)
    sources = {fleet.ask(left=left).attempts[0].fill_source for _ in range(20)} - {fleet.origin}
    assert sources == ({fleet.parents[1]} if near else set(fleet.parents))


def test_a_believed_holder_is_the_fill_source_and_asked_only_if_cached():
    fleet = Fleet()
    first = fleet.ask(key=5)
    owner = first.attempts[0].endpoint
    fleet.answer(first.attempts[0], Outcome.REJECTED, CacheStatus.NOT_STORED)
    fleet.answer(first.attempts[1], note=CacheStatus.FILLED, first_byte=20.0)
    fleet.out.take("send_attempt")
    again = fleet.ask(key=5)
    assert (
        again.attempts[0].endpoint is owner
        and again.attempts[0].fill_source is first.attempts[1].endpoint
    )
    assert fleet.out.take("send_attempt")[0][1].only_if_cached is True


def test_a_silent_cache_is_hedged_at_once_and_ejected_when_signs_add_up():
    fleet = Fleet()
    silent = fleet.ask(key=5).attempts[0].endpoint
    for _ in range(40):
        attempt = fleet.ask(after=60).attempts[0]
        if attempt.endpoint is not silent:
            fleet.answer(attempt)
        for delay, about in fleet.out.take("schedule_timer"):
            if about is attempt and attempt.endpoint is silent:
                fleet.handle(TimerFired(attempt), after=delay)
                assert (
                    len(attempt.request.attempts) == 2
                    and attempt.request.attempts[1].endpoint is not silent
                )
        if silent.is_ejected:
            break
    assert silent.is_ejected


@pytest.mark.parametrize(
    "outcome, another, weight",
    [
        (Outcome.RESET, None, 1.0),  # of all that was out on one link, once
        (Outcome.CONNECT_FAILED, None, 6.0),
        (Outcome.ERROR, None, 0.0),
        (Outcome.ERROR, Outcome.ERROR, 0.0),  # what no node can give: the request's own fault
        (Outcome.ERROR, Outcome.SERVED, 3.0),
    ],
)
def test_failures_are_weighted_by_what_they_show_of_the_endpoint(outcome, another, weight):
    """Clients that ask for what no node knows, and spoilt answers, had healthy caches shunned."""
    fleet = Fleet()
    cache = fleet.caches[0]
    requests = []
    while len(requests) < 3:
        request = fleet.ask()
        if request.attempts[0].endpoint is cache:
            requests.append(request)
        else:
            fleet.answer(request.attempts[0])
    for request in requests:
        request.attempts[0].expects_hit = True  # a hit was due, so that no source shares the blame
        fleet.answer(request.attempts[0], outcome, CacheStatus.UNKNOWN)
        if another is not None:
            fleet.answer(request.attempts[1], another)
    assert cache.outlier_detector.bad == weight
    assert all(request.is_complete for request in requests) or another is None


@pytest.mark.parametrize("broken, well", [("parents", "caches"), ("caches", "parents")])
def test_only_the_endpoint_that_all_failed_attempts_share_is_ejected(broken, well):
    """A failing parent shows as errors at every cache; without split blame the caches were shunned
    for it.
    """
    fleet = Fleet()
    outlier = getattr(fleet, broken)[0]
    for _ in range(150):
        request = fleet.ask(after=20)
        attempt = request.attempts[0]
        bad = outlier in (attempt.endpoint, attempt.fill_source)
        fleet.answer(
            attempt,
            *(
                (Outcome.ERROR, CacheStatus.UNKNOWN)
                if bad
                else (Outcome.SERVED, CacheStatus.FILLED)
            ),
        )
        for attempt in request.attempts[1:]:
            fleet.answer(attempt, note=CacheStatus.FILLED)
    assert outlier.is_ejected and not any(member.is_ejected for member in getattr(fleet, well))


def test_a_request_that_no_cache_can_serve_in_time_is_rejected_immediately():
    """Without the bound a burst slows every transfer past its latency goal."""
    fleet = Fleet()
    requests = [fleet.ask(size=4000.0, after=0.0) for _ in range(200)]
    assert 10 < len([request for request in requests if not request.is_complete]) < 100
    assert requests[-1].is_complete and not requests[-1].attempts
    small = fleet.ask(size=500.0, after=0.0)
    assert small.attempts


@pytest.mark.parametrize(
    "crowding, age, filled", [(1.0, 0, True), (30.0, 0, False), (30.0, 3000, True)]
)
def test_a_congested_link_stops_fills_and_a_miss_is_rejected_immediately(crowding, age, filled):
    """Without the bound, fills whose clients left kept a jammed link jammed for the rest of the
    day.
    """
    fleet = Fleet()
    fleet.answer(fleet.ask().attempts[0], load={"crowding": crowding})
    request = fleet.ask(after=age)
    assert (request.attempts[0].fill_source is not request.attempts[0].endpoint) is filled
    if not filled:
        fleet.answer(request.attempts[0], Outcome.MISS, CacheStatus.UNKNOWN)
        assert request.is_complete and len(request.attempts) == 1


def test_a_slow_endpoint_that_answers_in_between_is_not_ejected():
    """A fixed cut took crowded members for silent ones, and the count outlived the answer that
    refuted it.
    """
    fleet = Fleet()
    for _ in range(30):
        attempt = fleet.ask(after=400).attempts[0]
        fleet.handle(TimerFired(attempt), after=900)
        fleet.answer(attempt, after=10)
        assert not attempt.endpoint.is_ejected or attempt.endpoint.silence >= 2.0
    assert not any(member.is_ejected for member in fleet.caches)


@pytest.mark.parametrize("first_byte, held_only", [(100.0, False), (3000.0, True)])
def test_a_slow_origin_gets_no_more_fills_and_parents_serve_only_what_is_cached(
    first_byte, held_only
):
    """Without the bound a crowded origin was held crowded by fills that came too late
    for anyone.
    """
    fleet = Fleet()
    for place in range(30):
        by_origin = place % 3 == 0
        note, delay = (
            (CacheStatus.FILLED_BY_ORIGIN, first_byte) if by_origin else (CacheStatus.FILLED, 12.0)
        )
        fleet.answer(fleet.ask().attempts[0], note=note, first_byte=delay)
    fleet.out.take("send_attempt")
    request = fleet.ask()
    assert (
        fleet.out.take("send_attempt")[0][1].only_if_cached is held_only
        and request.attempts[0].fill_source in fleet.parents
    )
    if held_only:
        fleet.answer(request.attempts[0], Outcome.MISS, CacheStatus.SOURCE_MISS)
        assert request.is_complete and len(request.attempts) == 1


def test_a_slow_parent_gets_only_trial_fills():
    """Without the bound, fills waited at slow parents and held the places of hits at the caches."""
    fleet = Fleet()
    fleet.router.random.random = lambda: 1.0
    for _ in range(20):
        fleet.answer(fleet.ask().attempts[0], note=CacheStatus.FILLED, first_byte=3000.0)
    filled = 0
    for _ in range(50):
        attempt = fleet.ask(after=20).attempts[0]
        filled += attempt.fill_source in fleet.parents
        fleet.answer(attempt)
    assert 0 < filled <= 6


@pytest.mark.parametrize(
    "outcome, after, least, most",
    [
        (Outcome.REJECTED, 50.0, 5, 13),
        (Outcome.REJECTED, 1.0, 5, 13),
        (Outcome.NOT_SENT, 50.0, 5, 13),
        (Outcome.NOT_SENT, 1.0, 30, 30),
    ],
)
def test_retries_keep_to_the_budget_and_cost_little_after_a_quick_failure(
    outcome, after, least, most
):
    """Without the budget, attempts turned away came back as three or four more; a full node wastes
    no time, and yet its peers are about to be full.
    """
    fleet, further = Fleet(), 0
    for _ in range(30):
        request = fleet.ask()
        fleet.answer(request.attempts[0], outcome, CacheStatus.NOT_STORED, after=after)
        further += len(request.attempts) - 1
        for attempt in request.attempts[1:]:
            fleet.answer(attempt)
    assert least <= further <= most


def warm_up(fleet, number=40, note=CacheStatus.FILLED, first_byte=20.0):
    for _ in range(number):
        fleet.answer(fleet.ask().attempts[0], note=note, first_byte=first_byte)


@pytest.mark.parametrize("wait, taken", [(100.0, True), (900.0, False)])
def test_slowdown_is_measured_by_late_hits_and_not_by_attempts_times_directors(wait, taken):
    """With twenty directors, two attempts out of one's own rejected the third request at idle
    caches.
    """
    fleet = Fleet(local_director_count=20)
    for attempt in [fleet.ask(after=20).attempts[0] for _ in range(6)]:
        fleet.handle(
            AttemptFinished(attempt, Outcome.SERVED, wait, True, CacheStatus.HIT, 0.0, None)
        )
    for cache in fleet.caches:
        cache.hit_lateness.add(fleet.now, wait - 100.0)
    assert any(fleet.ask(after=0.0).is_complete for _ in range(4)) is not taken


@pytest.mark.parametrize("here", [1, 30])
def test_a_large_object_is_served_by_idle_caches(here):
    """Its own sending time takes more than the part of the goal, so a quiet day rejected it."""
    request = Fleet(local_director_count=here).ask(size=9000.0)
    assert request.attempts and not request.is_complete


@pytest.mark.parametrize("requests, most", [(40, 3), (400, 22)])
def test_trial_requests_are_earned_by_requests(requests, most):
    """At one in half a second each, hundreds of directors sent a dead parent nothing but trials."""
    fleet = Fleet()
    fleet.parents[0].is_ejected = True
    tried = 0
    for _ in range(requests):
        attempt = fleet.ask(after=600).attempts[0]
        tried += attempt.fill_source is fleet.parents[0]
        fleet.answer(attempt)
    assert 0 < tried <= most


def test_a_parent_that_fails_rare_fills_is_ejected():
    """Outcomes four seconds apart were forgotten before two of them could count."""
    fleet = Fleet()
    for _ in range(12):
        request = fleet.ask(after=4000)
        bad = request.attempts[0].fill_source is fleet.parents[0]
        fleet.answer(
            request.attempts[0], *((Outcome.REJECTED, CacheStatus.SOURCE_FAILED) if bad else ())
        )
        for attempt in request.attempts[1:]:
            fleet.answer(attempt)
    assert fleet.parents[0].is_ejected


@pytest.mark.parametrize("slow, kept", [((0,), False), ((0, 1), True)])
def test_a_slow_parent_is_passed_over_only_if_the_others_are_not_slow_too(slow, kept):
    """All slow alike sent directors on to parents that lacked the objects, and the origin was asked
    more.
    """
    fleet = Fleet()
    warm_up(fleet)
    for at in slow:
        for _ in range(60):
            fleet.parents[at].recent_delay.add(fleet.now, 700.0)
    fleet.router.random.random, fleet.router.endpoint_filter.trial_tokens = lambda: 1.0, 0.0
    orders = [
        rendezvous_order(fleet.parents, key, 0, fleet.router.slow_start, fleet.now)
        for key in range(5000, 5040)
    ]
    sources = [
        fleet.router.fill_sources.choose_upstream(iter(order), fleet.now)
        for order in orders
        if order[0] is fleet.parents[0]
    ]
    assert all(source is fleet.parents[0] for source in sources) is kept


def test_a_fill_source_that_rejects_is_not_ejected():
    """The crowded parents that were left were shunned like the dead ones, and the dead ones named
    again.
    """
    fleet = Fleet()
    for _ in range(30):
        request = fleet.ask(after=30)
        for attempt in request.attempts:
            fleet.answer(attempt, Outcome.REJECTED, CacheStatus.SOURCE_REJECTED)
    assert not any(parent.is_ejected for parent in fleet.parents)


def test_fills_by_way_of_the_origin_do_not_raise_the_parents_delay():
    fleet = Fleet()
    warm_up(fleet, 40)
    before = [fleet.router.fill_sources.delay(parent, fleet.now) for parent in fleet.parents]
    warm_up(fleet, 40, CacheStatus.FILLED_BY_ORIGIN, 900.0)
    assert [
        fleet.router.fill_sources.delay(parent, fleet.now) for parent in fleet.parents
    ] == before


@pytest.mark.parametrize(
    "outcome, well, is_reinstated",
    [
        (Outcome.CONNECT_FAILED, True, True),
        (Outcome.CONNECT_FAILED, False, False),
        (Outcome.ERROR, True, False),  # it was reached all the while
    ],
)
def test_an_answered_health_check_reinstates_only_an_unreachable_cache(
    outcome, well, is_reinstated
):
    fleet = Fleet(allows_health_checks=True)
    outlier = fleet.ask(key=77).attempts[0].endpoint
    while not outlier.is_ejected:
        fleet.router.health.record_result(
            outlier, 2.0, EjectionReason(outcome.name.lower()), fleet.now
        )
    probed = []
    for _ in range(40):  # any round asks whom it is time to ask
        fleet.ask()
        probed += fleet.out.take("check_health")
        fleet.now += 50.0
    assert ((outlier,) in probed) is (outcome is Outcome.CONNECT_FAILED)
    fleet.handle(HealthCheckFinished(outlier, None, well))
    assert outlier.is_ejected is not is_reinstated


@pytest.mark.parametrize("whose", [CACHE, PARENT])
@pytest.mark.parametrize("state", [EndpointState.GONE, EndpointState.DRAINING])
@pytest.mark.parametrize("first", ["breaks", "leaves"])
def test_an_endpoint_that_left_gets_no_health_check(first, state, whose):
    """An attempt that was out at one that left broke afterwards: nobody knew its place, the module
    failed.
    """
    fleet = Fleet(allows_health_checks=True)
    outlier = fleet.caches[0] if whose == CACHE else fleet.parents[0]
    row = fleet.row(outlier, whose, 1 if whose == CACHE else 0, state=state)
    if first == "leaves":
        fleet.handle(EndpointsUpdated([row], False))
    fleet.router.health.record_result(outlier, 4.0, EjectionReason.RESET, fleet.now)
    if first == "breaks":
        fleet.handle(EndpointsUpdated([row], False))
    for _ in range(40):
        fleet.ask(after=50.0)
    assert fleet.out.take("check_health") == []


@pytest.mark.parametrize("took, none_overdue", [(400.0, True), (90.0, False)])
def test_without_sizes_an_attempt_is_overdue_by_past_response_times(took, none_overdue):
    """Each was overdue after twice a quarter of its goal: asked once more elsewhere, its parent
    shunned.
    """
    fleet = Fleet(transfer_rate=0.0)
    for _ in range(8):
        attempt = fleet.ask(size=0.0).attempts[0]
        fleet.handle(
            AttemptFinished(attempt, Outcome.SERVED, took, True, CacheStatus.UNKNOWN, 0.0, None)
        )
    request = fleet.ask(size=0.0)
    fleet.handle(TimerFired(request.attempts[0]), after=450.0)
    assert (len(request.attempts) == 1) is none_overdue


@pytest.mark.parametrize("caches_start", [True, False])
def test_without_sizes_slow_start_sends_no_more_than_with_sizes(caches_start):
    """A quarter of the goal stood in for the sending time, which was three times as long."""
    fleet = Fleet(
        started=100_000.0 * caches_start,
        parents_started=100_000.0 * (not caches_start),
        transfer_rate=0.0,
    )
    cold = [fleet.caches[0]] if caches_start else fleet.parents
    rule, sharers = (
        (fleet.settings.cache_slow_start, 1)
        if caches_start
        else (fleet.settings.parent_slow_start, 3)
    )
    sent, sending = {member: [] for member in cold}, 400.0
    for _ in range(1500):
        for attempt in fleet.ask(size=0.0, after=2.0).attempts:
            for member in {attempt.endpoint, attempt.fill_source} & set(sent):
                sent[member].append(fleet.now)
            fleet.handle(
                AttemptFinished(
                    attempt, Outcome.SERVED, sending, True, CacheStatus.UNKNOWN, 0.0, None
                )
            )
    for times in sent.values():
        for now in times:
            warmth = (
                rule.initial_fraction
                + (1.0 - rule.initial_fraction) * (now - 100_000.0) / rule.duration
            )
            number = rule.overload_factor * 6.0 * warmth * rule.overload_window / sending / sharers
            assert sum(now - rule.overload_window <= at <= now for at in times) <= max(1.0, number)
    assert sum(map(len, sent.values()))


def test_a_hot_object_goes_to_different_caches_at_different_directors():
    firsts = set()
    for seed in range(12):
        fleet = Fleet()
        fleet.router.random.seed(seed)
        for _ in range(30):
            request = fleet.ask(key=77)
            fleet.answer(request.attempts[0], after=100.0)
        firsts.add(request.attempts[0].endpoint.hash_key)
    assert len(firsts) == 3


@pytest.mark.parametrize("wait, seconds", [(60_000.0, 6.0), (100.0, 0.0)])
def test_one_late_answer_does_not_keep_a_cache_from_traffic_for_long(wait, seconds):
    fleet = Fleet()
    request = fleet.ask(key=77)
    node = request.attempts[0].endpoint
    fleet.now += wait
    fleet.handle(
        AttemptFinished(request.attempts[0], Outcome.SERVED, wait, True, CacheStatus.HIT, 0.0, None)
    )
    back = next(
        step for step in range(100) if fleet.ask(key=77, after=250.0).attempts[0].endpoint is node
    )
    assert 0.25 * back <= seconds


@pytest.mark.parametrize(
    "health_checks, bypass, whose",
    [(True, True, PARENT), (False, True, CACHE), (True, False, CACHE)],
)
def test_unreachable_caches_are_bypassed_until_a_health_check_is_answered(
    health_checks, bypass, whose
):
    fleet = Fleet(allows_health_checks=health_checks, allows_cache_bypass=bypass)
    for cache in fleet.caches:
        fleet.router.health.record_result(cache, 4.0, EjectionReason.RESET, fleet.now)
    assert {fleet.ask().attempts[0].endpoint.kind for _ in range(8)} == {whose}
    fleet.handle(HealthCheckFinished(fleet.caches[1], None, True))
    assert {fleet.ask().attempts[0].endpoint for _ in range(8)} == {fleet.caches[1]}


def test_a_hit_delayed_by_an_outage_does_not_count_as_slowdown():
    fleet = Fleet()
    request = fleet.ask(key=77)
    node = request.attempts[0].endpoint
    fleet.router.health.record_result(node, 4.0, EjectionReason.RESET, fleet.now)
    fleet.now += 5000.0
    fleet.handle(
        AttemptFinished(
            request.attempts[0], Outcome.SERVED, 5000.0, True, CacheStatus.HIT, 0.0, None
        )
    )
    assert fleet.router.cache_selector.slowdown(node, fleet.now) == 1.0


def overdue(fleet, request):
    """The last attempt is long out; its node has said nothing."""
    attempt = request.attempts[-1]
    fleet.handle(TimerFired(attempt), after=450.0)
    return attempt


@pytest.mark.parametrize(
    "budget, reached, attempts, is_given_up",
    [
        (8.0, True, 2, False),
        (0.0, True, 1, False),  # its node lives and is slow: what is out there is about to come
        (0.0, False, 1, True),
    ],
)
def test_an_overdue_request_without_retry_budget_waits_for_a_reachable_endpoint(
    budget, reached, attempts, is_given_up
):
    """Guards against storms in which nodes work for requests that were rejected meanwhile."""
    fleet = Fleet()
    request = fleet.ask()
    fleet.router.retry_policy.local_budget.tokens, request.attempts[0].endpoint.is_unreachable = (
        budget,
        not reached,
    )
    overdue(fleet, request)
    assert (len(request.attempts), request.is_complete) == (attempts, is_given_up)
    fleet.handle(TimerFired(request), after=5545.0)  # its time is over
    assert request.is_complete and len(fleet.out.take("reject_request")) == 1


@pytest.mark.parametrize(
    "health_checks, bypass, whose",
    [(True, True, PARENT), (False, True, CACHE), (True, False, CACHE)],
)
def test_two_failures_in_a_row_mark_the_zone_unreachable_and_requests_bypass_it(
    health_checks, bypass, whose
):
    fleet = Fleet(allows_health_checks=health_checks, allows_cache_bypass=bypass)
    for cache in fleet.caches[:2]:
        attempt = Attempt(fleet.ask(), 9, cache, cache, fleet.now, 9.0, Outcome.RESET)
        fleet.router.recorder.record(
            AttemptFinished(attempt, Outcome.RESET, 1.0, False, CacheStatus.UNKNOWN, 0.0, None),
            fleet.now,
        )
    assert {fleet.ask().attempts[0].endpoint.kind for _ in range(8)} == {whose}
    assert not any(cache.is_ejected for cache in fleet.caches)  # no judgement of each for itself
    fleet.handle(HealthCheckFinished(fleet.caches[2], None, True), after=300.0)
    assert {fleet.ask().attempts[0].endpoint.kind for _ in range(8)} == {CACHE}


def test_caches_ejected_in_an_outage_are_reinstated_by_the_first_response_of_any():
    fleet = Fleet(allows_health_checks=True)
    for cache in fleet.caches[:2]:
        fleet.router.health.record_result(cache, 4.0, EjectionReason.RESET, fleet.now)
    assert fleet.router.health.zone.cut and all(cache.is_unreachable for cache in fleet.caches[:2])
    asked = []
    for _ in range(20):
        fleet.ask(after=50.0)
        asked += fleet.out.take("check_health")
    assert len(asked) >= 2  # a few are asked soon
    fleet.handle(HealthCheckFinished(fleet.caches[2], None, True), after=300.0)
    assert not any(cache.is_ejected for cache in fleet.caches)


def test_a_health_check_of_a_parent_does_not_end_a_zone_outage():
    fleet = Fleet(allows_health_checks=True)
    for cache in fleet.caches[:2]:
        fleet.router.health.record_result(cache, 4.0, EjectionReason.RESET, fleet.now)
    fleet.handle(HealthCheckFinished(fleet.parents[0], None, True))
    assert fleet.router.health.zone.cut


def test_a_borrowed_slow_start_quota_expires():
    """Guards against a director that was stopped and goes on with what has been given to another
    since.
    """
    fleet = Fleet(started=100_000.0, local_director_count=4)
    cold, share = fleet.caches[0], fleet.router.cache_slow_start_quota
    share.fraction, share.expires_at, share.fallback_fraction, share.is_tracked = (
        1.0,
        101_000.0,
        0.0,
        True,
    )
    try_admit = fleet.router.slow_start.try_admit
    room = [try_admit(cold, 100.0, fleet.now)]
    assert share.peak_used > 0.0 and share.peak_rejected == 0.0
    fleet.now = 105_000.0
    room.append(try_admit(cold, 100.0, fleet.now))
    assert room == [True, False] and share.peak_rejected > 0.0
    assert all(try_admit(cache, 100.0, fleet.now) for cache in fleet.caches[1:])  # warm ones


@pytest.mark.parametrize(
    "repeat, first, after, may",
    [
        (IDEMPOTENT, None, 0.0, True),
        (IDEMPOTENT, Outcome.ERROR, 5900.0, True),
        (IDEMPOTENT, Outcome.ERROR, 5995.0, False),
        (KEYED, Outcome.ERROR, 4900.0, True),
        (KEYED, Outcome.ERROR, 4960.0, False),
        (KEYED, Outcome.REJECTED, 4960.0, True),
        (KEYED, None, 4960.0, True),
        (UNSAFE, None, 4960.0, True),
        (UNSAFE, Outcome.REJECTED, 4960.0, True),
    ],
)
def test_an_attempt_that_waited_to_be_written_is_sent_only_within_its_time(
    repeat, first, after, may
):
    """A repeat that waited for its connection reached a node that no longer knew its idempotency
    key.
    """
    fleet = Fleet(repeat)
    request = fleet.ask()
    if first is not None:
        fleet.answer(request.attempts[0], first)
    attempt = request.attempts[-1]
    assert len(request.attempts) == 1 + (first is not None) and fleet.router.can_begin(
        fleet.now, attempt
    )
    assert fleet.router.can_begin(fleet.now + after, attempt) == may


@pytest.mark.parametrize("two_attempts", [True, False])
def test_an_attempt_begins_beside_another_only_where_hedging_is_allowed(two_attempts):
    fleet = Fleet(allows_hedging=two_attempts)
    request = fleet.ask()
    first = request.attempts[0]
    fleet.router.send(request, Route(fleet.caches[1], None, False))
    assert fleet.router.can_begin(fleet.now, request.attempts[1]) == two_attempts
    first.outcome = Outcome.CANCELLED
    assert fleet.router.can_begin(fleet.now, request.attempts[1])


@pytest.mark.parametrize(
    "repeat, group, again, most, is_cancelled",
    [
        (IDEMPOTENT, "all", 8.0, 6, True),
        (IDEMPOTENT, "all", 0.5, 6, False),
        (IDEMPOTENT, "all", 8.0, 1, False),
        (KEYED, "all", 8.0, 6, True),
        (KEYED, "zone", 8.0, 6, False),
    ],
)
def test_an_overdue_attempt_is_cancelled_only_if_a_retry_may_follow(
    repeat, group, again, most, is_cancelled
):
    """A write whose repeats only its own zone knows was called off, and then failed for having
    begun.
    """
    fleet = Fleet(repeat, group, allows_hedging=False, max_attempts=most)
    request = fleet.ask()
    fleet.router.retry_policy.local_budget.tokens = again
    fleet.out.take("cancel_attempt")
    fleet.handle(TimerFired(request.attempts[0]), after=900.0)
    assert bool(fleet.out.take("cancel_attempt")) is is_cancelled and not request.is_complete


@pytest.mark.parametrize("directors_here", [1, 4, 200])
@pytest.mark.parametrize("times", [0.01, 0.3, 1.0, 3.0, 10.0, 20.0])
def test_noise_at_idle_caches_rejects_no_object_size(times, directors_here):
    """The largest tenth of a class is answered as the rest is while caches are as slow as noise has
    it.
    """
    fleet = Fleet(local_director_count=directors_here)
    for _ in range(30):
        fleet.answer(fleet.ask(size=1000.0).attempts[0], after=20.0)
    request = fleet.ask(size=1000.0 * times)
    assert request.attempts and fleet.router.work.max_slowdown(request, fleet.now) >= 1.2
