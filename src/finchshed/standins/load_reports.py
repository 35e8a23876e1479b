"""What a stand-in back end reports of its load: the truth, an old truth, or nothing true."""

import collections

from finchshed.standins.settings import LoadReporting

LAG_SECONDS = 2.0
"""Age of what is reported when the reporting is ``lagging``; chosen, not measured."""


class LoadReports:
    """Turns the true load into the reported one."""

    def __init__(self, reporting: LoadReporting) -> None:
        self.reporting = reporting
        self._history: collections.deque[tuple[float, int]] = collections.deque()
        self._lagged = 0

    def report(self, in_flight: int, now: float) -> int:
        """Return the load to tell at ``now`` when it truly is ``in_flight``."""
        self._history.append((now, in_flight))
        while self._history and self._history[0][0] <= now - LAG_SECONDS:
            _, self._lagged = self._history.popleft()
        if self.reporting is LoadReporting.ZERO:
            return 0
        if self.reporting is LoadReporting.LAGGING:
            return self._lagged
        return in_flight
