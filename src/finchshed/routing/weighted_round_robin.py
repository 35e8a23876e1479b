"""Splits the requests of a route between services by weight.

Smooth weighted round robin (as in nginx): after any number of draws each destination is within one
request of its part, so that the split holds over few requests too. Where it starts is drawn at
random, so that many daemons with a request each hold it together. Owns where one route of one
daemon stands; no request is refused here.
"""

import random
from collections.abc import Sequence

from finchshed.configuration.resources import Destination

MAX_START = 100
"""The first request is one of the first so many of a sequence, drawn at random. Chosen, not
measured."""


class WeightedRoundRobin:
    """Draws the destination of each request of one route.

    Parameters
    ----------
    destinations
        At least one with a weight above 0.
    rng
        Draws the start.
    """

    def __init__(self, destinations: Sequence[Destination], rng: random.Random) -> None:
        self.destinations = tuple(destinations)
        self._open = [item for item in self.destinations if item.weight > 0.0]
        self._total = sum(item.weight for item in self._open)
        self._credits = [0.0] * len(self._open)
        for _ in range(rng.randrange(MAX_START)):
            self.draw()

    def draw(self) -> str:
        """Return the service for one request."""
        if len(self._open) == 1:
            return self._open[0].service
        best = 0
        for index, item in enumerate(self._open):
            self._credits[index] += item.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self._open[best].service
