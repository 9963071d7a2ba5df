"""Joins what nodes, stream, clients and the lab wrote down, by time, and says what the play came
to: pure but for the reading of the files. Directors' own words count for nothing here.
"""

import os
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

import orjson

from . import evenness
from .evenness import Box, Sent
from .plan import BOX, PARENT, Scenario

DRAIN_AFTER = 2050.0  # ms from being told to the last new work
AFTER_FAULT = 5.0  # s from a fault's begin, and from its end, that count as its time
AWAY = 3000.0  # ms around a stop in which a director owes nothing in time
CREDIT = {"pages": 1.0, "order": 3.0, "pay": 3.0}


@dataclass(slots=True)
class Heard:
    """All records of a play, times in s from its start."""

    began: float = 0.0
    seconds: float = 0.0
    ready_after: float = 0.0
    attempts: list[tuple] = field(default_factory=list)
    looks: list[tuple] = field(default_factory=list)
    others: dict[str, list[tuple]] = field(default_factory=lambda: defaultdict(list))


def read(folder: str) -> Heard:
    heard = Heard()
    lines = []
    for name in sorted(os.listdir(folder)):
        if name.endswith(".records"):
            with open(os.path.join(folder, name), "rb") as file:
                lines += [orjson.loads(line) for line in file if line.endswith(b"\n")]
    began = next(line for line in lines if line[0] == "began")
    heard.began, heard.seconds, heard.ready_after = began[1:4]
    for what, *held in lines:
        if what == "attempt":
            heard.attempts.append(((held[0] - heard.began) / 1000.0, *held[1:]))
        elif what == "look":
            heard.looks.append(((held[0] - heard.began) / 1000.0, *held[1:]))
        elif what not in ("began", "use", "node", "effects"):
            heard.others[what].append(((held[0] - heard.began) / 1000.0, *held[1:]))
        else:
            heard.others[what].append(tuple(held))
    heard.attempts.sort(key=lambda attempt: attempt[0])
    return heard


class Audit:
    def __init__(self, scenario: Scenario, heard: Heard) -> None:
        self.scenario, self.heard = scenario, heard
        self.sites = {site.name: site for site in scenario.sites()}
        self.faults = heard.others["fault"]
        self.boxes = self._boxes()
        self.seconds = range(int(scenario.warm), int(heard.seconds))

    # Who was well, and when

    def _boxes(self) -> dict[str, Box]:
        found = {}
        for site in self.sites.values():
            if site.kind == BOX:
                digits = int(site.name.rpartition("-")[2], 16)
                found[site.name] = Box(
                    site.name, digits, site.place, site.share, self._well(site.name)
                )
        return found

    def _well(self, name: str) -> list[tuple[float, float]]:
        """From and to, s: reached by all, at its speed, warm; a while after each change is left
        out.
        """
        spans, since, warm = [], 0.0, self.scenario.cold_ms / 1000.0
        for at, _, what, begins, _, nodes, _, _ in self.faults:
            if name in nodes and what.startswith(("node_", "drain")):
                if begins and since < at:
                    spans.append((since, at))
                since = (
                    1e9
                    if begins
                    else at
                    + (warm if what in ("node_kill", "node_cold", "node_silent") else AFTER_FAULT)
                )
        spans += [(since, 1e9)] if since < 1e9 else []
        fell = min((held[0] for held in self.heard.others["fell"] if held[1] == name), default=1e9)
        return [(first, min(last, fell)) for first, last in spans if first < fell]

    def fault_seconds(self) -> set[int]:
        """Seconds within a fault or AFTER_FAULT after its begin or its end."""
        found = set()
        for at, *_ in self.faults:
            found |= set(range(int(at) - 1, int(at + AFTER_FAULT) + 1))
        return found

    def first_attempts(self) -> list[Sent]:
        """The first attempt of each request at a cache."""
        known, found = set(), []
        for attempt in self.heard.attempts:
            if attempt[2] in self.boxes and attempt[3] == "pages" and attempt[10] not in known:
                known.add(attempt[10])
                found.append(Sent(attempt[0], attempt[2], int(attempt[4], 16)))
        return found

    # The rules

    def rules(self) -> dict[str, int]:
        heard = self.heard
        excused = self._excused()
        none = sum(
            not self._away(excused, held[1], 1000.0 * held[0]) for held in heard.others["none"]
        )
        late = sum(
            not self._away(excused, held[1], 1000.0 * held[0]) for held in heard.others["late"]
        )
        cut = sum(
            held[2]
            for held in heard.others["cut"]
            if not self._away(excused, held[1], 1000.0 * held[0])
        )
        effects = heard.others["effects"][0] if heard.others["effects"] else (0, 0, 0)
        return {
            "requests_lost": none + cut,
            "answers_late": late,
            "answers_twice": len(heard.others["twice"]),
            "orders_run_twice": effects[0],
            "drains_broken": self.drains(),
            "fell": len(heard.others["fell"]),
            "purges_broken": sum(attempt[9] for attempt in heard.attempts),
            "crashes": len(heard.others["crash"]),
        }

    def _excused(self) -> dict[int, list[tuple[float, float]]]:
        """By director the spans (ms) in which it was killed, stopped or told to end by the lab."""
        found: dict[int, list[tuple[float, float]]] = defaultdict(list)
        for at, _, what, begins, directors, _, _, _ in self.faults:
            if what in ("stop", "kill") and begins:
                for director in directors:
                    found[director].append((1000.0 * at - 200.0, 1e12))
            elif what in ("stop", "kill"):
                for director in directors:
                    first = found[director][-1][0]
                    found[director][-1] = (first, 1000.0 * at + AWAY + self.scenario.patience_ms)
        for held in self.heard.others["term"]:
            found[held[1]].append((1000.0 * held[0] + 700.0, 1000.0 * held[0] + 12_000.0))
        return found

    def _away(
        self, excused: dict[int, list[tuple[float, float]]], director: int, at: float
    ) -> bool:
        return any(first <= at <= last for first, last in excused.get(director, ()))

    def drains(self) -> int:
        """Attempts to a node, or with it as their source, later than 2 s after their director was
        told that it drains or is gone.
        """
        told: dict[tuple[int, str], list[tuple[float, bool]]] = defaultdict(list)
        for at, director, name, state, _ in self.heard.others["told"]:
            told[director, name].append((at, state != "SERVING"))
        broken = 0
        for attempt in self.heard.attempts:
            for name in {attempt[2], attempt[5]}:
                words = told.get((attempt[1], name))
                if words:
                    before = [held for held in words if held[0] <= attempt[0]]
                    if (
                        before
                        and before[-1][1]
                        and attempt[0] > before[-1][0] + DRAIN_AFTER / 1000.0
                    ):
                        broken += 1
        return broken

    # Load

    def parents(self) -> dict[int, dict[str, float]]:
        """By second the share of each parent among fills from parents."""
        counts: dict[int, Counter] = defaultdict(Counter)
        for attempt in self.heard.attempts:
            at, node, source = attempt[0], attempt[2], attempt[5]
            if node in self.boxes and source in self.sites and self.sites[source].kind == PARENT:
                counts[int(at)][source] += 1
        return {
            second: {name: count / held.total() for name, count in held.items()}
            for second, held in counts.items()
            if held.total() >= 20
        }

    def growth(self, what: str) -> float:
        """The most of probes (a second) or connections (at one time) of one cache, after the
        warm-up.
        """
        first = self.scenario.warm
        if what == "probes":
            counts = Counter(
                (held[2], int(held[0]))
                for held in self.heard.others["probe"]
                if held[2] in self.boxes and held[0] >= first
            )
            return evenness.percentile(counts.values(), 0.99)
        most, here = 0, Counter()
        for at, _, name, step in sorted(self.heard.others["conn"]):
            here[name] += step
            if name in self.boxes and at >= first:
                most = max(most, here[name])
        return float(most)

    def probes_together(self) -> float:
        """Of a location's probes in half a second, the share that meets one cache, the mean."""
        asked = [
            (held[0], held[2])
            for held in self.heard.others["probe"]
            if held[2] in self.boxes and held[0] >= self.scenario.warm
        ]
        return evenness.together(asked, self.boxes)

    def credit(self) -> float:
        """Credit of requests served within their goal over all that was asked for, after the
        warm-up.
        """
        asked = earned = 0.0
        for look in self.heard.looks:
            if look[0] >= self.scenario.warm:
                worth = CREDIT[look[5]]
                asked += worth
                if look[7] == "served":
                    earned += worth if look[1] <= self.scenario.goal_ms else 0.1 * worth
        return earned / asked if asked else 0.0

    def figures(self) -> dict[str, Any]:
        sent = self.first_attempts()
        loads, seen = (
            evenness.by_second(sent),
            evenness.by_second(evenness.all_seeing(sent, self.boxes)),
        )
        troubled = self.fault_seconds()
        calm = [second for second in self.seconds if second not in troubled]
        after = [second for second in calm if self.faults and second > self.faults[0][0]]
        before = [second for second in calm if second not in after]
        found = {
            "directors": self.scenario.directors,
            "ready_s": self.heard.ready_after,
            "requests": len(self.heard.looks),
            "outcomes": dict(Counter(look[7] for look in self.heard.looks)),
            "credit": round(self.credit(), 4),
            **self.rules(),
            "calm_imbalance": self._imbalance(loads, seen, before),
            "fault_imbalance": self._imbalance(loads, seen, after) if after else None,
            "imbalance_p99": round(
                evenness.percentile(evenness.ratios(loads, self.boxes, calm), 0.99), 3
            ),
            "all_seeing_p99": round(
                evenness.percentile(evenness.ratios(seen, self.boxes, calm), 0.99), 3
            ),
            "herd_seconds_calm": len(evenness.herd_seconds(loads, self.boxes, before)),
            "herd_seconds_fault": len(evenness.herd_seconds(loads, self.boxes, after)),
            "herd_seconds_all_seeing": len(evenness.herd_seconds(seen, self.boxes, calm)),
            "idle_s_max": max(
                evenness.idle_spans(loads, self.boxes, list(self.seconds)).values(), default=0
            ),
            "return_s_p99": self.returns(loads),
            "parent_swing": self.parent_swing(),
            "probes_a_cache": self.growth("probes"),
            "probes_together": round(self.probes_together(), 3),
            "connections_a_cache": self.growth("connections"),
            "first_attempts": len(sent),
            "attempts": len(self.heard.attempts),
            "attempts_by_request": round(
                len(self.heard.attempts) / max(1, len(self.heard.looks)), 3
            ),
            "hit_share": round(
                sum(held[8] == "HIT" for held in self.heard.attempts) / max(1, len(sent)), 3
            ),
            "fills": self.fills(),
            "origin_fetches": self.heard.others["effects"][0][2]
            if self.heard.others["effects"]
            else None,
            "probes": len(self.heard.others["probe"]),
            "connections": sum(held[3] > 0 for held in self.heard.others["conn"]),
            "reads": len(self.heard.others["read"]),
            "reads_peak": max(
                Counter(int(10 * held[0]) for held in self.heard.others["read"]).values(), default=0
            ),
            "memory_mb_max": max((held[2] for held in self.heard.others["use"]), default=0.0),
            "cpu_s": round(sum(held[1] for held in self.heard.others["use"]), 2),
            "faults": [
                {
                    "at": round(held[0], 2),
                    "name": held[1],
                    "what": held[2],
                    "begins": held[3],
                    "directors": len(held[4]),
                    "nodes": held[5],
                    "wrong": held[7],
                }
                for held in self.faults
            ],
        }
        found["rules_broken"] = sum(
            found[rule]
            for rule in (
                "requests_lost",
                "answers_twice",
                "orders_run_twice",
                "drains_broken",
                "fell",
                "purges_broken",
                "crashes",
            )
        )
        return found

    def _imbalance(
        self, loads: dict[int, Counter], seen: dict[int, Counter], seconds: list[int]
    ) -> float | None:
        ours = evenness.percentile(evenness.ratios(loads, self.boxes, seconds), 0.99)
        theirs = evenness.percentile(evenness.ratios(seen, self.boxes, seconds), 0.99)
        return round(ours / theirs, 3) if theirs else None

    def fills(self) -> dict[str, int]:
        """By source: sibling, parent, origin, none."""
        found: Counter = Counter()
        for attempt in self.heard.attempts:
            if attempt[2] in self.boxes and attempt[8] != "HIT":
                site = self.sites.get(attempt[5])
                found["none" if site is None else "sibling" if site.kind == BOX else site.kind] += 1
        return dict(found)

    def parent_swing(self) -> float:
        """After the first 3 s of each fault."""
        skipped = {second for at, *_ in self.faults for second in range(int(at), int(at) + 4)}
        return round(
            evenness.swings(
                self.parents(), [second for second in self.seconds if second not in skipped]
            ),
            3,
        )

    def returns(self, loads: dict[int, Counter]) -> float | None:
        """s from when a cache is well and warm again to half of its share, the 99th percentile."""
        found = []
        for name, box in self.boxes.items():
            for first, last in box.well:
                if 0.0 < first < self.heard.seconds - 4.0:
                    until = int(min(last, self.heard.seconds))
                    found.append(
                        evenness.return_after(loads, self.boxes, name, int(first) + 1, until)
                    )
        return evenness.percentile(found, 0.99) if found else None
