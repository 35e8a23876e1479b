import numpy
import pytest

from finchshed.standins.service_time import ServiceTime
from finchshed.standins.settings import Distribution

DRAWS = 20_000


def service_time(distribution: Distribution) -> ServiceTime:
    return ServiceTime(0.05, distribution, numpy.random.default_rng(7))


@pytest.mark.parametrize(
    ("distribution", "variation"),
    [(Distribution.CONSTANT, 0.0), (Distribution.GAMMA, 0.354)],
)
def test_mean_and_variation_match_the_distribution(
    distribution: Distribution, variation: float
) -> None:
    source = service_time(distribution)
    drawn = numpy.array([source.draw() for _ in range(DRAWS)])
    assert drawn.mean() == pytest.approx(0.05, rel=0.03)
    assert drawn.std() / drawn.mean() == pytest.approx(variation, abs=0.03)


def test_slow_factor_multiplies_the_service_time() -> None:
    source = service_time(Distribution.CONSTANT)
    source.slow_factor = 4.0
    assert source.draw() == pytest.approx(0.2)
