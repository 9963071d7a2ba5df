"""Routing decisions of one director: typed events in, actions out.

Processing of a request: `RequestReceived` routes the request, which usually sends a first attempt
to a cache. Each `AttemptFinished` either completes the request or, if no other attempt is in
flight, routes it again. `TimerFired` finds overdue attempts, and ends the request before its
client's deadline. The objects that the router consists of, each in a module of its own, make the
single choices and record what the router learns about endpoints.

No I/O, threads or clock: the time is an argument, in ms. Not thread-safe: the caller makes one call
at a time.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from . import overload
from .actions import ActionSink, SendOptions
from .attempt_results import AttemptRecorder
from .cache_selection import CacheSelector
from .deadlines import has_time_left, time_to_final_response
from .endpoint_capacity import SlowStartAdmission
from .endpoint_filter import EndpointFilter
from .endpoint_health import EndpointHealthMonitor
from .endpoint_table import EndpointTable
from .events import (
    AttemptFinished,
    ClientLeft,
    ConnectionOpened,
    EndpointListFailed,
    EndpointsUpdated,
    Event,
    HealthCheckFinished,
    LoadReport,
    PurgeReceived,
    RequestReceived,
    TimerFired,
)
from .fill_source import FillChoice, FillSourceSelector, LinkCongestion
from .freshness import PurgeHistory
from .health_checks import HealthCheckScheduler
from .idempotency import can_client_retry, can_send
from .latency import TrackedEndpoint
from .model import UNSAFE, Attempt, Outcome, QuotaShare, Request, ServiceSettings
from .object_locations import ObjectLocations
from .overdue_attempts import OverdueDetector
from .overload import OverloadDetector
from .popularity import Popularity
from .retry_policy import RetryPolicy
from .work_estimates import WorkEstimator


class Route(NamedTuple):
    """Destination of an attempt: its endpoint and the source that a miss is filled from.

    `only_if_cached` states whether the source may answer only from its own cache.
    """

    endpoint: TrackedEndpoint
    fill_source: TrackedEndpoint | None
    only_if_cached: bool


class Router:
    """Decision maker of one director.

    Owns the objects that the constructor creates, which share one random generator, and the
    progress of requests (`Request.is_complete`, `Request.attempts`,
    `TrackedEndpoint.attempts_in_flight`). The quota exchange also changes the two quota shares,
    while it holds the caller's lock.
    """

    def __init__(self, now: float, seed: int, settings: ServiceSettings) -> None:
        """Create a router without endpoints.

        The same seed and the same calls lead to the same decisions.
        """
        self.settings = settings
        self.random = Random(seed)
        self.cache_slow_start_quota = QuotaShare(1.0 / settings.local_director_count)
        self.parent_slow_start_quota = QuotaShare(1.0 / settings.director_count)
        self.endpoints = EndpointTable(settings)
        self.overload = OverloadDetector()
        self.work = WorkEstimator(settings)
        self.purges = PurgeHistory(settings.purge_propagation)
        self.locations = ObjectLocations()
        self.link = LinkCongestion()
        self.retry_policy = RetryPolicy(settings, self.work, self.overload)
        self.slow_start = self._make_slow_start()
        # The scheduler must draw its random numbers before the trial tokens are drawn, because the
        # decisions that follow from a seed depend on this order.
        checks = HealthCheckScheduler(
            now, self.random, settings.polls_load_reports, settings.health_check_cost
        )
        self.endpoint_filter = EndpointFilter(self.slow_start, self.random.random())
        self.health = EndpointHealthMonitor(
            settings, self.endpoints, checks, self.random, self._log
        )
        self.cache_selector = self._make_cache_selector(now)
        self.fill_sources = self._make_fill_source_selector()
        self.recorder = AttemptRecorder(
            self.endpoints,
            self.health,
            self.work,
            self.cache_selector,
            self.fill_sources,
            self.locations,
        )
        self.overdue = OverdueDetector(
            self.work, self.cache_selector, self.fill_sources, self.health
        )
        self.handlers = self._make_handlers()
        self._now = now
        self._is_subscribed = not settings.requires_subscription
        self._sink: ActionSink

    def _make_slow_start(self) -> SlowStartAdmission:
        return SlowStartAdmission(
            self.settings,
            self.endpoints,
            self.random,
            self.cache_slow_start_quota,
            self.parent_slow_start_quota,
        )

    def _make_cache_selector(self, now: float) -> CacheSelector:
        return CacheSelector(
            self.settings,
            self.endpoints,
            self.slow_start,
            self.endpoint_filter,
            self.work,
            Popularity(now),
            self.random,
        )

    def _make_fill_source_selector(self) -> FillSourceSelector:
        return FillSourceSelector(
            self.settings,
            self.endpoints,
            self.slow_start,
            self.endpoint_filter,
            self.work,
            self.locations,
            self.purges,
            self.link,
            self.random,
        )

    def _make_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler method of each type of event."""
        return {
            RequestReceived: self._on_request,
            AttemptFinished: self._on_attempt_finished,
            TimerFired: self._on_timer,
            HealthCheckFinished: self._on_health_check,
            EndpointsUpdated: self._on_endpoints_updated,
            EndpointListFailed: self._on_endpoint_list_failed,
            PurgeReceived: self._on_purge,
            ClientLeft: self._on_client_left,
            ConnectionOpened: self._on_connection_opened,
        }

    def handle(self, now: float, events: Iterable[Event], sink: ActionSink) -> None:
        """Handle the events in order, and pass the resulting actions to the sink immediately.

        Before the events, subscribe to the endpoint list if there is no subscription; after them,
        request the health checks that are due.
        """
        self._now = now
        self._sink = sink
        if not self._is_subscribed:
            self._is_subscribed = True
            sink.subscribe_to_endpoints()
        for event in events:
            self.handlers[type(event)](event)
        if self.settings.allows_health_checks:
            for endpoint in self.health.take_due_checks(now):
                sink.check_health(endpoint)

    def can_begin(self, now: float, attempt: Attempt) -> bool:
        """Return whether an attempt that was waiting to be written may still be sent.

        Events since the decision (drains, purges, results of other attempts) and the time that has
        passed may forbid it. The caller then reports the attempt as not sent. The router then
        routes the request again, unless the request is complete or has another attempt in flight.
        """
        self._now = max(self._now, now)
        request = attempt.request
        source = attempt.fill_source
        is_ready = attempt.endpoint.is_ready and (source is None or source.is_ready)
        if request.is_complete or not is_ready:
            return False
        has_other_in_flight = any(
            other.outcome is None for other in request.attempts if other is not attempt
        )
        if has_other_in_flight and not self.settings.allows_hedging:
            return False
        is_fresh = self.purges.last_purge(request) <= attempt.purged_at
        return is_fresh and can_send(request, self._now, attempt)

    # Events

    def _on_request(self, event: RequestReceived) -> None:
        request = event.request
        now = self._now
        if self.cache_selector.record_request(request, now):
            self.locations.drop_expired(now)
            self.purges.drop_expired(now)
        self.health.checks.record_request()
        has_mode_changed = self.overload.record_request(now)
        self.retry_policy.earn(request)
        self.endpoint_filter.earn_trial()
        if has_mode_changed:
            self._log_overload()
        self.work.record_request(request)
        self._sink.schedule_timer(time_to_final_response(request, now), request)
        self._route(request)

    def _on_attempt_finished(self, event: AttemptFinished) -> None:
        attempt = event.attempt
        request = attempt.request
        attempt.outcome = event.outcome
        attempt.endpoint.attempts_in_flight.pop(attempt, None)
        self._record_load(attempt.endpoint, event.load)
        self.recorder.record(event, self._now)
        if event.is_request_complete:
            self._complete(request)
        elif not request.is_complete and not any(
            other.outcome is None for other in request.attempts
        ):
            self._route(request)

    def _on_timer(self, event: TimerFired) -> None:
        subject = event.subject
        if isinstance(subject, Request):
            if not subject.is_complete:
                self._give_up(subject)
        elif subject.outcome is None and not subject.request.is_complete:
            self._check_overdue(subject)

    def _on_health_check(self, event: HealthCheckFinished) -> None:
        self._record_load(event.endpoint, event.load)
        if event.is_healthy:
            self.health.record_health_check(event.endpoint, self._now)

    def _on_endpoints_updated(self, event: EndpointsUpdated) -> None:
        has_local_start = self.endpoints.apply(event.entries, event.is_full_snapshot)
        self.health.update_endpoints(has_local_start)

    def _on_endpoint_list_failed(self, event: EndpointListFailed) -> None:
        self._is_subscribed = False  # the next call of `handle` subscribes again

    def _on_purge(self, event: PurgeReceived) -> None:
        self.purges.record(event.object_id, event.group, self._now - event.age)

    def _on_client_left(self, event: ClientLeft) -> None:
        self._complete(event.request)

    def _on_connection_opened(self, event: ConnectionOpened) -> None:
        self.health.record_response(event.endpoint, self._now)

    def _record_load(self, endpoint: TrackedEndpoint, load: LoadReport | None) -> None:
        if load and endpoint in self.endpoints.caches and "crowding" in load:
            self.link.record(load["crowding"], self._now)

    # Routing of requests

    def _route(self, request: Request) -> None:
        """Send the next attempt of the request.

        If none is permitted or possible, wait for an attempt in flight or end the request.
        """
        now = self._now
        if not self.retry_policy.may_attempt(request, now) or not self.retry_policy.try_spend(
            request, now
        ):
            self._wait_or_give_up(request)
            return
        route = self._choose_route(request)
        if route is None:
            self._wait_or_give_up(request)
        else:
            self.send(request, route)

    def _choose_route(self, request: Request) -> Route | None:
        """Choose the route of the next attempt.

        Returns:
            The route; None if no route is available or in time, or if the route would repeat the
            miss of an earlier attempt.
        """
        allows_bypass = self.settings.allows_cache_bypass
        is_uncacheable = request.request_class.is_uncacheable
        is_zone_lost = self.health.is_zone_lost()
        cache = None
        if not ((is_uncacheable or is_zone_lost) and allows_bypass):
            cache = self.cache_selector.choose(request, self._now)
        if is_uncacheable:
            fill = FillChoice(self.endpoints.origin, False)
        else:
            fill = self.fill_sources.choose(request, cache, self._now)
        if cache is not None:
            route = Route(cache, fill.source, fill.only_if_cached)
            return None if self._would_repeat_miss(request, route) else route
        has_caches = self.endpoints.caches and not is_uncacheable and not is_zone_lost
        if fill.source is None or not allows_bypass or has_caches:
            return None
        return Route(fill.source, fill.source, False)

    def _would_repeat_miss(self, request: Request, route: Route) -> bool:
        """Return whether the route would repeat the miss of an earlier attempt.

        A route that serves only cached objects is not used after a miss on such a route. The fill
        source of such a route is the endpoint itself, or a parent or the origin that may answer
        only from its own cache. A missed attempt counts as sent on such a route unless its fill
        source was a sibling cache.
        """
        caches = self.endpoints.caches
        is_filled = route.fill_source is not route.endpoint and (
            not route.only_if_cached or route.fill_source in caches
        )
        return not is_filled and any(
            attempt.outcome == Outcome.MISS
            and (attempt.fill_source is attempt.endpoint or attempt.fill_source not in caches)
            for attempt in request.attempts
        )

    def send(self, request: Request, route: Route) -> None:
        """Send an attempt on the route, and schedule its first overdue check.

        If the endpoint or the fill source is in slow start, its budget is charged with the work.
        """
        now = self._now
        endpoint = route.endpoint
        attempt = Attempt(
            request, len(request.attempts), endpoint, route.fill_source, now, request.deadline - now
        )
        attempt.expects_hit = self.fill_sources.is_believed_holder(endpoint, request, now)
        attempt.purged_at = self.purges.last_purge(request)
        request.attempts.append(attempt)
        endpoint.attempts_in_flight[attempt] = None
        for involved in {endpoint: None, route.fill_source: None}:
            if involved is not None and self.slow_start.available_fraction(involved, now) < 1.0:
                self.slow_start.record_sent(involved, self.work.slow_start_work(request, now), now)
        self._sink.send_attempt(attempt, self._send_options(request, route))
        self._sink.schedule_timer(self.overdue.first_check_delay(request, now), attempt)

    def _send_options(self, request: Request, route: Route) -> SendOptions:
        is_cache = route.endpoint in self.endpoints.caches
        rank = self.cache_selector.retention_rank(request, self._now) if is_cache else 0
        has_timed_out = any(attempt.outcome == Outcome.TIMEOUT for attempt in request.attempts)
        return SendOptions(
            max_age=self.purges.max_age(request, self._now),
            retention_rank=rank,
            allow_coalescing=self.settings.allows_coalescing and not has_timed_out,
            only_if_cached=route.only_if_cached,
            store_at_parent=rank > 0,
            revalidate=request.request_class.freshness_lifetime > 0,
        )

    def _check_overdue(self, attempt: Attempt) -> None:
        """Schedule the next check; hedge or cancel the attempt if it is overdue.

        The attempt is hedged or cancelled if `OverdueDetector.check` returns True. The next check
        follows after half of the time that has passed since the attempt was sent.
        """
        self._sink.schedule_timer(0.5 * (self._now - attempt.sent_at), attempt)
        if self.overdue.check(attempt, self._now):
            self._hedge_or_cancel(attempt)

    def _hedge_or_cancel(self, attempt: Attempt) -> None:
        """Hedge the attempt, or cancel it if only one attempt of a request may be in flight.

        Do nothing if a later attempt was sent already, or if the request's class is `UNSAFE`. If
        hedging is allowed but no attempt can be sent, the request may end (see `_wait_or_give_up`).
        """
        request = attempt.request
        if attempt is not request.attempts[-1] or request.request_class.idempotency == UNSAFE:
            return
        if self.settings.allows_hedging:
            self._route(request)
        elif (
            self.settings.allows_cancel
            and self.retry_policy.can_afford_full_retry(request)
            and self.retry_policy.may_attempt(request, self._now)
        ):
            # Cancel only if a retry may follow; otherwise the answer may still be received.
            self._sink.cancel_attempt(attempt)

    def _wait_or_give_up(self, request: Request) -> None:
        """Wait if the last attempt is in flight at a reachable endpoint; otherwise end the request.

        The method is called when no further attempt can be sent. Ending the request early would
        increase an overload, since endpoints would keep working on abandoned requests. The cost of
        waiting is late answers. The request is also ended if no time is left before the client's
        deadline.
        """
        last = request.attempts[-1] if request.attempts else None
        if (
            last is None
            or last.outcome is not None
            or last.endpoint.is_unreachable
            or not has_time_left(request, self._now)
        ):
            self._give_up(request)

    def _give_up(self, request: Request) -> None:
        """End the request without an answer: reject it if a retry is safe, else fail it."""
        retry_after = overload.choose_retry_after(self.random, self.settings)
        if can_client_retry(request, self._now + retry_after):
            self.overload.record_rejection()
            self._sink.reject_request(request, retry_after)
        else:
            self._sink.fail_request(request)
        self._complete(request)

    def _complete(self, request: Request) -> None:
        """Complete the request, and cancel its attempts in flight if cancelling is allowed."""
        request.is_complete = True
        if self.settings.allows_cancel:
            for attempt in request.attempts:
                if attempt.outcome is None:
                    self._sink.cancel_attempt(attempt)

    def _log_overload(self) -> None:
        detector = self.overload
        mode = "overloaded" if detector.is_overloaded else "overload ended"
        self._log(
            f"{mode}: {detector.rejected:.0f} of {detector.requests:.0f} requests rejected, "
            f"link congestion {self.link.congestion:.1f}, "
            f"origin delay {self.fill_sources.origin_delay.median(self._now):.0f} ms"
        )

    def _log(self, text: str) -> None:
        self._sink.log(text)
