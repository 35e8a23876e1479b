"""Work at one endpoint, from its load reports and this daemon's sends since. No I/O.

Load pattern: back ends whose speed changes several times a second, and many callers that see the
same idle one. See docs/design/backend-load.md.
"""

from finchshed.admission.load_report import LoadReport
from finchshed.common.moving_average import moving_average
from finchshed.limit.slowdown_history import (
    MAX_REPORT_AGE_SECONDS,
    SLOW_FACTOR,
    USUAL_SLOWDOWN,
    SlowdownHistory,
)

BRIEF_SECONDS = 1.0
"""Failures in slow periods up to this long don't cause ejection."""

LOWER_WEIGHT = 0.1
RAISE_WEIGHT = 0.01
"""Weights of one answer in the service time, if it was faster or slower than expected. The estimate
stays near the times of requests that didn't queue, as the queue is counted separately."""


class ReportedWork:
    """Reported slowdown of an endpoint, and requests ahead of a new one.

    Attributes
    ----------
    slow_until
        Until when the endpoint counts as slow, seconds.
    slow_since
        Since when it has been slow without interruption.
    noticed_at
        When a call that avoided the endpoint was last noted for the log.
    service_seconds
        Usual time of a request that doesn't queue; 0 if unknown.
    """

    __slots__ = (
        "_counts_until",
        "_history",
        "_reported",
        "_sent",
        "_slowdown",
        "noticed_at",
        "service_seconds",
        "slow_since",
        "slow_until",
    )

    def __init__(self) -> None:
        self.slow_until = float("-inf")
        self.slow_since = float("-inf")
        self.noticed_at = float("-inf")
        self.service_seconds = 0.0
        self._history: SlowdownHistory | None = None
        self._reported = 0
        self._sent = 0
        self._slowdown = USUAL_SLOWDOWN
        self._counts_until = float("-inf")

    @property
    def reports_slowdown(self) -> bool:
        """Whether the endpoint's reports have a slowdown."""
        return self._history is not None

    def slowdown(self, now: float) -> float:
        """Return the reported slowdown; 1 if it is not reported or the report is too old."""
        return self._slowdown if now < self._counts_until else USUAL_SLOWDOWN

    def is_briefly_slow(self, now: float) -> bool:
        """Return whether the endpoint is slow, and has been for a short time."""
        return now < self.slow_until and now - self.slow_since <= BRIEF_SECONDS

    def requests_ahead(self, in_flight: int, now: float) -> int:
        """Return the requests ahead of a new one; ``in_flight`` are this daemon's own."""
        if now >= self._counts_until:
            return in_flight
        return max(in_flight, self._reported + self._sent)

    def usual_seconds(self, seconds: float, now: float) -> float:
        """Return how long an attempt of ``seconds`` that ends now would usually have taken."""
        if self._history is None:
            return seconds
        return self._history.usual_seconds(now - seconds, now)

    def on_answer(self, usual_seconds: float) -> None:
        """Record the time that an answered attempt would usually have taken."""
        if self._history is None:
            return
        before = self.service_seconds or usual_seconds
        weight = LOWER_WEIGHT if usual_seconds < before else RAISE_WEIGHT
        self.service_seconds = moving_average(before, usual_seconds, weight)

    def on_sent(self) -> None:
        """Record that this daemon sent a request."""
        self._sent += 1

    def on_report(self, load: LoadReport, now: float) -> bool:
        """Store a load report; return whether it ends a slow period."""
        self._reported = load.in_flight
        self._sent = 0
        if not load.slowdown:
            return self._history is not None and self._forget_slowdown(now)
        if self._history is None:
            self._history = SlowdownHistory()
        self._history.record(load.slowdown, now)
        self._slowdown = self._history.at(now)
        self._counts_until = now + MAX_REPORT_AGE_SECONDS
        if load.slowdown < SLOW_FACTOR:
            return self._end_slow_period(now)
        if now >= self.slow_until:
            self.slow_since = now
        self.slow_until = self._counts_until
        return False

    def _forget_slowdown(self, now: float) -> bool:
        self._history = None
        self._counts_until = float("-inf")
        return self._end_slow_period(now)

    def _end_slow_period(self, now: float) -> bool:
        was_slow = now < self.slow_until
        self.slow_until = float("-inf")
        return was_slow
