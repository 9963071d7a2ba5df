"""Simulated fleets recover from an overload when its cause ends.

A further test modifies the retry limits, and checks that the measurement shows a late or missing
recovery.
"""

import pytest

from benchmarks import recovery
from mulleinrelay.policy import attempt_results, overload

SMALL_FLEET_FAULTS, LARGE_FLEET_FAULTS = (
    [("slow", 8), ("burst", 3), ("cut", 4)],
    [("slow", 0.0), ("burst", 0.0), ("unreached", 0.8)],
)
PROCESS_JOBS = {
    f"{fault}, {length} s": (recovery.play, fault, length, 20, 220.0, 1)
    for fault, length in SMALL_FLEET_FAULTS
}
PROCESS_JOBS |= {
    f"{fault}, many": (recovery.play, fault, 5, 200, 230.0, 1) for fault, _ in LARGE_FLEET_FAULTS
}


@pytest.mark.parametrize(("fault", "length"), SMALL_FLEET_FAULTS)
def test_the_fleet_recovers_within_ten_seconds(fault, length, process_job_result):
    figures = process_job_result(f"{fault}, {length} s")
    assert figures["calm"] > 0.95 and figures["during"] < 0.7
    assert figures["back_s"] is not None and figures["back_s"] <= 10


@pytest.mark.parametrize(("fault", "min_served_during"), LARGE_FLEET_FAULTS)
def test_a_fleet_with_one_request_a_second_per_director_recovers_within_ten_seconds(
    fault, min_served_during, process_job_result
):
    """Guard against two failures that prevented or delayed the recovery of a fleet.

    First, overdue requests were rejected while their answers were on the way, so that the fleet
    never recovered. Second, directors detected an unreachable location only cache by cache, which
    delayed the recovery.
    """
    figures = process_job_result(f"{fault}, many")
    assert figures["calm"] > 0.95 and figures["during"] > min_served_during
    assert figures["back_s"] is not None and figures["back_s"] <= 10


def test_a_retry_storm_delays_the_recovery(monkeypatch, process_job_result):
    """Show that an overload lasts longer after its cause has ended if retries are hardly limited.

    A retry then costs almost nothing, and each request earns six of them even while most requests
    are rejected. A rejection also does not count as lateness of the cache.
    """
    monkeypatch.setattr(overload, "RETRIES_PER_REQUEST", 6.0)
    monkeypatch.setattr(overload, "NO_RETRY_FRACTION", 1e9)
    monkeypatch.setattr(overload, "retry_cost", lambda *_: 0.05)
    monkeypatch.setattr(attempt_results, "REJECTED_LATENESS", 0.0)
    with_free_retries = recovery.play("slow", 8, 20, 220.0, 1)
    monkeypatch.undo()
    with_retry_limits = process_job_result("slow, 8 s")
    assert with_free_retries["attempts_by_request"] > 1.5 * with_retry_limits["attempts_by_request"]
    assert (
        with_free_retries["back_s"] is None
        or with_free_retries["back_s"] >= with_retry_limits["back_s"] + 2
    )
