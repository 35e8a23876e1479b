"""Time of a simulated world, and what is due in it."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Time and what is due."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, time: float, act: Callable[[], None]) -> None:
        """Have ``act`` called at ``time``."""
        heapq.heappush(self._due, (time, next(self._order), act))

    def run(self, until: float) -> None:
        """Do what is due before ``until``."""
        while self._due and self._due[0][0] <= until:
            self.now, _, act = heapq.heappop(self._due)
            act()
