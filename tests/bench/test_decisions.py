"""The measurement of decisions."""

import pytest

from finchshed.bench.decisions import DECISIONS, Point, fit_of


@pytest.mark.parametrize("name", DECISIONS)
@pytest.mark.parametrize("size", [1, 10, 60])
def test_every_decision_can_be_repeated_at_any_size(name: str, size: int) -> None:
    step = DECISIONS[name](size)
    for _ in range(200):
        step()


def test_line_through_points_and_its_residual() -> None:
    points = tuple(Point(size, 2.0 + 0.5 * size, 0.0, 0.0) for size in (10, 100, 400))
    fit = fit_of("d", points)
    assert fit.slope_microseconds == pytest.approx(0.5)
    assert fit.intercept_microseconds == pytest.approx(2.0)
    assert fit.residual_microseconds == pytest.approx(0.0, abs=1e-6)
    bent = (*points, Point(1100, 5.0, 0.0, 0.0))
    assert fit_of("d", bent).residual_microseconds > 1.0
