"""All decisions of one director.

The caller makes a Director and calls `round(now, inbox, out)`: `inbox` holds tuples that name one
of the methods under "What comes in" with its arguments, and decisions go to `out` at once (types:
interface.py).
"""

import math
from collections.abc import Iterator
from itertools import chain, islice
from operator import mul
from random import Random
from typing import Any

from . import overload
from .health_checks import HealthCheckScheduler, ping_interval
from .model import (
    IDEMPOTENT,
    KEYED,
    UNSAFE,
    ActionSink,
    Attempt,
    CacheStatus,
    Endpoint,
    EndpointState,
    Outcome,
    QuotaShare,
    Request,
    RetryBudget,
    ServiceSettings,
)
from .outlier_detection import OutlierDetector
from .overload import OverloadDetector
from .popularity import Popularity
from .slow_start import SlowStartBudget
from .zone_reachability import ZoneReachability

# d: a member this much slower than its yardstick is passed over; above the noise of coarse bins
NEAR = 80.0
TRIAL_EVERY = 500.0  # a passed-over member gets one trial so often at most: back within seconds
TRIAL_EARNED, TRIALS_MOST = (
    0.05,
    2.0,
)  # trials that a request earns: hundreds of directors must swamp nothing
ORIGIN_TRIAL = (
    0.0125  # share of requests: the origin is passed over by rule and its bytes are priced
)
LATE_MOST = (
    1000.0  # percent: one answer that a pause held up keeps a cache from its share for less long
)
LEAST_WORK = (
    50.0  # how late a hit is, is counted in its sending time, or in this where that is shorter
)
HALF_RECENT, HALF_USUAL, HALF_BEHIND = (
    2000.0,
    16000.0,
    4000.0,
)  # halving times: delay, usual, origin's delay
USUAL_PUT_IN = 0.4  # weight of one usual reading beside the few recent ones of a parent
SPREAD = (
    1.2  # a fill is begun while this multiple of the middle delay leaves it time: half come later
)
BELIEF_AGE = 8000.0  # how long an answer makes us believe that a cache holds the object
COLD_PART, COLD_MOST = (
    0.75,
    1.25,
)  # of what fells a cold member that all share, of its capacity at the most
KNOWN = 20.0  # requests of a request class whose mean size is taken for the request class's
OVERSIZED = 4.0  # objects this many times their request class's mean, first seen, are not kept
QUIET_MOST = 2.0  # overdue attempts, with nothing heard meanwhile, that make a member silent
# sign of silence (0.5: twice the time it was due to take) at which an attempt goes elsewhere
OVERDUE = 0.5
AGAIN_MOST, ERRORS_MOST = 8.0, 2  # further attempts saved up at most; errors a request may have
FILL_PACE = (
    2.0  # a fill may run this much faster than an answer, so a link slows answers only above it
)
REPORT_AGE = 1500.0  # an older word of the link's crowding is not used
UNREACHED = ("silent", "connect_failed", "reset")  # what an echo disproves
ADMIT_MANY, ADMIT_ALONE = 0.4, 0.3  # part of its goal that a request may take; the 2nd if alone
# the first echo of a location that counts as cut off comes so soon: it may be reached after all
SOON = 250.0
FULL = 200.0  # percent that a hit would be late where an attempt was turned away
# slowed by less than this, within the noise of coarse bins, a cache or link takes all that fits
CALM = 1.2
CHECK_LEAST = (
    150.0  # an attempt is not looked at again sooner: less than the delays of a far source
)
GUARD = 6.0  # the final answer goes out so long before the client stops waiting
WINDOW_MARGIN = (
    50.0  # a repeat goes out so long before its key may be forgotten: it has a way to go
)
PURGE_MARGIN, PURGE_KEPT = (
    3.0,
    20.0,
)  # a copy is younger than the purge by so much; purge spans it binds
MIDDLES = [6.0 * 2.0**place for place in range(11)]  # of a histogram's bins


class DecayingHistogram:
    """Weights in bins that double in width, halved from time to time."""

    def __init__(self, halving: float) -> None:
        self.bins, self.halving, self.due = [0.0] * 11, halving, 0.0

    def age(self, now: float) -> None:
        if now >= self.due:
            times = min(30, 1 + int((now - self.due) / self.halving))
            self.bins = [weight * 0.5**times for weight in self.bins]
            self.due = now + self.halving

    def add(self, now: float, value: float) -> None:
        self.age(now)
        self.bins[min(10, max(0, int(max(value, 1.0)).bit_length() - 3))] += 1.0

    def sums(self, now: float) -> tuple[float, float]:
        self.age(now)
        return sum(map(mul, self.bins, MIDDLES)), sum(self.bins)

    def mean(self, now: float) -> float | None:
        total, weight = self.sums(now)
        return total / weight if weight >= 0.1 else None

    def middle(self, now: float) -> float:
        """The middle reading, which a few failures do not move; 0 while there are too
        few to tell.
        """
        self.age(now)
        half = sum(self.bins) / 2.0
        for place, count in enumerate(self.bins if half >= 1.0 else ()):
            if half < count:
                return 4.0 * 2.0**place * (1.0 + half / count)
            half -= count
        return 0.0


class TrackedEndpoint(Endpoint):
    """A cache, parent or the origin with what this director has seen of it."""

    def reset(self) -> None:
        self.recent, self.usual = DecayingHistogram(HALF_RECENT), DecayingHistogram(HALF_USUAL)
        self.health = OutlierDetector()
        self.late = DecayingHistogram(
            HALF_RECENT
        )  # hits: time beyond their sending time, in percent of it
        self.heard, self.quiet, self.lost = (
            0.0,
            0.0,
            0.0,
        )  # last word, signs of silence since, last break
        self.shunned, self.unreached, self.trial_due = (
            False,
            False,
            0.0,
        )  # unreached: shunned for silence
        self.shunned_at = 0.0
        self.out: dict[Attempt, None] = {}
        self.cold = SlowStartBudget()  # what this director may send it while cold


def mix(*parts: int) -> int:
    """A 64-bit hash that every director computes alike."""
    state = 0x9E3779B97F4A7C15
    for part in parts:
        state = (state ^ part) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        state = (state ^ state >> 29) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
        state ^= state >> 32
    return state


def may_have_run(request: Request) -> list[Attempt]:
    return [
        held
        for held in request.attempts
        if held.outcome is None or not held.outcome.is_never_executed
    ]


class Router:
    def __init__(self, now: float, seed: int, terms: ServiceSettings) -> None:
        self.terms, self.now, self.random = terms, now, Random(seed)
        self.watch = HealthCheckScheduler(
            now, self.random, terms.polls_load_reports, terms.health_check_cost
        )
        self.reach = ZoneReachability()
        self.members: dict[TrackedEndpoint, None] = {}  # all that are listed
        self.listed([], True, False)  # caches: the ready ones of this location; parents; the origin
        self.popular = Popularity(now)
        self.beliefs: dict[tuple[int, int], dict[TrackedEndpoint, float]] = {}
        self.purges: dict[
            tuple[str, int], float
        ] = {}  # moment of the last purge of an object or a group
        classes = terms.request_classes
        self.sending = {
            case: [0.0, 0.0] for case in classes
        }  # sum of sending times and their number
        self.took = {
            case: DecayingHistogram(HALF_USUAL) for case in classes
        }  # answers, but for known fills
        self.subscribed = not terms.requires_subscription
        self.cold_here, self.cold_parents = (
            QuotaShare(1.0 / terms.local_director_count),
            QuotaShare(1.0 / terms.director_count),
        )
        self.admit = ADMIT_MANY + ADMIT_ALONE / math.sqrt(terms.local_director_count)
        self.purse = RetryBudget(
            AGAIN_MOST
        )  # further attempts that may go now, where no pool brings its own
        self.trials = self.random.random()  # trials that may go now; directors start apart
        self.link, self.link_told = (
            0.0,
            0.0,
        )  # crowding of the location's link, and when it was told
        self.behind = DecayingHistogram(HALF_BEHIND)  # delay of what came by way of the origin
        self.storm = OverloadDetector()

    # What comes in; `end` (the client left) and `sign_of_life` are called from outside, too

    def round(self, now: float, inbox: list[tuple[str, tuple[Any, ...]]], out: ActionSink) -> None:
        self.now, self.out = now, out
        if not self.subscribed:
            self.subscribed = True
            out.subscribe()
        for method, arguments in inbox:
            getattr(self, method)(*arguments)
        for member in (
            self.watch.take_due(now, self.caches) if self.terms.allows_health_checks else ()
        ):
            out.probe(member)

    def listed(self, rows: list[tuple[Any, ...]], whole: bool, broken: bool) -> None:
        if broken:
            self.subscribed = False
            return
        if whole:
            for member in self.members:
                member.state = EndpointState.GONE
        anew = False
        for member, *row in rows:
            if row[-1] != member.started_at or member not in self.members:
                member.reset()
                anew |= row[3] == self.terms.zone
            (
                member.state,
                member.weight,
                member.kind,
                member.zone,
                member.advertised_cell,
                member.started_at,
            ) = row
            self.members[member] = None
        self.members = {
            member: None
            for member in self.members
            if member.state != EndpointState.GONE or member.out
        }
        ready = [member for member in self.members if member.state == EndpointState.READY]
        kinds = (self.terms.parent_kind, self.terms.origin_kind)
        self.caches = [m for m in ready if m.kind not in kinds and m.zone == self.terms.zone]
        self.parents = [m for m in ready if m.kind == self.terms.parent_kind]
        self.origin = next((m for m in ready if m.kind == self.terms.origin_kind), None)
        self.reach.update_caches(self.caches, anew)  # echoes: not of what has gone or starts anew
        self.watch.cancel_pings_except(
            [
                m
                for m in ready
                if m.shunned or (self.reach.is_unreachable and m in self.reach.caches)
            ]
        )

    def requested(self, request: Request) -> None:
        if self.popular.record(self.now, (request.object_id, request.part)):
            self.forget_old()
        self.watch.record_request()
        purse = self.purse_of(request)
        turned = self.storm.record_request(self.now)
        purse.tokens = min(AGAIN_MOST, purse.tokens + self.storm.retries_earned())
        self.trials = min(TRIALS_MOST, self.trials + TRIAL_EARNED)
        if turned:
            self.log_rejections()
        if request.size_kb and self.terms.transfer_rate:
            known = self.sending[request.request_class]
            known[0] += request.size_kb / self.terms.transfer_rate
            known[1] += 1
        self.out.wake(max(0.0, request.deadline - self.now - GUARD), request)
        self.route(request)

    def answered(
        self,
        attempt: Attempt,
        outcome: Outcome,
        wait: float,
        closed: bool,
        note: CacheStatus,
        first_byte: float,
        load: dict[str, float] | None,
    ) -> None:
        request, attempt.outcome = attempt.request, outcome
        attempt.endpoint.out.pop(attempt, None)
        self.note_load(attempt.endpoint, load)
        self.learn(attempt, wait, note, first_byte)
        if closed:
            self.end(request)
        elif not request.is_complete and not any(
            other.outcome is None for other in request.attempts
        ):
            self.route(request)

    def woken(self, about: Request | Attempt) -> None:
        if isinstance(about, Request):
            if not about.is_complete:
                self.give_up(about)
        elif about.outcome is None and not about.request.is_complete:
            self.check(about)

    def told(
        self, member: TrackedEndpoint, load: dict[str, float] | None, well: bool = True
    ) -> None:
        """What a probe brought; an answer disproves that the member is not reached."""
        self.note_load(member, load)
        if well and (
            member.unreached or (self.reach.is_unreachable and member in self.reach.caches)
        ):
            self.take_back(member)

    def take_back(self, member: TrackedEndpoint) -> None:
        member.health.clear_failures()
        member.quiet = member.quiet or QUIET_MOST
        self.sign_of_life(member)

    def note_load(self, member: TrackedEndpoint, load: dict[str, float] | None) -> None:
        if load and member in self.caches and "crowding" in load:
            self.link, self.link_told = load["crowding"], self.now

    def purged(self, key: int, group: int, age: float) -> None:
        what = ("object", key) if key else ("group", group)
        self.purges[what] = max(self.purges.get(what, 0.0), self.now - age)

    # The way of a request

    def route(self, request: Request) -> None:
        """Sends the next attempt, or ends the request where none is left that may go."""
        if not self.may_go_on(request):
            return self.stuck(request)
        if request.attempts and request.attempts[-1].outcome != Outcome.MISS:
            last, work = request.attempts[-1], self.work(request)
            cost = overload.retry_cost(
                last.outcome == Outcome.REJECTED, self.now - last.sent_at, work
            )
            purse = self.purse_of(request)
            if purse.tokens < cost:
                return self.stuck(request)
            purse.tokens -= cost
        write, pass_by = request.request_class.is_uncacheable, self.terms.allows_cache_bypass
        # Seen before the list tells, if it ever does; echoes bring the caches back.
        lost = self.terms.allows_health_checks and (
            self.reach.is_unreachable or all(cache.unreached for cache in self.caches)
        )
        cache = None if (write or lost) and pass_by else self.choose_cache(request)
        if cache is None:
            source = self.origin if write else self.choose_source(request, None)[0]
            if source is None or not pass_by or (self.caches and not write and not lost):
                return self.stuck(request)
            return self.send(request, source, source, False)
        source, held_only = (self.origin, False) if write else self.choose_source(request, cache)
        if source is cache or (held_only and source not in self.caches):  # that fell short before?
            if any(
                one.outcome == Outcome.MISS
                and (one.fill_source is one.endpoint or one.fill_source not in self.caches)
                for one in request.attempts
            ):
                return self.stuck(request)
        return self.send(request, cache, source, held_only)

    def may_go_on(self, request: Request) -> bool:
        """Whether an attempt may follow those that there were."""
        few = len(request.attempts) < self.terms.max_attempts
        failed = sum(attempt.outcome == Outcome.ERROR for attempt in request.attempts)
        return few and failed < ERRORS_MOST and self.may_send(request)

    def purse_of(self, request: Request) -> RetryBudget:
        return request.pool.retry_budget if request.pool else self.purse

    def stuck(self, request: Request) -> None:
        """No further attempt may go: waits for what is out at a node that is reached, else gives
        up. Guards against a storm in which nodes work for requests that were given up; harms by
        late answers.
        """
        last, late = (
            request.attempts[-1] if request.attempts else None,
            self.now >= request.deadline - GUARD,
        )
        if late or last is None or last.outcome is not None or last.endpoint.unreached:
            self.give_up(request)

    def send(
        self,
        request: Request,
        node: TrackedEndpoint,
        source: TrackedEndpoint | None,
        held_only: bool,
    ) -> None:
        attempt = Attempt(
            request, len(request.attempts), node, source, self.now, request.deadline - self.now
        )
        attempt.expects_hit, attempt.purged_at = (
            self.holds(node, request),
            self.purge_moment(request),
        )
        request.attempts.append(attempt)
        node.out[attempt] = None
        for member in {node: None, source: None}:
            if member is not None and self.warmth(member) < 1.0:
                member.cold.spend(self.now, self.counted(request))
        keep, renew = (
            self.rank(request) if node in self.caches else 0,
            request.request_class.freshness_lifetime > 0,
        )
        join = self.terms.allows_coalescing and not any(
            other.outcome == Outcome.TIMEOUT for other in request.attempts
        )
        self.out.send(attempt, self.max_age(request), keep, join, held_only, keep > 0, renew)
        self.out.wake(
            max(self.goal_left(request) - 1.2 * self.work(request) - 50.0, CHECK_LEAST), attempt
        )

    def check(self, attempt: Attempt) -> None:
        """An attempt is overdue: where nothing was heard of its node or source since, it goes
        elsewhere.
        """
        request, source = attempt.request, attempt.fill_source
        due = self.work(request) * self.crowd(attempt.endpoint)
        doubtful = [] if attempt.endpoint.heard >= attempt.sent_at else [attempt.endpoint]
        if not attempt.expects_hit and source is not None and source is not attempt.endpoint:
            due += self.delay(source) + self.work(request) * (self.link_slows() - 1.0)
            doubtful += [] if source.heard >= attempt.sent_at else [source]
        late = self.now - attempt.sent_at
        self.out.wake(0.5 * late, attempt)
        sign = min(1.0, 0.5 * (late / due - 1.0))
        if sign <= 0.0 or not doubtful:
            return
        for member in doubtful:
            member.quiet += sign / len(doubtful)
            self.judge(member, "silent")
        if sign >= OVERDUE and doubtful == [attempt.endpoint]:
            self.not_reached(attempt.endpoint)
        if (
            sign >= OVERDUE
            and attempt is request.attempts[-1]
            and request.request_class.idempotency != UNSAFE
        ):
            if self.terms.allows_hedging:
                self.route(request)
            elif (
                self.terms.allows_cancel
                and self.purse_of(request).tokens >= 1.0
                and self.may_go_on(request)
            ):
                self.out.abandon(attempt)  # else its answer is all that may come

    def give_up(self, request: Request) -> None:
        """The final answer, at once; a rejection tells the client when to come back."""
        doubtful, terms, pure = (
            may_have_run(request),
            self.terms,
            request.request_class.idempotency == IDEMPOTENT,
        )
        advice = (
            overload.retry_after(self.random.random(), terms.max_retry_after)
            if terms.allows_retry_after
            else 0.0
        )
        if pure or not doubtful or self.known(request, doubtful, self.now + advice):
            self.storm.record_rejection()
            self.out.reject(request, advice)
        else:
            self.out.fail(request)
        self.end(request)

    def log_rejections(self) -> None:
        word, seen = ("taking all again", "rejecting")[self.storm.is_overloaded], self.storm
        self.out.log(
            f"{word}: {seen.rejected:.0f} of {seen.requests:.0f} requests, link {self.link:.1f}, "
            f"origin {self.behind.middle(self.now):.0f} ms"
        )

    def end(self, request: Request) -> None:
        request.is_complete = True
        for attempt in request.attempts:
            if attempt.outcome is None and self.terms.allows_cancel:
                self.out.abandon(attempt)

    def may_begin(self, now: float, attempt: Attempt) -> bool:
        """Whether an attempt that waited to be written may still go. Guards drains, purges and
        repeats against what was told since it was decided; then it never ran, and the request is
        routed again.
        """
        self.now, request = max(self.now, now), attempt.request
        ready = all(
            member is None or self.may_ask(member)
            for member in (attempt.endpoint, attempt.fill_source)
        )
        others = [other for other in request.attempts if other is not attempt]
        alone = self.terms.allows_hedging or not any(other.outcome is None for other in others)
        fresh = self.purge_moment(request) <= attempt.purged_at
        return (
            ready
            and alone
            and fresh
            and not request.is_complete
            and self.may_send(request, attempt)
        )

    def may_ask(self, member: TrackedEndpoint) -> bool:
        """Whether it may be asked for an echo or a report: who leaves is sent nothing new, those
        neither.
        """
        return member.state == EndpointState.READY

    def may_send(self, request: Request, attempt: Attempt | None = None) -> bool:
        """`attempt`: which is about to begin; not counted among those that may have run."""
        doubtful = [held for held in may_have_run(request) if held is not attempt]
        if (
            self.now >= request.deadline - GUARD
            or not doubtful
            or request.request_class.idempotency == IDEMPOTENT
        ):
            return self.now < request.deadline - GUARD
        return self.known(request, doubtful, self.now)

    def known(self, request: Request, doubtful: list[Attempt], at: float) -> bool:
        """Whether a repeat at that moment, ours or the client's, finds its key remembered
        everywhere.
        """
        case = request.request_class
        forgotten = doubtful[0].sent_at + case.key_retention - WINDOW_MARGIN
        return case.idempotency == KEYED and case.key_scope == "all" and at < forgotten

    # Which cache

    def choose_cache(self, request: Request) -> TrackedEndpoint | None:
        """Of all caches, or of the request's pool; where none there may be sent to, of those it
        spares.
        """
        if (pool := request.pool) is None:
            return self.best(request, self.caches)
        found = self.best(request, [cache for cache in self.caches if cache in pool.caches])
        return found or self.best(
            request, [cache for cache in self.caches if cache in pool.failover_caches]
        )

    def best(self, request: Request, caches: list[TrackedEndpoint]) -> TrackedEndpoint | None:
        most = self.bearable(request) if self.terms.advertises_weights else math.inf
        tried = {
            attempt.endpoint for attempt in request.attempts if attempt.outcome != Outcome.MISS
        }
        ranked = self.by_hash(
            [cache for cache in caches if cache not in tried], request.object_id, request.part
        )
        fit = self.fit(ranked, self.counted(request))
        first = list(islice(fit, self.popular.cache_count((request.object_id, request.part))))
        if len(first) > 1:  # among equals each director takes its own, or all would take the first
            self.random.shuffle(first)
            first.sort(key=self.crowd)
        return next((member for member in chain(first, fit) if self.crowd(member) <= most), None)

    def crowd(self, member: TrackedEndpoint) -> float:
        """By how much a transfer is slowed there: recent hits show it (one on time put in, as few
        are known), and this director's own attempts that are out, as many times as it stands for
        directors here.
        """
        total, weight = member.late.sums(self.now)
        fits, sharers = (
            max(member.weight * self.warmth(member), 0.1),
            self.terms.local_director_count,
        )
        shown = 1.0 + 0.01 * total / (weight + 1.0)
        return max(1.0, shown + ((1 + len(member.out) * sharers) / fits - shown) / sharers)

    def by_hash(self, members: list[TrackedEndpoint], *what: int) -> list[TrackedEndpoint]:
        """Rendezvous order, weighted by size and by how warm a member is: a lost one moves only its
        own.
        """
        return sorted(
            members,
            key=lambda member: (
                -math.log((mix(*what, member.hash_key) + 1) / 2.0**64)
                / max(member.weight * self.warmth(member), 1e-3)
            ),
        )

    def forget_old(self) -> None:
        self.beliefs = {
            spot: held
            for spot, held in self.beliefs.items()
            if any(self.now - at < BELIEF_AGE for at in held.values())
        }
        self.purges = {
            what: at
            for what, at in self.purges.items()
            if self.now - at < PURGE_KEPT * self.terms.purge_propagation
        }

    def rank(self, request: Request) -> int:
        """Kept by evidence that it is wanted again, so that what is asked for once
        wipes nothing.
        """
        known = self.sending[request.request_class]
        if self.popular.count((request.object_id, request.part)) >= 2:
            return 2
        return 0 if known[1] and self.work(request) > OVERSIZED * known[0] / known[1] else 1

    # Which source

    def choose_source(
        self, request: Request, cache: TrackedEndpoint | None
    ) -> tuple[TrackedEndpoint | None, bool]:
        """Where a miss is filled from, and whether that is asked only for what it holds."""
        work = self.counted(request)
        tried = {attempt.fill_source for attempt in request.attempts if self.doubts_source(attempt)}
        if cache is not None:
            limit, asks = (
                self.delay(cache) + NEAR,
                self.terms.allows_sibling_fills and not self.holds(cache, request),
            )
            for sibling in self.siblings(request) if asks else ():
                if (
                    self.holds(sibling, request)
                    and sibling not in tried
                    and self.delay(sibling) <= limit
                    and any(self.fit([sibling], work))
                ):
                    return sibling, True
            pool = request.pool
            if (
                asks
                and pool
                and pool.migration_sources
                and (helper := self.old_home(request, tried, work))
            ):
                return helper, True
            if self.link_slows() > self.bearable(request):
                return cache, False
        if self.origin is not None and self.random.random() < ORIGIN_TRIAL:
            return self.origin, False
        ranked = self.by_hash(
            [m for m in self.parents if m not in tried], request.object_id, request.part
        )
        if not request.is_retry and request.deadline - self.now < self.goal_left(request) - GUARD:
            ranked.sort(
                key=self.delay
            )  # waits less than its goal: a near parent may do; harms by copies
        source = self.choose_outside(self.fit(ranked, work))
        if cache is None or source is None:
            return source or cache, False
        held_only = self.too_late(self.behind, request)
        late = self.too_late(source.recent, request) and not self.trial(source)
        return (
            (cache, False) if late or (held_only and source is self.origin) else (source, held_only)
        )

    def siblings(self, request: Request) -> list[TrackedEndpoint]:
        if (pool := request.pool) is None:
            return self.caches
        return [
            cache
            for cache in self.caches
            if cache in pool.caches or cache in pool.migration_sources
        ]

    def old_home(
        self, request: Request, tried: set[TrackedEndpoint | None], work: float
    ) -> TrackedEndpoint | None:
        """The cache that an object on the move stood at, which is believed to hold it though no
        recent answer told so. Spares the origin; could harm by an attempt for what nobody has asked
        for lately.
        """
        helpers = [cache for cache in self.caches if cache in request.pool.migration_sources]
        first = next(self.fit(self.by_hash(helpers, request.object_id, request.part), work), None)
        return first if first not in tried else None

    def choose_outside(self, fit: Iterator[TrackedEndpoint]) -> TrackedEndpoint | None:
        """The hashed parent, the next when that one is slower than usual, the origin when all are
        slow. What rose at all alike sends nobody on: next ones lack the objects, and the origin
        would be asked.
        """
        origin = self.origin
        measured = origin and (origin.recent.mean(self.now) or origin.usual.mean(self.now))
        if measured is not None and all(
            self.delay(parent) > measured + NEAR for parent in self.parents
        ):
            return next((parent for parent in fit if self.trial(parent)), self.origin)
        first, common = (
            None,
            max(0.0, sum(map(self.rise, self.parents)) / max(1, len(self.parents))),
        )
        for parent in fit:
            first = first or parent
            if self.rise(parent) <= common + NEAR or self.trial(parent):
                return parent
        return first or self.origin

    def rise(self, parent: TrackedEndpoint) -> float:
        """How far its delay has risen above its usual level, part of a usual reading put in."""
        (total, number), usual = parent.recent.sums(self.now), parent.usual.mean(self.now)
        return 0.0 if usual is None else (total - number * usual) / (number + USUAL_PUT_IN)

    def doubts_source(self, attempt: Attempt) -> bool:
        """Whether an attempt that went wrong may have done so by its source, then not
        named again.
        """
        if attempt.outcome in (None, Outcome.CANCELLED, Outcome.TIMEOUT):
            return attempt.fill_source is not None and attempt.fill_source.heard < attempt.sent_at
        return attempt.outcome in (Outcome.ERROR, Outcome.REJECTED, Outcome.MISS)

    def holds(self, cache: TrackedEndpoint, request: Request) -> bool:
        at = self.beliefs.get((request.object_id, request.part), {}).get(cache, 0.0)
        return at > max(self.now - BELIEF_AGE, self.purge_moment(request))

    def trial(self, member: TrackedEndpoint) -> bool:
        if due := self.now >= member.trial_due and self.trials >= 1.0:
            member.trial_due, self.trials = self.now + TRIAL_EVERY, self.trials - 1.0
        return due

    def delay(self, member: TrackedEndpoint) -> float:
        """The smoothed delay; an unmeasured member gets the average of the measured."""
        if (mean := member.recent.mean(self.now)) is not None:
            return mean
        means = [
            mean for other in self.members if (mean := other.recent.mean(self.now)) is not None
        ]
        return sum(means) / len(means) if means else 0.0

    # The guards

    def fit(self, members: list[TrackedEndpoint], work: float) -> Iterator[TrackedEndpoint]:
        """Those that may be sent to, as asked for: the well and on trial, or all where none is
        well.
        """
        sick, well = [], False
        for member in members:
            if self.has_room(member, work) and (not member.shunned or self.trial(member)):
                well = True
                yield member
            elif member.shunned:
                sick.append(member)
        yield from () if well else (member for member in sick if self.has_room(member, work))

    def cold_rule(self, member: TrackedEndpoint) -> Any:
        return (
            self.terms.parent_slow_start
            if member.kind == self.terms.parent_kind
            else self.terms.cache_slow_start
        )

    def warmth(self, member: TrackedEndpoint) -> float:
        """The share of its capacity that a member has at the least."""
        if not member.started_at or member.kind == self.terms.origin_kind:
            return 1.0
        rule = self.cold_rule(member)
        return min(
            1.0,
            rule.initial_fraction
            + (1.0 - rule.initial_fraction) * (self.now - member.started_at) / rule.duration,
        )

    def has_room(self, member: TrackedEndpoint, work: float) -> bool:
        """A cold member gets this director's part of what it may be sent now, over any span of the
        rule.
        """
        warmth, rule = self.warmth(member), self.cold_rule(member)
        if warmth >= 1.0:
            return True
        share = self.cold_parents if member in self.parents else self.cold_here
        whole = member.weight * warmth * min(COLD_MOST, COLD_PART * rule.overload_factor)
        fits = member.cold.try_admit(
            self.now, work, whole * share.fraction_at(self.now), rule.overload_window, self.random
        )
        if share.is_tracked:
            member.cold.record_peaks(share, work, fits, whole * rule.overload_window)
        return fits

    def too_late(self, delays: DecayingHistogram, request: Request) -> bool:
        """Whether a fill would miss the goal by its source's delay or the origin's; what is held
        must do. Guards against a source that more fills hold crowded, from any cause; could harm
        short goals afar.
        """
        return SPREAD * delays.middle(self.now) + self.work(request) > self.goal_left(request)

    def link_slows(self) -> float:
        """By how much a fill from outside is slowed, as last told; one that would be late is not
        begun. Guards against a link jammed for good by fills, from any cause; could harm if reports
        are wrong.
        """
        return max(1.0, self.link / FILL_PACE) if self.now - self.link_told < REPORT_AGE else 1.0

    def purge_moment(self, request: Request) -> float:
        return max(
            self.purges.get(what, 0.0)
            for what in (("object", request.object_id), ("group", request.group))
        )

    def max_age(self, request: Request) -> float:
        """Bounds the copy by the last purge; 0 would mean any age, so the bound stays above it."""
        moment = self.purge_moment(request)
        if not moment or self.now - moment > PURGE_KEPT * self.terms.purge_propagation:
            return 0.0
        bound = max(0.01, self.now - moment - PURGE_MARGIN)
        return min(bound, request.request_class.freshness_lifetime or bound)

    # What is learnt

    def work(self, request: Request) -> float:
        if request.size_kb and self.terms.transfer_rate:
            return request.size_kb / self.terms.transfer_rate
        total, number = self.sending[request.request_class]
        if (
            not number
        ):  # no size is ever told, or none yet: what the middle answer took, fills and all
            return (
                self.took[request.request_class].middle(self.now)
                or request.request_class.latency_objective / 4
            )
        return total / number

    def counted(self, request: Request) -> float:
        """As what the rule on cold nodes counts it: the mean of its class, whatever its own size.
        Small ones that went by their own added up to several times the limit. Where no size is
        told, what answers took stands in, and before that the goal.
        """
        (total, number), work = self.sending[request.request_class], self.work(request)
        if not number:
            return (
                self.took[request.request_class].middle(self.now)
                or request.request_class.latency_objective
            )
        return total / number if number >= KNOWN else max(work, total / number)

    def goal_left(self, request: Request) -> float:
        case = request.request_class
        goal = min(
            case.client_timeout,
            case.latency_objective + case.objective_stretch * self.work(request),
        )
        return request.arrived_at + goal - self.now

    def bearable(self, request: Request) -> float:
        """By how much an answer may be slowed: others come meanwhile, and large ones are the first
        to go.
        """
        ratio = self.goal_left(request) / self.work(request)
        return max(self.admit * ratio, min(CALM, ratio))

    def learn(self, attempt: Attempt, wait: float, note: CacheStatus, first_byte: float) -> None:
        outcome, node, source = attempt.outcome, attempt.endpoint, attempt.fill_source
        spot = (attempt.request.object_id, attempt.request.part)
        held, unreached = self.beliefs.get(spot, {}), node.unreached
        if outcome in (Outcome.SERVED, Outcome.MISS, Outcome.REJECTED, Outcome.ERROR):
            self.sign_of_life(node)
        if outcome == Outcome.SERVED:
            self.mark(node, 0.0, "")
            for other in [
                other for other in attempt.request.attempts if other.outcome == Outcome.ERROR
            ]:
                self.blame(other, "error")  # only now: what no node can give is the client's fault
            work = self.work(attempt.request)
            if note in (CacheStatus.HIT, CacheStatus.UNKNOWN):
                self.took[attempt.request.request_class].add(self.now, wait)
            if (
                note == CacheStatus.HIT and not unreached
            ):  # what a cut held up tells nothing of crowding
                late = 100.0 * (wait - work) / max(work, LEAST_WORK)
                node.late.add(self.now, min(late, LATE_MOST))
            if node in self.caches and (self.rank(attempt.request) or note == CacheStatus.HIT):
                self.beliefs.setdefault(spot, {})[node] = self.now
            if source not in (None, node) and note in (
                CacheStatus.FILLED,
                CacheStatus.FILLED_BY_ORIGIN,
            ):
                delay = max(first_byte, wait - work * max(self.crowd(node), self.link_slows()))
                self.sign_of_life(source)
                if note == CacheStatus.FILLED_BY_ORIGIN or source is self.origin:
                    self.behind.add(self.now, delay)
                if (
                    note != CacheStatus.FILLED_BY_ORIGIN or source is self.origin
                ):  # else it tells of the origin
                    source.recent.add(self.now, delay)
                    source.usual.add(self.now, delay)
                self.mark(source, 0.0, "")
            return
        held.pop(node, None)
        if outcome == Outcome.REJECTED:  # crowded, as late hits would show if any came
            node.late.add(self.now, FULL)
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            self.not_reached(node)
        if outcome == Outcome.CONNECT_FAILED:
            self.mark(node, 2.0, "connect_failed")
        elif (
            outcome == Outcome.RESET and attempt.sent_at > node.lost
        ):  # once a break: a spoilt answer takes
            node.lost = (
                self.now
            )  # along all that is out on its link; a node that died is unconnected next
            self.mark(node, 1.0, "reset")
        if source in (None, node) or outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        if note == CacheStatus.SOURCE_MISS or (
            outcome == Outcome.MISS and note == CacheStatus.UNKNOWN
        ):
            held.pop(source, None)
        elif note in (
            CacheStatus.SOURCE_REJECTED,
            CacheStatus.SOURCE_FAILED,
            CacheStatus.ORIGIN_FAILED,
        ):
            if note == CacheStatus.ORIGIN_FAILED or source is self.origin:
                self.behind.add(self.now, attempt.timeout)
            if note != CacheStatus.ORIGIN_FAILED:  # that is no fault of the parent's
                source.recent.add(self.now, attempt.timeout)
            if (
                note == CacheStatus.SOURCE_REJECTED
            ):  # it lives and is crowded: its delay tells, it is not sick
                self.sign_of_life(source)
            elif note == CacheStatus.SOURCE_FAILED:
                self.mark(source, 1.0, note.name.lower())

    def blame(self, attempt: Attempt, why: str) -> None:
        """One went wrong: its cache alone is to blame where a hit was due, else both by their
        records.
        """
        if (
            attempt.expects_hit
            or attempt.fill_source is None
            or attempt.fill_source is attempt.endpoint
        ):
            return self.mark(attempt.endpoint, 1.0, why)
        both = (attempt.endpoint, attempt.fill_source)
        shares = [member.health.failure_fraction() for member in both]
        for member, share in zip(both, shares, strict=True):
            self.mark(member, share / sum(shares), why)

    def mark(self, member: TrackedEndpoint, bad: float, why: str) -> None:
        member.health.record(self.now, bad)
        self.judge(member, why)

    def not_reached(self, member: TrackedEndpoint) -> None:
        """One more of the location's caches says nothing: all may be cut off, and a few
        are asked.
        """
        if self.terms.allows_health_checks and self.reach.record_failure(self.now, member):
            here = self.terms.local_director_count
            for node in self.reach.sample_for_pings(ping_interval(here), self.random):
                self.watch.schedule_pings(node, self.now, here, SOON)
            self.out.log(
                f"location cut off: {len(self.reach.recent_failures)} of {len(self.caches)} "
                "caches in a row"
            )

    def sign_of_life(self, member: TrackedEndpoint) -> None:
        member.heard = self.now
        if (since := self.reach.record_response(self.now, member)) is not None:
            self.out.log(f"location reached again by {member.hash_key:x}")
            for cache in self.caches:
                if cache.unreached and cache.shunned_at >= since:
                    self.take_back(cache)
                elif not cache.unreached:
                    self.watch.cancel_pings(cache)
        if member.quiet:
            member.quiet = 0.0
            self.judge(member, "")

    def judge(self, member: TrackedEndpoint, why: str) -> None:
        """Shuns a member that fails too often or has been silent too long; trials bring it back."""
        sick, health = member.quiet >= QUIET_MOST or member.health.is_outlier(), member.health
        if sick != member.shunned:
            member.shunned, member.trial_due = sick, self.now + TRIAL_EVERY
            member.unreached, member.shunned_at = sick and why in UNREACHED, self.now
            if member.unreached and self.may_ask(member):
                self.not_reached(member)
                sharers = (
                    self.terms.director_count
                    if member in self.parents
                    else self.terms.local_director_count
                )
                self.watch.schedule_pings(member, self.now, sharers)
            else:
                self.watch.cancel_pings(member)
            word = f"shunned ({why})" if sick else "taken back"
            self.out.log(
                f"{member.hash_key:x} {word}: {health.failures:.1f} bad, "
                f"{health.successes:.1f} good, odds {health.evidence:.1f}, silence {member.quiet:.1f}"
            )
