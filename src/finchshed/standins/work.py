"""How long a stand-in back end works on a request."""

import math

import numpy

from finchshed.standins.settings import Distribution

LOGNORMAL_SIGMA = 0.5
GAMMA_SHAPE = 8.0


class ServiceTime:
    """Draws service times from a seeded distribution.

    Parameters
    ----------
    mean
        Mean of a warm back end, seconds.
    cold_start_seconds, cold_factor
        After the start work takes ``cold_factor`` times longer, falling evenly to once.
    """

    def __init__(
        self,
        mean: float,
        distribution: Distribution,
        cold_start_seconds: float,
        cold_factor: float,
        generator: numpy.random.Generator,
    ) -> None:
        self._mean = mean
        self._distribution = distribution
        self._cold_start_seconds = cold_start_seconds
        self._cold_factor = cold_factor
        self._generator = generator
        self.slow_factor = 1.0

    def draw(self, age: float) -> float:
        """Return seconds of work for a back end that started ``age`` seconds ago."""
        return self._base() * self.slow_factor * self.cold_multiplier(age)

    def cold_multiplier(self, age: float) -> float:
        """Return how many times longer than warm work takes at ``age``."""
        if age >= self._cold_start_seconds:
            return 1.0
        left = 1.0 - age / self._cold_start_seconds
        return 1.0 + (self._cold_factor - 1.0) * left

    def _base(self) -> float:
        if self._distribution is Distribution.CONSTANT:
            return self._mean
        if self._distribution is Distribution.GAMMA:
            return float(self._generator.gamma(GAMMA_SHAPE, self._mean / GAMMA_SHAPE))
        if self._distribution is Distribution.EXPONENTIAL:
            return float(self._generator.exponential(self._mean))
        mu = math.log(self._mean) - LOGNORMAL_SIGMA**2 / 2
        return float(self._generator.lognormal(mu, LOGNORMAL_SIGMA))
