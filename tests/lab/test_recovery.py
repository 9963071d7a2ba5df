"""That no overload lives on after its cause, in the model; and that the measure would see one that
does.
"""

import pytest

from benchmarks import recovery
from mulleinrelay.policy import attempt_results, overload

FEW, MANY = (
    [("slow", 8), ("burst", 3), ("cut", 4)],
    [("slow", 0.0), ("burst", 0.0), ("unreached", 0.8)],
)
PROCESS_JOBS = {
    f"{trouble}, {span} s": (recovery.play, trouble, span, 20, 220.0, 1) for trouble, span in FEW
}
PROCESS_JOBS |= {
    f"{trouble}, many": (recovery.play, trouble, 5, 200, 230.0, 1) for trouble, _ in MANY
}


@pytest.mark.parametrize(("trouble", "length"), FEW)
def test_the_fleet_is_back_within_ten_seconds(trouble, length, process_job_result):
    found = process_job_result(f"{trouble}, {length} s")
    assert found["calm"] > 0.95 and found["during"] < 0.7
    assert found["back_s"] is not None and found["back_s"] <= 10


@pytest.mark.parametrize(("trouble", "during"), MANY)
def test_a_fleet_of_directors_that_see_one_request_a_second_is_back_too(
    trouble, during, process_job_result
):
    """Guards against overdue requests that are rejected with their answers on the way: the fleet
    never came back. And against a location that is not reached being found out cache by cache.
    """
    found = process_job_result(f"{trouble}, many")
    assert found["calm"] > 0.95 and found["during"] > during
    assert found["back_s"] is not None and found["back_s"] <= 10


def test_a_planted_storm_is_found(monkeypatch, process_job_result):
    """Directors that send on whatever was turned away, at no cost: the overload
    outlives its cause.
    """
    monkeypatch.setattr(overload, "RETRIES_PER_REQUEST", 6.0)
    monkeypatch.setattr(overload, "NO_RETRY_FRACTION", 1e9)
    monkeypatch.setattr(overload, "retry_cost", lambda *_: 0.05)
    monkeypatch.setattr(attempt_results, "REJECTED_LATENESS", 0.0)
    wild = recovery.play("slow", 8, 20, 220.0, 1)
    monkeypatch.undo()
    tame = process_job_result("slow, 8 s")
    assert wild["attempts_by_request"] > 1.5 * tame["attempts_by_request"]
    assert wild["back_s"] is None or wild["back_s"] >= tame["back_s"] + 2
