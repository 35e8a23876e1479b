"""Spaces the starts at a back end that names a rate limit. No I/O.

A request waits for its turn only briefly, so that the next turn goes to the most important one of
those that just arrived; the others are refused at once and tried elsewhere. A back end shows the
end of its limit only in answers, so even a limit near 0 lets a request through from time to time.
"""

from finchshed.common.token_bucket import TokenBucket

MAX_TURN_WAIT_SECONDS = 0.25
"""Longest time for which a request waits for its turn."""

BURST_SECONDS = 0.5
"""Unused turns of this time may be used later."""

MIN_BURST_REQUESTS = 2.0
"""Turns that may be used at once, however low the limit is."""

PROBE_INTERVAL_SECONDS = 5.0
"""Interval between requests that show whether a limit near 0 still holds."""


class RateGate:
    """Turns of requests at one back end; without a limit, every request has its turn at once.

    Attributes
    ----------
    limit
        Requests per second that the back end names, or None.
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self._bucket: TokenBucket | None = None

    def set_limit(self, requests_per_second: float | None, now: float) -> None:
        """Apply a limit, or its end (None); the first request after a start has its turn."""
        self.limit = requests_per_second
        if requests_per_second is None:
            self._bucket = None
            return
        rate = max(requests_per_second, 1.0 / PROBE_INTERVAL_SECONDS)
        burst = max(MIN_BURST_REQUESTS, rate * BURST_SECONDS)
        if self._bucket is None:
            self._bucket = TokenBucket(rate, burst, now)
            self._bucket.put(1.0, now)
        else:
            self._bucket.resize(rate, burst, now)

    @property
    def seconds_per_turn(self) -> float:
        """Time between two turns, or 0 without a limit."""
        return 0.0 if self._bucket is None else 1.0 / self._bucket.rate

    def has_turn(self, now: float) -> bool:
        """Return whether a request may start."""
        return self._bucket is None or self._bucket.level(now) >= 1.0

    def use_turn(self, now: float) -> None:
        """Record a start."""
        if self._bucket is not None:
            self._bucket.take(1, now)

    def wait(self, queued: int, now: float) -> float:
        """Return the time until a request has its turn, ``queued`` others before it; seconds."""
        return 0.0 if self._bucket is None else self._bucket.seconds_until(queued + 1.0, now)

    def may_wait(self, queued: int, now: float) -> bool:
        """Return whether a request may wait for its turn behind ``queued`` others."""
        return self.wait(queued, now) <= MAX_TURN_WAIT_SECONDS

    def seconds_until_room(self, queued: int, now: float) -> float:
        """Return the time until a request may wait behind ``queued`` others; seconds."""
        return max(0.0, self.wait(queued, now) - MAX_TURN_WAIT_SECONDS)
