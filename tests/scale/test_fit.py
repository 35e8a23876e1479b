import numpy as np
import pytest

from finchshed.scale.fit import fit
from finchshed.scale.models import fits_of, table_of
from finchshed.scale.slope_points import ControlPoint, SlopePoint
from finchshed.scale.usage import Usage


def test_the_slopes_of_an_exact_line_are_found_with_no_residual() -> None:
    found = fit("y", {"constant": [1.0] * 4, "x": [1.0, 2.0, 5.0, 9.0]}, [5.0, 8.0, 17.0, 29.0])
    assert found.predict({"constant": 1.0, "x": 100.0}) == pytest.approx(302.0)
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


def point(
    rate: float, subscribers: int, kilobytes: float, restarts: float, ledger: float = 0.0
) -> SlopePoint:
    """Make a point that costs 2 microseconds a change and subscriber, and 300 a ledger request."""
    cost = 2e-6 * rate * subscribers + 3e-4 * ledger
    daemons = 2 * subscribers / 4
    nodes = tuple(
        ControlPoint(
            node=name,
            is_leader=name == "a",
            is_standby=False,
            subscribers=subscribers,
            core_share=cost,
            resident_bytes=1024 * (60_000 + 3 * subscribers),
        )
        for name in ("a", "b")
    )
    return SlopePoint(
        sweep="test",
        seconds=8.0,
        daemons=2 * subscribers,
        services=52,
        rate=rate,
        restarts=restarts,
        ledger=ledger,
        resources=1_100,
        configuration_bytes=int(1024 * kilobytes),
        control=nodes,
        hollow=Usage(4, 1e-4 * daemons, 1e-4 * daemons, 1024.0 * daemons * kilobytes, 1),
        bytes_per_second=150.0 + 160.0 * rate,
        real=Usage(1, 1e-3 * rate, 1e-3 * rate, 5e7, 50_000_000),
        busy_share=0.1,
    )


def spread_points() -> list[SlopePoint]:
    return [
        point(rate, subscribers, kilobytes, restarts, ledger)
        for rate, subscribers, kilobytes, restarts, ledger in (
            (0.0, 100, 200.0, 0.0, 0.0),
            (2.0, 20, 200.0, 0.0, 0.0),
            (2.0, 100, 200.0, 0.0, 0.0),
            (4.0, 50, 200.0, 5.0, 0.0),
            (8.0, 180, 900.0, 0.0, 0.0),
            (2.0, 180, 900.0, 10.0, 0.0),
            (1.0, 180, 950.0, 0.0, 0.0),
            (4.0, 180, 1000.0, 20.0, 0.0),
            (0.0, 180, 1000.0, 0.0, 50.0),
            (0.0, 180, 1000.0, 0.0, 100.0),
            (0.0, 180, 1000.0, 0.0, 400.0),
        )
    ]


def test_the_models_find_the_costs_that_the_points_were_made_of() -> None:
    points = spread_points()
    fits = {item.quantity: item for item in fits_of(points)}
    control = {c.name: c.value for c in fits["control node, processor"].coefficients}
    assert control["change x subscriber"] == pytest.approx(2.0)
    ledger = fits["control node under ledger requests, processor"].coefficients
    assert {c.name: c.value for c in ledger}["request"] == pytest.approx(300.0)
    assert control["leader"] == pytest.approx(0.0, abs=1e-6)
    hollow = {c.name: c.value for c in fits["process of hollow daemons, processor"].coefficients}
    assert hollow["daemon"] == pytest.approx(100.0)
    traffic = {c.name: c.value for c in fits["daemon, traffic with control"].coefficients}
    assert traffic["constant"] == pytest.approx(150.0)
    assert traffic["change"] == pytest.approx(160.0)
    memory = {c.name: c.value for c in fits["control node, memory"].coefficients}
    assert memory["subscriber"] == pytest.approx(3.0)
    assert "change x subscriber" in table_of(list(fits.values()))
