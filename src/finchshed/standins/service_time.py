"""Draws the service times of a simulated backend."""

import numpy

from finchshed.standins.settings import Distribution

GAMMA_SHAPE = 8.0
"""Same shape as in the emulator; the coefficient of variation is 0.35."""


class ServiceTime:
    """Draws service times from a seeded distribution.

    Parameters
    ----------
    mean
        Mean service time in seconds.

    Attributes
    ----------
    slow_factor
        Multiplier of the drawn service times.
    """

    def __init__(
        self, mean: float, distribution: Distribution, generator: numpy.random.Generator
    ) -> None:
        self._mean = mean
        self._distribution = distribution
        self._generator = generator
        self.slow_factor = 1.0

    def draw(self) -> float:
        """Return the service time of one request in seconds."""
        return self._draw_unscaled() * self.slow_factor

    def _draw_unscaled(self) -> float:
        if self._distribution is Distribution.CONSTANT:
            return self._mean
        return float(self._generator.gamma(GAMMA_SHAPE, self._mean / GAMMA_SHAPE))
