"""The measurement of decisions."""

import pytest

from finchshed.bench.decisions import DECISIONS, DecisionPoint, cost_of


@pytest.mark.parametrize("name", DECISIONS)
@pytest.mark.parametrize("size", [1, 10, 60])
def test_every_decision_can_be_repeated_at_any_size(name: str, size: int) -> None:
    step = DECISIONS[name](size)
    for _ in range(200):
        step()


def test_line_through_points_and_its_residual() -> None:
    points = tuple(DecisionPoint(size, 2.0 + 0.5 * size, 0.0, 0.0) for size in (10, 100, 400))
    cost = cost_of("d", points)
    assert cost.slope_microseconds == pytest.approx(0.5)
    assert cost.intercept_microseconds == pytest.approx(2.0)
    assert cost.residual_microseconds == pytest.approx(0.0, abs=1e-6)
    bent = (*points, DecisionPoint(1100, 5.0, 0.0, 0.0))
    assert cost_of("d", bent).residual_microseconds > 1.0
