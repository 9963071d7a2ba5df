"""The audit on records written by hand: what it must find, and what it must excuse."""

import json

import pytest

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario

SCENARIO = parse_fleet_scenario(
    "[fleet lab]\nseconds = 20\nwarm_s = 1\n[directors]\ncount = 8\n[load]\npatience_ms = 1000\n"
)
BOX, PARENT = (
    next(site.name for site in SCENARIO.node_sites() if site.kind == kind)
    for kind in ("box", "parent")
)
BEGAN = 5_000.0


def at(second):
    return BEGAN + 1000.0 * second


def attempt(second, director=1, node=BOX, source="", old=0, mark="m1", why="HIT"):
    return [
        "attempt",
        at(second),
        director,
        node,
        "pages",
        "00000000000000ab",
        source,
        "",
        "DONE",
        why,
        old,
        mark,
    ]


def fault(second, what, begins, directors=(), nodes=()):
    return ["fault", at(second), "f", what, begins, list(directors), list(nodes), "", ""]


def audited(tmp_path, *lines):
    held = [["began", BEGAN, 20.0, 1.0], ["effects", 0, 0, 0], *lines]
    (tmp_path / "a.records").write_text(
        "".join(json.dumps(line) + "\n" for line in held) + '["cut short'
    )
    return Audit(SCENARIO, read_observations(str(tmp_path)))


DRAIN = ["told", at(5), 1, BOX, "DRAINING", 0]


@pytest.mark.parametrize(
    ("lines", "rule", "count"),
    [
        ([attempt(6.9)], "drains_broken", 0),
        ([attempt(6.9), DRAIN], "drains_broken", 0),
        ([attempt(7.2), DRAIN], "drains_broken", 1),
        ([attempt(7.2, director=2), DRAIN], "drains_broken", 0),
        ([attempt(7.2, node=PARENT, source=BOX), DRAIN], "drains_broken", 1),
        ([attempt(9.0), DRAIN, ["told", at(8), 1, BOX, "SERVING", 0]], "drains_broken", 0),
        ([attempt(9.0, old=1)], "purges_broken", 1),
        ([["twice", at(3), 1]], "answers_twice", 1),
        ([["late", at(3), 1]], "answers_late", 1),
        ([["none", at(3), 1, at(2)]], "requests_lost", 1),
        ([["cut", at(3), 1, 4]], "requests_lost", 4),
        ([["cut", at(3), 1, 4], fault(2.9, "kill", True, [1])], "requests_lost", 0),
        ([["cut", at(3), 2, 4], fault(2.9, "kill", True, [1])], "requests_lost", 4),
        ([["cut", at(2), 1, 4], fault(2.9, "kill", True, [1])], "requests_lost", 4),
        (
            [
                ["none", at(9), 1, at(8)],
                fault(2.9, "stop", True, [1]),
                fault(4, "stop", False, [1]),
            ],
            "requests_lost",
            1,
        ),
        (
            [
                ["none", at(5), 1, at(4)],
                fault(2.9, "stop", True, [1]),
                fault(4, "stop", False, [1]),
            ],
            "requests_lost",
            0,
        ),
        ([["cut", at(3.2), 1, 1], ["term", at(3), 1]], "requests_lost", 1),
        ([["cut", at(4), 1, 1], ["term", at(3), 1]], "requests_lost", 0),
        ([["fell", at(3), BOX]], "fell", 1),
        ([["crash", at(3), 1, 1, "why"]], "crashes", 1),
    ],
)
def test_violations_are_counted_and_what_the_lab_has_done_is_excused(lines, rule, count, tmp_path):
    found = audited(tmp_path, *lines).count_violations()
    assert found[rule] == count and sum(found.values()) == count


@pytest.mark.parametrize(
    ("lines", "well"),
    [
        ([], [(0.0, 1e9)]),
        (
            [fault(4, "node_slow", True, nodes=[BOX]), fault(8, "node_slow", False, nodes=[BOX])],
            [(0.0, 4.0), (13.0, 1e9)],
        ),
        (
            [fault(4, "node_cold", True, nodes=[BOX]), fault(6, "node_cold", False, nodes=[BOX])],
            [(0.0, 4.0), (18.0, 1e9)],
        ),
        ([fault(4, "node_kill", True, nodes=[BOX])], [(0.0, 4.0)]),
        ([["fell", at(5), BOX]], [(0.0, 5.0)]),
        ([fault(4, "node_slow", True, nodes=[PARENT])], [(0.0, 1e9)]),
    ],
)
def test_healthy_spans_of_a_cache(lines, well, tmp_path):
    assert audited(tmp_path, *lines).caches[BOX].healthy_spans == [
        pytest.approx(span) for span in well
    ]


def test_a_request_counts_once_at_its_first_cache(tmp_path):
    audit = audited(
        tmp_path, attempt(3, mark="m1"), attempt(3.1, mark="m1"), attempt(3.2, mark="m2")
    )
    assert [round(one.at_s, 1) for one in audit.first_attempts()] == [3.0, 3.2]


def test_peaks_of_connections_and_health_checks_of_one_cache(tmp_path):
    lines = [
        ["conn", at(second), director, BOX, step]
        for second, director, step in ((2, 1, 1), (3, 2, 1), (4, 1, -1), (5, 3, 1), (6, 4, 1))
    ]
    lines += [["probe", at(7.1), 1, BOX, "METER"], ["probe", at(7.3), 2, BOX, "ECHO"]]
    audit = audited(tmp_path, *lines)
    assert audit.peak_of("connections") == 3.0 and audit.peak_of("probes") == 2.0


@pytest.mark.parametrize(
    ("what", "ms", "credit"),
    [("served", 100.0, 1.0), ("served", 900.0, 0.1), ("rejected", 5.0, 0.0)],
)
def test_weight_is_earned_by_the_latency_objective(what, ms, credit, tmp_path):
    audit = audited(tmp_path, ["look", at(3), ms, "north", 1, 1, "order", 7, what, 1])
    assert audit.earned_weight() == pytest.approx(credit)
