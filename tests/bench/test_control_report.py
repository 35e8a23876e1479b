import math

import pytest

from finchshed.bench.control_report import Point, fit


def test_a_line_is_found_with_its_largest_residual() -> None:
    line = fit([Point(0, 1.0), Point(10, 21.0), Point(20, 41.0)])
    assert (line.intercept, line.slope) == (pytest.approx(1.0), pytest.approx(2.0))
    assert line.residual == pytest.approx(0.0, abs=1e-9)
    bent = fit([Point(0, 0.0), Point(1, 0.0), Point(2, 3.0)])
    assert bent.slope == pytest.approx(1.5)
    assert bent.residual == pytest.approx(1.0)
    assert math.isfinite(bent.intercept)
