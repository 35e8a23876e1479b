"""Logs now and then that peers were given up because a bound of the process was reached."""

from loguru import logger

LOG_INTERVAL_SECONDS = 10.0
"""Shortest time between two lines."""


class PressureLog:
    """Counts what gave way since the last line."""

    def __init__(self) -> None:
        self._logged_at = -LOG_INTERVAL_SECONDS
        self._dropped = 0
        self._closed = 0

    def write(self, dropped: int, closed: int, now: float) -> None:
        """Log what gave way, if anything did and the last line is long enough ago.

        Parameters
        ----------
        dropped
            Holdings of memory that gave way or found no room since the start.
        closed
            Connections of callers closed for others since the start.
        now
            Time in monotonic seconds.
        """
        is_new = dropped > self._dropped or closed > self._closed
        if not is_new or now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        logger.warning(
            "bounds of the process are reached: memory was short {} times, and {} connections of"
            " callers were closed for others",
            dropped - self._dropped,
            closed - self._closed,
        )
        self._logged_at, self._dropped, self._closed = now, dropped, closed
