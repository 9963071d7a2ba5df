import pytest

from mulleinrelay.policy.decay import MAX_HALVINGS, StepwiseDecay

HALF_LIFE = 1000.0


@pytest.mark.parametrize(
    ("elapsed", "factor"),
    [
        pytest.param(0.0, 1.0, id="immediately"),
        pytest.param(999.0, 1.0, id="not-due"),
        pytest.param(1000.0, 0.5, id="due"),
        pytest.param(1999.0, 0.5, id="less-than-two-half-lives"),
        pytest.param(2000.0, 0.25, id="two-half-lives"),
        pytest.param(1e9, 0.5**MAX_HALVINGS, id="capped"),
    ],
)
def test_counts_are_halved_once_for_each_half_life_that_has_passed(elapsed, factor):
    decay = StepwiseDecay(HALF_LIFE)
    decay.take_factor(5000.0)
    assert decay.take_factor(5000.0 + elapsed) == factor


def test_next_halving_is_due_a_half_life_after_the_last_one():
    decay = StepwiseDecay(HALF_LIFE)
    decay.take_factor(0.0)
    assert decay.take_factor(1700.0) == 0.5
    assert decay.take_factor(2699.0) == 1.0
    assert decay.take_factor(2700.0) == 0.5
