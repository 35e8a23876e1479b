"""How long a stand-in back end works on a request."""

import numpy

from finchshed.standins.settings import Distribution

GAMMA_SHAPE = 8.0
"""As the emulator's: the coefficient of variation is 0.35. Chosen, not measured."""


class ServiceTime:
    """Draws service times from a seeded distribution.

    Parameters
    ----------
    mean
        Mean, seconds.

    Attributes
    ----------
    slow_factor
        How many times longer work takes now.
    """

    def __init__(
        self, mean: float, distribution: Distribution, generator: numpy.random.Generator
    ) -> None:
        self._mean = mean
        self._distribution = distribution
        self._generator = generator
        self.slow_factor = 1.0

    def draw(self) -> float:
        """Return seconds of work for one request."""
        return self._base() * self.slow_factor

    def _base(self) -> float:
        if self._distribution is Distribution.CONSTANT:
            return self._mean
        return float(self._generator.gamma(GAMMA_SHAPE, self._mean / GAMMA_SHAPE))
