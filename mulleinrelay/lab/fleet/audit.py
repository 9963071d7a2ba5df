"""Audit of a play, which is one run of a fleet scenario.

The audit counts violations and computes the figures. It uses the records of the nodes, the event
stream, the clients and the lab, and ignores everything that directors report about themselves. No
I/O and no clock.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from ...standins.node_kinds import CACHE, PARENT
from . import evenness
from .evenness import AuditedCache, FirstAttempt, Loads
from .observations import AttemptRecord, FaultRecord, NotificationRecord, Observations
from .scenario import FleetScenario

DRAIN_GRACE_S = 2.05  # after the notification of a drain; until then, new attempts are allowed
# Time after the start or end of a fault that counts as fault time. It is also the recovery time of
# a cache after a fault without a restart.
FAULT_MARGIN_S = 5.0
# After a stopped director continues, or a killed one is started again, the requests that it loses
# are excused for this long plus the clients' patience.
STOP_MARGIN_MS = 3000.0
# Lost requests are excused from this long before the recorded time of a stop or kill.
KILL_LEAD_MS = 200.0
# Start and end of the period in which lost requests are excused, in ms after the SIGTERM of a
# restart. It does not begin with the SIGTERM, as a director first completes its pending requests.
RESTART_FROM_MS = 700.0
RESTART_TO_MS = 12_000.0
FOREVER_S = 1e9
FOREVER_MS = 1e12
# Attempts in a second that name a parent; with fewer, the parents' shares are not significant
MIN_PARENT_FILLS = 20
SETTLING_S = 4  # after the start or end of a fault; changes of the parents' shares do not count
MISSED_OBJECTIVE_CREDIT = 0.1  # fraction of its weight that a request earns if served late
PRIORITY_WEIGHTS = {"pages": 1.0, "order": 3.0, "pay": 3.0}
# Figures whose sum is the figure `rules_broken`
VIOLATIONS = (
    "requests_lost",
    "answers_twice",
    "orders_run_twice",
    "drains_broken",
    "fell",
    "purges_broken",
    "crashes",
)

Span = tuple[float, float]  # start and end


class Audit:
    """Audit of one play. Times are in seconds from the start of the play unless noted otherwise.

    Attributes:
        sites: All nodes (caches, parents and origin) by name.
        faults: Starts and ends of the injected faults, in the order of the records.
        caches: All caches by name, with the periods in which they were healthy.
        seconds: All whole seconds after the warm-up.
    """

    def __init__(self, scenario: FleetScenario, observations: Observations) -> None:
        self.scenario = scenario
        self.observations = observations
        self.sites = {site.name: site for site in scenario.node_sites()}
        self.faults: list[FaultRecord] = observations.other_records["fault"]
        self.caches = self._audited_caches()
        self.seconds = range(int(scenario.warm_up_s), int(observations.seconds))

    # When caches were healthy

    def _audited_caches(self) -> dict[str, AuditedCache]:
        return {
            site.name: AuditedCache(
                site.name,
                int(site.name.rpartition("-")[2], 16),
                site.zone,
                site.capacity_factor,
                self._healthy_spans(site.name),
            )
            for site in self.sites.values()
            if site.kind == CACHE
        }

    def _healthy_spans(self, name: str) -> list[Span]:
        """Return the periods in which a cache was healthy.

        A cache is not healthy from the start of a fault or drain of the cache until the recovery
        time after the end of the fault or drain is over. After its first crash under overload, it
        is never healthy again. Network faults do not count.
        """
        spans: list[Span] = []
        since = 0.0
        for fault in self.faults:
            if name not in fault.nodes or not fault.kind.startswith(("node_", "drain")):
                continue
            if fault.is_start:
                if since < fault.at_s:
                    spans.append((since, fault.at_s))
                since = FOREVER_S
            else:
                since = fault.at_s + self._recovery_s(fault.kind)
        if since < FOREVER_S:
            spans.append((since, FOREVER_S))
        crashes = [
            crash.at_s for crash in self.observations.other_records["fell"] if crash.node == name
        ]
        crashed_at = min(crashes, default=FOREVER_S)
        return [(first, min(last, crashed_at)) for first, last in spans if first < crashed_at]

    def _recovery_s(self, kind: str) -> float:
        if kind in ("node_kill", "node_cold", "node_silent"):
            return self.scenario.slow_start_ms / 1000.0
        return FAULT_MARGIN_S

    def fault_seconds(self) -> set[int]:
        """Return the seconds close to the start or the end of a fault.

        They reach from one second before it to FAULT_MARGIN_S after it.
        """
        found: set[int] = set()
        for fault in self.faults:
            found |= set(range(int(fault.at_s) - 1, int(fault.at_s + FAULT_MARGIN_S) + 1))
        return found

    def first_attempts(self) -> list[FirstAttempt]:
        """Return the first attempt at a cache for each read request that a director received.

        A client's retry counts as a request of its own, as it has another command id.
        """
        seen_commands = set()
        found = []
        for attempt in self.observations.attempts:
            is_read_at_cache = attempt.node in self.caches and attempt.request_class == "pages"
            if is_read_at_cache and attempt.command_id not in seen_commands:
                seen_commands.add(attempt.command_id)
                object_id = int(attempt.object_id, 16)
                found.append(FirstAttempt(attempt.at_s, attempt.node, object_id))
        return found

    # Violations

    def count_violations(self) -> dict[str, int]:
        """Return the number of violations by rule.

        A lost request or a late answer is excused in the periods that `_excused_spans` returns for
        its director. Other violations are never excused.
        """
        others = self.observations.other_records
        excused = self._excused_spans()

        def unexcused(record_type: str) -> list[Any]:
            return [
                record
                for record in others[record_type]
                if not _is_excused(excused, record[1], 1000.0 * record[0])
            ]

        lost = len(unexcused("none")) + sum(cut.requests for cut in unexcused("cut"))
        return {
            "requests_lost": lost,
            "answers_late": len(unexcused("late")),
            "answers_twice": len(others["twice"]),
            "orders_run_twice": others["effects"][0].repeated if others["effects"] else 0,
            "drains_broken": self.count_drain_violations(),
            "fell": len(others["fell"]),
            "purges_broken": sum(attempt.is_outdated for attempt in self.observations.attempts),
            "crashes": len(others["crash"]),
        }

    def _excused_spans(self) -> dict[int, list[Span]]:
        """Return, by director, the periods in which lost requests and late answers are excused.

        A period covers the time from a stop or kill by the lab until the director runs again, with
        margins, or a fixed time after the SIGTERM of a restart. Bounds are in ms from the start of
        the play.
        """
        found: dict[int, list[Span]] = defaultdict(list)
        for fault in self.faults:
            if fault.kind not in ("stop", "kill"):
                continue
            for director in fault.directors:
                if fault.is_start:
                    found[director].append((1000.0 * fault.at_s - KILL_LEAD_MS, FOREVER_MS))
                else:
                    first = found[director][-1][0]
                    last = 1000.0 * fault.at_s + STOP_MARGIN_MS + self.scenario.patience_ms
                    found[director][-1] = (first, last)
        for restart in self.observations.other_records["term"]:
            at = 1000.0 * restart.at_s
            found[restart.director].append((at + RESTART_FROM_MS, at + RESTART_TO_MS))
        return found

    def count_drain_violations(self) -> int:
        """Count attempts that use a draining or deleted node too late.

        Such an attempt goes to the node, or names it as fill source, more than DRAIN_GRACE_S after
        the director was last notified of the node's state.
        """
        notifications: dict[tuple[int, str], list[NotificationRecord]] = defaultdict(list)
        for record in self.observations.other_records["told"]:
            notifications[record.director, record.node].append(record)
        violations = 0
        for attempt in self.observations.attempts:
            for name in {attempt.node, attempt.fill_source}:
                records = notifications.get((attempt.director, name), [])
                violations += _is_too_late(attempt, records)
        return violations

    # Load

    def parent_shares(self) -> dict[int, dict[str, float]]:
        """Return, by second, the fraction of attempts that name each parent.

        The attempts are those at caches that name any parent as fill source, hits included. Parents
        that are not named in a second, and seconds with fewer than MIN_PARENT_FILLS such attempts,
        are left out.
        """
        counts: dict[int, Counter[str]] = defaultdict(Counter)
        for attempt in self.observations.attempts:
            source = self.sites.get(attempt.fill_source)
            if attempt.node in self.caches and source is not None and source.kind == PARENT:
                counts[int(attempt.at_s)][source.name] += 1
        return {
            second: {name: count / fills.total() for name, count in fills.items()}
            for second, fills in counts.items()
            if fills.total() >= MIN_PARENT_FILLS
        }

    def peak_of(self, quantity: str) -> float:
        """Return the peak of a quantity at any single cache after the warm-up.

        Args:
            quantity: `probes` for health checks per second (99th percentile over all pairs of a
                cache and a second with any), or `connections` for simultaneous connections
                (maximum).
        """
        first = self.scenario.warm_up_s
        if quantity == "probes":
            counts = Counter(
                (check.node, int(check.at_s))
                for check in self.observations.other_records["probe"]
                if check.node in self.caches and check.at_s >= first
            )
            return evenness.percentile(counts.values(), 0.99)
        peak = 0
        open_connections: Counter[str] = Counter()
        for record in sorted(self.observations.other_records["conn"]):
            open_connections[record.node] += record.change
            if record.node in self.caches and record.at_s >= first:
                peak = max(peak, open_connections[record.node])
        return float(peak)

    def health_check_concentration(self) -> float:
        """Return how strongly the health checks of a location concentrate on one cache at a time.

        Only checks after the warm-up count. `evenness.concentration` defines the value, which is 1
        if in every time slot all directors of a location check the same cache.
        """
        checks = [
            (check.at_s, check.node)
            for check in self.observations.other_records["probe"]
            if check.node in self.caches and check.at_s >= self.scenario.warm_up_s
        ]
        return evenness.concentration(checks, self.caches)

    def earned_weight(self) -> float:
        """Return the earned fraction of the priority weight of all requests after the warm-up.

        A request earns its full weight if it is served within the latency objective, and the
        fraction MISSED_OBJECTIVE_CREDIT of it if it is served later. The result is 0 without
        requests.
        """
        total = earned = 0.0
        for request in self.observations.requests:
            if request.at_s >= self.scenario.warm_up_s:
                weight = PRIORITY_WEIGHTS[request.request_class]
                total += weight
                if request.outcome == "served":
                    is_in_time = request.duration_ms <= self.scenario.latency_objective_ms
                    earned += weight if is_in_time else MISSED_OBJECTIVE_CREDIT * weight
        return earned / total if total else 0.0

    def fills_by_source(self) -> dict[str, int]:
        """Return the number of attempts at caches that were not hits, by kind of fill source.

        Failed attempts and writes are included. The kinds are sibling, parent and origin, and none
        if the attempt names no fill source.
        """
        found: Counter[str] = Counter()
        for attempt in self.observations.attempts:
            if attempt.node in self.caches and attempt.reason != "HIT":
                site = self.sites.get(attempt.fill_source)
                if site is None:
                    found["none"] += 1
                else:
                    found["sibling" if site.kind == CACHE else site.kind] += 1
        return dict(found)

    def max_parent_share_change(self) -> float:
        """Return the largest change of a parent's share from one second to the next.

        The first SETTLING_S seconds after the start or end of each fault are excluded.
        """
        skipped = {
            second
            for fault in self.faults
            for second in range(int(fault.at_s), int(fault.at_s) + SETTLING_S)
        }
        seconds = [second for second in self.seconds if second not in skipped]
        return round(evenness.max_share_change(self.parent_shares(), seconds), 3)

    def recovery_p99_s(self, loads: Loads) -> float | None:
        """Return the 99th percentile of the time until a cache has half of its fair share again.

        Each time starts with the first whole second after a cache is healthy again. A cache that
        becomes healthy in the last 4 s of the play does not count. The result is None if no cache
        counts.
        """
        found = []
        end_s = self.observations.seconds
        for name, cache in self.caches.items():
            for first, last in cache.healthy_spans:
                if 0.0 < first < end_s - 4.0:
                    end = int(min(last, end_s))
                    found.append(
                        evenness.seconds_until_half_load(
                            loads, self.caches, name, int(first) + 1, end
                        )
                    )
        return evenness.percentile(found, 0.99) if found else None

    # Figures

    def figures(self) -> dict[str, Any]:
        """Return all figures under the names that the lab command prints."""
        attempts = self.first_attempts()
        loads = evenness.by_second(attempts)
        found = {
            "directors": self.scenario.directors,
            "ready_s": self.observations.ready_after_s,
            "requests": len(self.observations.requests),
            "outcomes": dict(Counter(request.outcome for request in self.observations.requests)),
            "credit": round(self.earned_weight(), 4),
            **self.count_violations(),
            **self._evenness_figures(attempts, loads),
            "return_s_p99": self.recovery_p99_s(loads),
            "parent_swing": self.max_parent_share_change(),
            "probes_a_cache": self.peak_of("probes"),
            "probes_together": round(self.health_check_concentration(), 3),
            "connections_a_cache": self.peak_of("connections"),
            **self._count_figures(len(attempts)),
            "faults": [_fault_figures(fault) for fault in self.faults],
        }
        found["rules_broken"] = sum(found[rule] for rule in VIOLATIONS)
        return found

    def _evenness_figures(self, attempts: list[FirstAttempt], loads: Loads) -> dict[str, Any]:
        ideal = evenness.by_second(evenness.ideal_assignment(attempts, self.caches))
        excluded = self.fault_seconds()
        calm = [second for second in self.seconds if second not in excluded]
        after = [second for second in calm if self.faults and second > self.faults[0].at_s]
        before = [second for second in calm if second not in after]
        idle_spans = evenness.longest_idle_spans(loads, self.caches, list(self.seconds))
        return {
            "calm_imbalance": self._imbalance(loads, ideal, before),
            "fault_imbalance": self._imbalance(loads, ideal, after) if after else None,
            "imbalance_p99": round(self._ratio_p99(loads, calm), 3),
            "all_seeing_p99": round(self._ratio_p99(ideal, calm), 3),
            "herd_seconds_calm": len(evenness.herd_seconds(loads, self.caches, before)),
            "herd_seconds_fault": len(evenness.herd_seconds(loads, self.caches, after)),
            "herd_seconds_all_seeing": len(evenness.herd_seconds(ideal, self.caches, calm)),
            "idle_s_max": max(idle_spans.values(), default=0),
        }

    def _ratio_p99(self, loads: Loads, seconds: Iterable[int]) -> float:
        return evenness.percentile(evenness.known_load_ratios(loads, self.caches, seconds), 0.99)

    def _imbalance(self, loads: Loads, ideal: Loads, seconds: list[int]) -> float | None:
        """Return the 99th percentile of the load ratios, divided by that of the ideal assignment.

        The result is None if that of the ideal assignment is 0, for example because no load ratio
        is known.
        """
        ideal_p99 = self._ratio_p99(ideal, seconds)
        return round(self._ratio_p99(loads, seconds) / ideal_p99, 3) if ideal_p99 else None

    def _count_figures(self, first_attempts: int) -> dict[str, Any]:
        observations = self.observations
        others = observations.other_records
        attempts = observations.attempts
        hits = sum(attempt.reason == "HIT" for attempt in attempts)
        reads = Counter(int(10 * read[0]) for read in others["read"])  # by tenth of a second
        return {
            "first_attempts": first_attempts,
            "attempts": len(attempts),
            "attempts_by_request": round(len(attempts) / max(1, len(observations.requests)), 3),
            "hit_share": round(hits / max(1, first_attempts), 3),
            "fills": self.fills_by_source(),
            "origin_fetches": others["effects"][0].origin_fetches if others["effects"] else None,
            "probes": len(others["probe"]),
            "connections": sum(record.change > 0 for record in others["conn"]),
            "reads": len(others["read"]),
            "reads_peak": max(reads.values(), default=0),
            "memory_mb_max": max((usage.resident_mb for usage in others["use"]), default=0.0),
            "cpu_s": round(sum(usage.cpu_s for usage in others["use"]), 2),
        }


def _is_excused(excused: dict[int, list[Span]], director: int, at_ms: float) -> bool:
    return any(first <= at_ms <= last for first, last in excused.get(director, ()))


def _is_too_late(attempt: AttemptRecord, notifications: list[NotificationRecord]) -> bool:
    earlier = [record for record in notifications if record.at_s <= attempt.at_s]
    if not earlier or earlier[-1].state == "SERVING":
        return False
    return attempt.at_s > earlier[-1].at_s + DRAIN_GRACE_S


def _fault_figures(fault: FaultRecord) -> dict[str, Any]:
    return {
        "at": round(fault.at_s, 2),
        "name": fault.name,
        "what": fault.kind,
        "begins": fault.is_start,
        "directors": len(fault.directors),
        "nodes": fault.nodes,
        "wrong": fault.error,
    }
