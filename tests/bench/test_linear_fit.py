"""Least squares with what is needed to judge them."""

import numpy as np
import pytest

from finchshed.bench.linear_fit import fit


def test_the_slopes_of_an_exact_line_are_found_with_no_residual() -> None:
    found = fit("y", {"constant": [1.0] * 4, "x": [1.0, 2.0, 5.0, 9.0]}, [5.0, 8.0, 17.0, 29.0])
    slopes = {item.name: item.value for item in found.coefficients}
    assert slopes == pytest.approx({"constant": 2.0, "x": 3.0})
    assert found.worst_residual < 1e-9
    assert found.explained == pytest.approx(1.0)


def test_residuals_and_standard_errors_tell_a_bad_fit_from_a_good_one() -> None:
    rng = np.random.Generator(np.random.PCG64(7))
    x = np.linspace(1.0, 10.0, 40)
    terms = {"constant": [1.0] * 40, "x": list(x)}
    good = fit("y", terms, list(3.0 * x + rng.normal(0.0, 0.1, 40)))
    bad = fit("y", terms, list(3.0 * x + rng.normal(0.0, 10.0, 40)))
    assert good.residual_rms < bad.residual_rms / 10
    assert good.coefficients[1].standard_error < bad.coefficients[1].standard_error / 10
    assert abs(good.coefficients[1].value - 3.0) < 4 * good.coefficients[1].standard_error


def test_terms_that_cannot_be_told_apart_are_refused() -> None:
    with pytest.raises(ValueError, match="depend on each other"):
        fit("y", {"x": [1.0, 2.0, 3.0], "twice": [2.0, 4.0, 6.0]}, [1.0, 2.0, 3.0])
    with pytest.raises(ValueError, match="points for"):
        fit("y", {"x": [1.0], "constant": [1.0]}, [1.0])
    with pytest.raises(ValueError, match="is 0 at every point"):
        fit("y", {"x": [0.0, 0.0]}, [1.0, 2.0])
