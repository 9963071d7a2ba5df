import pytest
from helpers import CACHE, PARENT, Fleet

from mulleinrelay.policy.model import (
    IDEMPOTENT,
    KEYED,
    UNSAFE,
    Attempt,
    CacheStatus,
    EndpointState,
    Outcome,
)


@pytest.mark.parametrize(
    "repeat, group, outcome, attempts, final",
    [
        (IDEMPOTENT, "all", Outcome.ERROR, 2, None),
        (KEYED, "all", Outcome.ERROR, 2, None),
        (KEYED, "zone", Outcome.ERROR, 1, "fail"),
        (KEYED, "zone", Outcome.REJECTED, 2, None),
        (UNSAFE, "all", Outcome.RESET, 1, "fail"),
        (UNSAFE, "all", Outcome.CONNECT_FAILED, 2, None),
    ],
)
def test_further_attempts_go_only_as_far_as_their_class_permits(
    repeat, group, outcome, attempts, final
):
    fleet = Fleet(repeat, group)
    request = fleet.ask()
    fleet.answer(request.attempts[0], outcome, CacheStatus.UNKNOWN, after=20)
    assert len(request.attempts) == attempts
    assert [name for name, _ in fleet.out.actions if name in ("reject", "fail")] == [final] * bool(
        final
    )


def test_a_keyed_request_is_not_sent_again_past_its_memory_span():
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
            "reject",
        ),  # the client comes again while the idempotency key is remembered
        (Outcome.ERROR, 4900, "fail"),  # told to come back behind its end
        (Outcome.ERROR, 5500, "fail"),
        (Outcome.MISS, 5500, "reject"),  # never ran
    ],
)
def test_a_keyed_request_is_called_harmless_to_repeat_while_its_idempotency_key_lasts(
    outcome, after, final
):
    fleet = Fleet(KEYED, max_attempts=1, max_retry_after=200.0)
    fleet.answer(fleet.ask().attempts[0], outcome, CacheStatus.UNKNOWN, after=after)
    assert [name for name, _ in fleet.out.actions if name in ("reject", "fail")] == [final]


def test_one_final_answer_before_the_client_stops_waiting():
    fleet = Fleet()
    request = fleet.ask(left=900.0)
    delay = max(delay for delay, about in fleet.out.take("wake") if about is request)
    assert delay < 900.0
    fleet.call("woken", request, after=delay)
    fleet.answer(request.attempts[0], Outcome.CANCELLED, CacheStatus.UNKNOWN, after=1)
    fleet.call("end", request, after=100)
    assert len(fleet.out.take("reject")) == 1 and not fleet.out.take("fail")
    assert len(request.attempts) == 1


@pytest.mark.parametrize("change", [EndpointState.DRAINING, EndpointState.GONE, None])
def test_nothing_goes_to_a_drained_or_removed_node(change):
    fleet = Fleet()
    if change is None:
        kept = [fleet.row(fleet.caches[0], CACHE, 1), fleet.row(fleet.parents[0], PARENT, 0)]
        fleet.call("listed", kept, True, False)
    else:
        fleet.call(
            "listed",
            [fleet.row(m, CACHE, 1, state=change) for m in fleet.caches[1:]]
            + [fleet.row(fleet.parents[1], PARENT, 0, state=change)],
            False,
            False,
        )
    for _ in range(60):
        attempt = fleet.ask().attempts[0]
        assert attempt.endpoint is fleet.caches[0] and attempt.fill_source is not fleet.parents[1]
        fleet.answer(attempt)


@pytest.mark.parametrize("caches_cold, hubs_cold", [(True, False), (False, True)])
def test_a_cold_member_gets_less_than_it_can_bear(caches_cold, hubs_cold):
    fleet = Fleet(started=100000.0 * caches_cold, hub_started=100000.0 * hubs_cold)
    sent = {member: 0.0 for member in [fleet.caches[0], *fleet.parents]}
    for _ in range(300):
        attempt = fleet.ask(size=500.0, after=5).attempts[0]
        for member in {attempt.endpoint, attempt.fill_source} & set(sent):
            sent[member] += 50.0
        fleet.answer(attempt, note=CacheStatus.FILLED, first_byte=30.0)
    member, rule = (
        (fleet.caches[0], fleet.terms.cache_slow_start)
        if caches_cold
        else (fleet.parents[0], fleet.terms.parent_slow_start)
    )
    sharers, multiple = (1, 2.5) if caches_cold else (3, 2.0)
    assert sent[member] <= multiple * 6.0 * rule.initial_fraction * 1500.0 / sharers * 1.2


@pytest.mark.parametrize("caches_cold", [True, False])
def test_small_requests_count_as_the_mean_of_their_request_class_at_a_cold_member(caches_cold):
    """Nine of ten took a tenth of the mean and went by that: together several times what fells the
    member.
    """
    fleet = Fleet(started=100_100.0 * caches_cold, hub_started=100_100.0 * (not caches_cold))
    cold = [fleet.caches[0]] if caches_cold else fleet.parents
    rule, sharers = (
        (fleet.terms.cache_slow_start, 1) if caches_cold else (fleet.terms.parent_slow_start, 3)
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
def test_a_purge_bounds_the_copy_and_zero_is_never_sent_for_it(key, group):
    fleet = Fleet()
    fleet.call("purged", key, group, 40.0)
    for after in (
        0.0,
        0.5,
        30.0,
        1000.0,
        4000.0,
        20_000.0,
    ):  # a late fill may bring an old copy after all
        fleet.ask(key=77, after=after)
        age = fleet.out.take("send")[-1][1]
        assert 0.0 < age <= fleet.now - 100000.0 + 40.0


@pytest.mark.parametrize("left, near", [(6000.0, False), (200.0, True)])
def test_a_client_that_waits_less_than_its_goal_gets_the_nearest_parent(left, near):
    """Clients with little time were rejected at the end of it, their fills on the way from afar."""
    fleet = Fleet()
    for parent, delay in zip(fleet.parents, (60.0, 30.0), strict=True):
        for _ in range(5):
            parent.recent.add(fleet.now, delay)
            parent.usual.add(fleet.now, delay)
    sources = {fleet.ask(left=left).attempts[0].fill_source for _ in range(20)} - {fleet.origin}
    assert sources == ({fleet.parents[1]} if near else set(fleet.parents))


def test_a_believed_sibling_is_the_source_and_asked_only_for_what_it_holds():
    fleet = Fleet()
    first = fleet.ask(key=5)
    owner = first.attempts[0].endpoint
    fleet.answer(first.attempts[0], Outcome.REJECTED, CacheStatus.NOT_STORED)
    fleet.answer(first.attempts[1], note=CacheStatus.FILLED, first_byte=20.0)
    fleet.out.take("send")
    again = fleet.ask(key=5)
    assert (
        again.attempts[0].endpoint is owner
        and again.attempts[0].fill_source is first.attempts[1].endpoint
    )
    assert fleet.out.take("send")[0][4] is True


def test_a_silent_cache_is_left_at_the_first_sign_and_shunned_when_signs_add_up():
    fleet = Fleet()
    silent = fleet.ask(key=5).attempts[0].endpoint
    for _ in range(40):
        attempt = fleet.ask(after=60).attempts[0]
        if attempt.endpoint is not silent:
            fleet.answer(attempt)
        for delay, about in fleet.out.take("wake"):
            if about is attempt and attempt.endpoint is silent:
                fleet.call("woken", attempt, after=delay)
                assert (
                    len(attempt.request.attempts) == 2
                    and attempt.request.attempts[1].endpoint is not silent
                )
        if silent.shunned:
            break
    assert silent.shunned


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
def test_bad_outcomes_weigh_by_what_they_tell_of_the_node(outcome, another, weight):
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
    assert cache.health.failures == weight
    assert all(request.is_complete for request in requests) or another is None


@pytest.mark.parametrize("broken, well", [("parents", "caches"), ("caches", "parents")])
def test_the_member_that_all_bad_attempts_share_is_shunned_and_the_others_are_not(broken, well):
    """A failing parent shows as errors at every cache; without split blame the caches were shunned
    for it.
    """
    fleet = Fleet()
    sick = getattr(fleet, broken)[0]
    for _ in range(150):
        request = fleet.ask(after=20)
        attempt = request.attempts[0]
        bad = sick in (attempt.endpoint, attempt.fill_source)
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
    assert sick.shunned and not any(member.shunned for member in getattr(fleet, well))


def test_a_request_that_no_cache_can_serve_in_time_is_rejected_at_once():
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
def test_a_jammed_link_brings_in_no_fills_and_a_miss_is_rejected_at_once(crowding, age, filled):
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


def test_a_slow_member_that_answers_in_between_is_not_shunned():
    """A fixed cut took crowded members for silent ones, and the count outlived the answer that
    refuted it.
    """
    fleet = Fleet()
    for _ in range(30):
        attempt = fleet.ask(after=400).attempts[0]
        fleet.call("woken", attempt, after=900)
        fleet.answer(attempt, after=10)
        assert not attempt.endpoint.shunned or attempt.endpoint.quiet >= 2.0
    assert not any(member.shunned for member in fleet.caches)


@pytest.mark.parametrize("first_byte, held_only", [(100.0, False), (3000.0, True)])
def test_a_crowded_origin_gets_no_more_fills_and_parents_give_what_they_hold(first_byte, held_only):
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
    fleet.out.take("send")
    request = fleet.ask()
    assert (
        fleet.out.take("send")[0][4] is held_only
        and request.attempts[0].fill_source in fleet.parents
    )
    if held_only:
        fleet.answer(request.attempts[0], Outcome.MISS, CacheStatus.SOURCE_MISS)
        assert request.is_complete and len(request.attempts) == 1


def test_a_slow_parent_gets_no_more_fills_but_trials():
    """Without the bound, fills waited at slow parents and held the places of hits at the caches."""
    fleet = Fleet()
    fleet.director.random.random = lambda: 1.0
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
def test_further_attempts_keep_to_their_budget_and_cost_little_where_little_was_lost(
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
def test_crowding_is_read_from_how_late_hits_come_and_not_from_attempts_times_directors(
    wait, taken
):
    """With twenty directors, two attempts out of one's own rejected the third request at idle
    caches.
    """
    fleet = Fleet(local_director_count=20)
    for attempt in [fleet.ask(after=20).attempts[0] for _ in range(6)]:
        fleet.call("answered", attempt, Outcome.SERVED, wait, True, CacheStatus.HIT, 0.0, None)
    for cache in fleet.caches:
        cache.late.add(fleet.now, wait - 100.0)
    assert any(fleet.ask(after=0.0).is_complete for _ in range(4)) is not taken


@pytest.mark.parametrize("here", [1, 30])
def test_a_large_object_passes_at_caches_that_are_not_crowded(here):
    """Its own sending time takes more than the part of the goal, so a quiet day rejected it."""
    request = Fleet(local_director_count=here).ask(size=9000.0)
    assert request.attempts and not request.is_complete


@pytest.mark.parametrize("requests, most", [(40, 3), (400, 22)])
def test_trials_are_earned_by_own_requests(requests, most):
    """At one in half a second each, hundreds of directors sent a dead parent nothing but trials."""
    fleet = Fleet()
    fleet.parents[0].shunned = True
    tried = 0
    for _ in range(requests):
        attempt = fleet.ask(after=600).attempts[0]
        tried += attempt.fill_source is fleet.parents[0]
        fleet.answer(attempt)
    assert 0 < tried <= most


def test_a_parent_that_fails_rare_fills_is_shunned_too():
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
    assert fleet.parents[0].shunned


@pytest.mark.parametrize("slow, kept", [((0,), False), ((0, 1), True)])
def test_a_parent_is_passed_over_only_where_the_others_did_not_rise_alike(slow, kept):
    """All slow alike sent directors on to parents that lacked the objects, and the origin was asked
    more.
    """
    fleet = Fleet()
    warm_up(fleet)
    for at in slow:
        for _ in range(60):
            fleet.parents[at].recent.add(fleet.now, 700.0)
    fleet.director.random.random, fleet.director.trials = lambda: 1.0, 0.0
    orders = [fleet.director.by_hash(fleet.parents, key, 0) for key in range(5000, 5040)]
    sources = [
        fleet.director.choose_outside(iter(order))
        for order in orders
        if order[0] is fleet.parents[0]
    ]
    assert all(source is fleet.parents[0] for source in sources) is kept


def test_a_source_that_refuses_is_not_shunned_for_it():
    """The crowded parents that were left were shunned like the dead ones, and the dead ones named
    again.
    """
    fleet = Fleet()
    for _ in range(30):
        request = fleet.ask(after=30)
        for attempt in request.attempts:
            fleet.answer(attempt, Outcome.REJECTED, CacheStatus.SOURCE_REJECTED)
    assert not any(parent.shunned for parent in fleet.parents)


def test_fills_by_way_of_the_origin_do_not_make_the_parent_slow():
    fleet = Fleet()
    warm_up(fleet, 40)
    before = [fleet.director.delay(parent) for parent in fleet.parents]
    warm_up(fleet, 40, CacheStatus.FILLED_BY_ORIGIN, 900.0)
    assert [fleet.director.delay(parent) for parent in fleet.parents] == before


@pytest.mark.parametrize(
    "outcome, well, taken_back",
    [
        (Outcome.CONNECT_FAILED, True, True),
        (Outcome.CONNECT_FAILED, False, False),
        (Outcome.ERROR, True, False),  # it was reached all the while
    ],
)
def test_an_echo_disproves_that_a_cache_is_not_reached_and_nothing_else(outcome, well, taken_back):
    fleet = Fleet(allows_health_checks=True)
    sick = fleet.ask(key=77).attempts[0].endpoint
    while not sick.shunned:
        fleet.director.mark(sick, 2.0, outcome.name.lower())
    probed = []
    for _ in range(40):  # any round asks whom it is time to ask
        fleet.ask()
        probed += fleet.out.take("probe")
        fleet.now += 50.0
    assert ((sick,) in probed) is (outcome is Outcome.CONNECT_FAILED)
    fleet.call("told", sick, None, well)
    assert sick.shunned is not taken_back


@pytest.mark.parametrize("whose", [CACHE, PARENT])
@pytest.mark.parametrize("state", [EndpointState.GONE, EndpointState.DRAINING])
@pytest.mark.parametrize("first", ["breaks", "leaves"])
def test_who_has_gone_or_starts_anew_is_asked_for_no_echo(first, state, whose):
    """An attempt that was out at one that left broke afterwards: nobody knew its place, the module
    failed.
    """
    fleet = Fleet(allows_health_checks=True)
    sick = fleet.caches[0] if whose == CACHE else fleet.parents[0]
    row = fleet.row(sick, whose, 1 if whose == CACHE else 0, state=state)
    if first == "leaves":
        fleet.call("listed", [row], False, False)
    fleet.director.mark(sick, 4.0, "reset")
    if first == "breaks":
        fleet.call("listed", [row], False, False)
    for _ in range(40):
        fleet.ask(after=50.0)
    assert fleet.out.take("probe") == []


@pytest.mark.parametrize("took, none_overdue", [(400.0, True), (90.0, False)])
def test_where_no_size_is_told_a_attempt_is_overdue_by_what_answers_took(took, none_overdue):
    """Each was overdue after twice a quarter of its goal: asked once more elsewhere, its parent
    shunned.
    """
    fleet = Fleet(transfer_rate=0.0)
    for _ in range(8):
        attempt = fleet.ask(size=0.0).attempts[0]
        fleet.call("answered", attempt, Outcome.SERVED, took, True, CacheStatus.UNKNOWN, 0.0, None)
    request = fleet.ask(size=0.0)
    fleet.call("woken", request.attempts[0], after=450.0)
    assert (len(request.attempts) == 1) is none_overdue


@pytest.mark.parametrize("caches_cold", [True, False])
def test_where_no_size_is_told_a_cold_member_is_sent_no_more_than_where_sizes_are(caches_cold):
    """A quarter of the goal stood in for the sending time, which was three times as long."""
    fleet = Fleet(
        started=100_000.0 * caches_cold,
        hub_started=100_000.0 * (not caches_cold),
        transfer_rate=0.0,
    )
    cold = [fleet.caches[0]] if caches_cold else fleet.parents
    rule, sharers = (
        (fleet.terms.cache_slow_start, 1) if caches_cold else (fleet.terms.parent_slow_start, 3)
    )
    sent, sending = {member: [] for member in cold}, 400.0
    for _ in range(1500):
        for attempt in fleet.ask(size=0.0, after=2.0).attempts:
            for member in {attempt.endpoint, attempt.fill_source} & set(sent):
                sent[member].append(fleet.now)
            fleet.call(
                "answered", attempt, Outcome.SERVED, sending, True, CacheStatus.UNKNOWN, 0.0, None
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


def test_a_hot_object_goes_to_other_caches_first_at_other_directors():
    firsts = set()
    for seed in range(12):
        fleet = Fleet()
        fleet.director.random.seed(seed)
        for _ in range(30):
            request = fleet.ask(key=77)
            fleet.answer(request.attempts[0], after=100.0)
        firsts.add(request.attempts[0].endpoint.hash_key)
    assert len(firsts) == 3


@pytest.mark.parametrize("wait, seconds", [(60_000.0, 6.0), (100.0, 0.0)])
def test_one_answer_that_a_pause_held_up_keeps_no_cache_from_its_share_for_long(wait, seconds):
    fleet = Fleet()
    request = fleet.ask(key=77)
    node = request.attempts[0].endpoint
    fleet.now += wait
    fleet.call(
        "answered", request.attempts[0], Outcome.SERVED, wait, True, CacheStatus.HIT, 0.0, None
    )
    back = next(
        step for step in range(100) if fleet.ask(key=77, after=250.0).attempts[0].endpoint is node
    )
    assert 0.25 * back <= seconds


@pytest.mark.parametrize(
    "may_probe, may_pass_by, whose",
    [(True, True, PARENT), (False, True, CACHE), (True, False, CACHE)],
)
def test_where_no_cache_is_reached_parents_are_asked_until_an_echo_comes(
    may_probe, may_pass_by, whose
):
    fleet = Fleet(allows_health_checks=may_probe, allows_cache_bypass=may_pass_by)
    for cache in fleet.caches:
        fleet.director.mark(cache, 4.0, "reset")
    assert {fleet.ask().attempts[0].endpoint.kind for _ in range(8)} == {whose}
    fleet.call("told", fleet.caches[1], None, True)
    assert {fleet.ask().attempts[0].endpoint for _ in range(8)} == {fleet.caches[1]}


def test_a_hit_that_a_cut_held_up_tells_nothing_of_crowding():
    fleet = Fleet()
    request = fleet.ask(key=77)
    node = request.attempts[0].endpoint
    fleet.director.mark(node, 4.0, "reset")
    fleet.now += 5000.0
    fleet.call(
        "answered", request.attempts[0], Outcome.SERVED, 5000.0, True, CacheStatus.HIT, 0.0, None
    )
    assert fleet.director.crowd(node) == 1.0


def overdue(fleet, request):
    """The last attempt is long out; its node has said nothing."""
    attempt = request.attempts[-1]
    fleet.call("woken", attempt, after=450.0)
    return attempt


@pytest.mark.parametrize(
    "purse, reached, attempts, given_up",
    [
        (8.0, True, 2, False),
        (0.0, True, 1, False),  # its node lives and is slow: what is out there is about to come
        (0.0, False, 1, True),
    ],
)
def test_an_overdue_request_whose_further_attempt_is_not_earned_waits_for_a_node_that_lives(
    purse, reached, attempts, given_up
):
    """Guards against storms in which nodes work for requests that were rejected meanwhile."""
    fleet = Fleet()
    request = fleet.ask()
    fleet.director.purse.tokens, request.attempts[0].endpoint.unreached = purse, not reached
    overdue(fleet, request)
    assert (len(request.attempts), request.is_complete) == (attempts, given_up)
    fleet.call("woken", request, after=5545.0)  # its time is over
    assert request.is_complete and len(fleet.out.take("reject")) == 1


@pytest.mark.parametrize(
    "may_probe, may_pass_by, whose",
    [(True, True, PARENT), (False, True, CACHE), (True, False, CACHE)],
)
def test_two_caches_that_fail_in_a_row_tell_a_cut_and_requests_pass_by(
    may_probe, may_pass_by, whose
):
    fleet = Fleet(allows_health_checks=may_probe, allows_cache_bypass=may_pass_by)
    for cache in fleet.caches[:2]:
        fleet.director.learn(
            Attempt(fleet.ask(), 9, cache, cache, fleet.now, 9.0, Outcome.RESET),
            1.0,
            CacheStatus.UNKNOWN,
            0.0,
        )
    assert {fleet.ask().attempts[0].endpoint.kind for _ in range(8)} == {whose}
    assert not any(cache.shunned for cache in fleet.caches)  # no judgement of each for itself
    fleet.call("told", fleet.caches[2], None, True, after=300.0)
    assert {fleet.ask().attempts[0].endpoint.kind for _ in range(8)} == {CACHE}


def test_what_a_cut_had_shunned_comes_back_at_the_first_word_of_any_cache():
    fleet = Fleet(allows_health_checks=True)
    for cache in fleet.caches[:2]:
        fleet.director.mark(cache, 4.0, "reset")
    assert fleet.director.reach.is_unreachable and all(
        cache.unreached for cache in fleet.caches[:2]
    )
    asked = []
    for _ in range(20):
        fleet.ask(after=50.0)
        asked += fleet.out.take("probe")
    assert len(asked) >= 2  # a few are asked soon
    fleet.call("told", fleet.caches[2], None, True, after=300.0)
    assert not any(cache.shunned for cache in fleet.caches)


def test_an_echo_of_a_parent_ends_no_cut():
    fleet = Fleet(allows_health_checks=True)
    for cache in fleet.caches[:2]:
        fleet.director.mark(cache, 4.0, "reset")
    fleet.call("told", fleet.parents[0], None, True)
    assert fleet.director.reach.is_unreachable


def test_a_part_of_a_cold_limit_that_was_borrowed_ends_by_itself():
    """Guards against a director that was stopped and goes on with what has been given to another
    since.
    """
    fleet = Fleet(started=100_000.0, local_director_count=4)
    cold, share = fleet.caches[0], fleet.director.cold_here
    share.fraction, share.expires_at, share.fallback_fraction, share.is_tracked = (
        1.0,
        101_000.0,
        0.0,
        True,
    )
    room = [fleet.director.has_room(cold, 100.0)]
    assert share.peak_used > 0.0 and share.peak_rejected == 0.0
    fleet.director.now = 105_000.0
    room.append(fleet.director.has_room(cold, 100.0))
    assert room == [True, False] and share.peak_rejected > 0.0
    assert all(fleet.director.has_room(cache, 100.0) for cache in fleet.caches[1:])  # warm ones


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
def test_a_attempt_that_waited_to_be_written_goes_only_within_its_time(repeat, first, after, may):
    """A repeat that waited for its connection reached a node that no longer knew its idempotency
    key.
    """
    fleet = Fleet(repeat)
    request = fleet.ask()
    if first is not None:
        fleet.answer(request.attempts[0], first)
    attempt = request.attempts[-1]
    assert len(request.attempts) == 1 + (first is not None) and fleet.director.may_begin(
        fleet.now, attempt
    )
    assert fleet.director.may_begin(fleet.now + after, attempt) == may


@pytest.mark.parametrize("two_attempts", [True, False])
def test_a_attempt_begins_beside_another_only_where_two_may_be_out(two_attempts):
    fleet = Fleet(allows_hedging=two_attempts)
    request = fleet.ask()
    first = request.attempts[0]
    fleet.director.send(request, fleet.caches[1], None, False)
    assert fleet.director.may_begin(fleet.now, request.attempts[1]) == two_attempts
    first.outcome = Outcome.CANCELLED
    assert fleet.director.may_begin(fleet.now, request.attempts[1])


@pytest.mark.parametrize(
    "repeat, group, again, most, called_off",
    [
        (IDEMPOTENT, "all", 8.0, 6, True),
        (IDEMPOTENT, "all", 0.5, 6, False),
        (IDEMPOTENT, "all", 8.0, 1, False),
        (KEYED, "all", 8.0, 6, True),
        (KEYED, "zone", 8.0, 6, False),
    ],
)
def test_an_overdue_attempt_is_called_off_only_where_another_may_follow(
    repeat, group, again, most, called_off
):
    """A write whose repeats only its own zone knows was called off, and then failed for having
    begun.
    """
    fleet = Fleet(repeat, group, allows_hedging=False, max_attempts=most)
    request = fleet.ask()
    fleet.director.purse.tokens = again
    fleet.out.take("abandon")
    fleet.call("woken", request.attempts[0], after=900.0)
    assert bool(fleet.out.take("abandon")) is called_off and not request.is_complete


@pytest.mark.parametrize("directors_here", [1, 4, 200])
@pytest.mark.parametrize("times", [0.01, 0.3, 1.0, 3.0, 10.0, 20.0])
def test_on_a_quiet_day_no_size_is_turned_down_for_what_is_noise(times, directors_here):
    """The largest tenth of a class is answered as the rest is while caches are as slow as noise has
    it.
    """
    fleet = Fleet(local_director_count=directors_here)
    for _ in range(30):
        fleet.answer(fleet.ask(size=1000.0).attempts[0], after=20.0)
    request = fleet.ask(size=1000.0 * times)
    assert request.attempts and fleet.director.bearable(request) >= 1.2
