"""Load that a simulated backend reports: current, stale or always zero."""

import collections

from finchshed.standins.settings import LoadReporting

LAG_SECONDS = 2.0
"""Age of the load reported in ``lagging`` mode."""


class LoadReporter:
    """Converts the actual load into the reported load."""

    def __init__(self, reporting: LoadReporting) -> None:
        self.reporting = reporting
        self._history: collections.deque[tuple[float, int]] = collections.deque()
        self._stale_load = 0

    def report(self, in_flight: int, now: float) -> int:
        """Return the load to report at ``now`` when the actual load is ``in_flight``."""
        self._history.append((now, in_flight))
        while self._history and self._history[0][0] <= now - LAG_SECONDS:
            _, self._stale_load = self._history.popleft()
        if self.reporting is LoadReporting.ZERO:
            return 0
        if self.reporting is LoadReporting.LAGGING:
            return self._stale_load
        return in_flight
