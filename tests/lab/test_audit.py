"""The audit of hand-written records: violations that it must count or excuse, and its figures."""

import json

import pytest

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario

SCENARIO = parse_fleet_scenario(
    "[fleet lab]\nseconds = 20\nwarm_s = 1\n[directors]\ncount = 8\n[load]\npatience_ms = 1000\n"
)
CACHE, PARENT = (
    next(site.name for site in SCENARIO.node_sites() if site.kind == kind)
    for kind in ("box", "parent")
)
STARTED_AT = 5_000.0  # Unix ms


def unix_ms(second):
    return STARTED_AT + 1000.0 * second


def attempt(
    second, director=1, node=CACHE, source="", is_outdated=0, command_id="m1", reason="HIT"
):
    return [
        "attempt",
        unix_ms(second),
        director,
        node,
        "pages",
        "00000000000000ab",
        source,
        "",
        "DONE",
        reason,
        is_outdated,
        command_id,
    ]


def fault(second, kind, is_start, directors=(), nodes=()):
    return ["fault", unix_ms(second), "f", kind, is_start, list(directors), list(nodes), "", ""]


def audit_of(tmp_path, *lines):
    records = [["began", STARTED_AT, 20.0, 1.0], ["effects", 0, 0, 0], *lines]
    # The last line is incomplete, as a killed process can leave it; it must be ignored.
    (tmp_path / "a.records").write_text(
        "".join(json.dumps(line) + "\n" for line in records) + '["cut short'
    )
    return Audit(SCENARIO, read_observations(str(tmp_path)))


DRAIN = ["told", unix_ms(5), 1, CACHE, "DRAINING", 0]


@pytest.mark.parametrize(
    ("lines", "rule", "count"),
    [
        ([attempt(6.9)], "drains_broken", 0),
        ([attempt(6.9), DRAIN], "drains_broken", 0),
        ([attempt(7.2), DRAIN], "drains_broken", 1),
        ([attempt(7.2, director=2), DRAIN], "drains_broken", 0),
        ([attempt(7.2, node=PARENT, source=CACHE), DRAIN], "drains_broken", 1),
        ([attempt(9.0), DRAIN, ["told", unix_ms(8), 1, CACHE, "SERVING", 0]], "drains_broken", 0),
        ([attempt(9.0, is_outdated=1)], "purges_broken", 1),
        ([["twice", unix_ms(3), 1]], "answers_twice", 1),
        ([["late", unix_ms(3), 1]], "answers_late", 1),
        ([["none", unix_ms(3), 1, unix_ms(2)]], "requests_lost", 1),
        ([["cut", unix_ms(3), 1, 4]], "requests_lost", 4),
        ([["cut", unix_ms(3), 1, 4], fault(2.9, "kill", True, [1])], "requests_lost", 0),
        ([["cut", unix_ms(3), 2, 4], fault(2.9, "kill", True, [1])], "requests_lost", 4),
        ([["cut", unix_ms(2), 1, 4], fault(2.9, "kill", True, [1])], "requests_lost", 4),
        (
            [
                ["none", unix_ms(9), 1, unix_ms(8)],
                fault(2.9, "stop", True, [1]),
                fault(4, "stop", False, [1]),
            ],
            "requests_lost",
            1,
        ),
        (
            [
                ["none", unix_ms(5), 1, unix_ms(4)],
                fault(2.9, "stop", True, [1]),
                fault(4, "stop", False, [1]),
            ],
            "requests_lost",
            0,
        ),
        ([["cut", unix_ms(3.2), 1, 1], ["term", unix_ms(3), 1]], "requests_lost", 1),
        ([["cut", unix_ms(4), 1, 1], ["term", unix_ms(3), 1]], "requests_lost", 0),
        ([["fell", unix_ms(3), CACHE]], "fell", 1),
        ([["crash", unix_ms(3), 1, 1, "why"]], "crashes", 1),
    ],
)
def test_violations_are_counted_unless_the_lab_caused_them(lines, rule, count, tmp_path):
    found = audit_of(tmp_path, *lines).count_violations()
    assert found[rule] == count and sum(found.values()) == count


@pytest.mark.parametrize(
    ("lines", "healthy_spans"),
    [
        ([], [(0.0, 1e9)]),
        (
            [
                fault(4, "node_slow", True, nodes=[CACHE]),
                fault(8, "node_slow", False, nodes=[CACHE]),
            ],
            [(0.0, 4.0), (13.0, 1e9)],
        ),
        (
            [
                fault(4, "node_cold", True, nodes=[CACHE]),
                fault(6, "node_cold", False, nodes=[CACHE]),
            ],
            [(0.0, 4.0), (18.0, 1e9)],
        ),
        ([fault(4, "node_kill", True, nodes=[CACHE])], [(0.0, 4.0)]),
        ([["fell", unix_ms(5), CACHE]], [(0.0, 5.0)]),
        ([fault(4, "node_slow", True, nodes=[PARENT])], [(0.0, 1e9)]),
    ],
)
def test_healthy_spans_of_a_cache(lines, healthy_spans, tmp_path):
    assert audit_of(tmp_path, *lines).caches[CACHE].healthy_spans == [
        pytest.approx(span) for span in healthy_spans
    ]


def test_a_request_counts_once_at_its_first_cache(tmp_path):
    audit = audit_of(
        tmp_path,
        attempt(3, command_id="m1"),
        attempt(3.1, command_id="m1"),
        attempt(3.2, command_id="m2"),
    )
    assert [round(first.at_s, 1) for first in audit.first_attempts()] == [3.0, 3.2]


def test_peaks_of_connections_and_health_checks_of_one_cache(tmp_path):
    lines = [
        ["conn", unix_ms(second), director, CACHE, change]
        for second, director, change in ((2, 1, 1), (3, 2, 1), (4, 1, -1), (5, 3, 1), (6, 4, 1))
    ]
    lines += [["probe", unix_ms(7.1), 1, CACHE, "METER"], ["probe", unix_ms(7.3), 2, CACHE, "ECHO"]]
    audit = audit_of(tmp_path, *lines)
    assert audit.peak_of("connections") == 3.0 and audit.peak_of("probes") == 2.0


@pytest.mark.parametrize(
    ("outcome", "duration_ms", "earned"),
    [("served", 100.0, 1.0), ("served", 900.0, 0.1), ("rejected", 5.0, 0.0)],
)
def test_weight_is_earned_by_the_latency_objective(outcome, duration_ms, earned, tmp_path):
    audit = audit_of(
        tmp_path, ["look", unix_ms(3), duration_ms, "north", 1, 1, "order", 7, outcome, 1]
    )
    assert audit.earned_weight() == pytest.approx(earned)
