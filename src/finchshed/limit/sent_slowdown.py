"""Which callers need a load report between replies and heartbeats, for its slowdown. No I/O.

Load pattern: a back end becomes slow for less than a second. Callers learn of it from replies, but
one that sent nothing for a while learns of it only by sending a request to the slow back end.
"""

from finchshed.limit.slowdown_history import MAX_REPORT_AGE_SECONDS, USUAL_SLOWDOWN

CHANGE_FACTOR = 1.2
"""A slowdown that differs by this factor from the one that a caller knows is reported at once."""

REFRESH_SECONDS = 0.5
"""Interval at which an unusual slowdown is reported again; callers forget it after 1 s."""

MAX_CALLERS_NOTIFIED = 64
"""With more callers, only those that sent something recently get reports, which bounds the messages
of a back end whose speed changes often."""


class SentSlowdown:
    """The slowdown in the last report to one caller."""

    __slots__ = ("_sent_at", "_slowdown")

    def __init__(self) -> None:
        self._slowdown = USUAL_SLOWDOWN
        self._sent_at = float("-inf")

    def on_report(self, slowdown: float, now: float) -> None:
        """Record the slowdown in a load report; 0 if it had none."""
        self._slowdown = slowdown or USUAL_SLOWDOWN
        self._sent_at = now

    def is_due(self, slowdown: float, now: float, *, callers: int, silent_seconds: float) -> bool:
        """Return whether the caller needs a report.

        Parameters
        ----------
        slowdown
            Present slowdown.
        callers
            Number of callers.
        silent_seconds
            Time since the caller sent anything.
        """
        if callers > MAX_CALLERS_NOTIFIED and silent_seconds > MAX_REPORT_AGE_SECONDS:
            return False
        age = now - self._sent_at
        known = self._slowdown if age <= MAX_REPORT_AGE_SECONDS else USUAL_SLOWDOWN
        if not known / CHANGE_FACTOR < slowdown < known * CHANGE_FACTOR:
            return True
        return slowdown >= CHANGE_FACTOR and age >= REFRESH_SECONDS
