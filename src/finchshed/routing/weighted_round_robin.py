"""Smooth weighted round robin over the destination services of a route, as in nginx.

After any number of requests, each destination is within one request of its share. The starting
point is random, so that the split also holds over many daemons that serve few requests each.
"""

import random
from collections.abc import Sequence

from finchshed.configuration.resources import Destination

MAX_START_OFFSET = 100
"""Upper bound (exclusive) of the random starting point in the sequence."""


class WeightedRoundRobin:
    """Chooses the destination of each request of one route.

    Parameters
    ----------
    destinations
        At least one with a weight above 0.
    rng
        Source of the random starting point.
    """

    def __init__(self, destinations: Sequence[Destination], rng: random.Random) -> None:
        self.destinations = tuple(destinations)
        self._candidates = [item for item in self.destinations if item.weight > 0.0]
        self._total = sum(item.weight for item in self._candidates)
        self._credits = [0.0] * len(self._candidates)
        for _ in range(rng.randrange(MAX_START_OFFSET)):
            self.draw()

    def draw(self) -> str:
        """Return the service for the next request."""
        if len(self._candidates) == 1:
            return self._candidates[0].service
        best = 0
        for index, item in enumerate(self._candidates):
            self._credits[index] += item.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self._candidates[best].service
