"""Spaces the starts at a back end that names a rate limit. No I/O.

A request waits for its turn only briefly, so that the next turn goes to the most important one of
those that just arrived; the others are refused at once and tried elsewhere. A back end shows the
end of its limit only in answers, so even a limit near 0 lets a request through from time to time.
"""

from finchshed.admission.load_report import RateReport
from finchshed.admission.rank import RANKS
from finchshed.admission.request_queue import QueuedRequest, RequestQueue
from finchshed.common.token_bucket import TokenBucket

MAX_TURN_WAIT_SECONDS = 0.25
"""Longest time for which a request waits for its turn."""

BURST_SECONDS = 0.5
"""Unused turns of this time may be used later."""

MIN_BURST_REQUESTS = 2.0
"""Turns that may be used at once, however low the limit is."""

PROBE_INTERVAL_SECONDS = 5.0
"""Interval between requests that show whether a limit near 0 still holds."""

NO_RANK = RANKS + 1
"""Threshold that not even calls of admitted requests reach."""


class RateGate:
    """Turns of requests at one back end; without a limit, every request has its turn at once.

    Parameters
    ----------
    queue
        Requests that wait for a slot or for their turn.

    Attributes
    ----------
    limit
        Requests per second that the back end names, or None.
    """

    def __init__(self, queue: RequestQueue) -> None:
        self._queue = queue
        self.limit: float | None = None
        self._bucket: TokenBucket | None = None

    def set_limit(self, requests_per_second: float | None, now: float) -> list[QueuedRequest]:
        """Apply a limit, or its end (None); return queued requests whose turn is now too late.

        The first request under a new limit has its turn at once.
        """
        self.limit = requests_per_second
        if requests_per_second is None:
            self._bucket = None
            return []
        rate = max(requests_per_second, 1.0 / PROBE_INTERVAL_SECONDS)
        burst = max(MIN_BURST_REQUESTS, rate * BURST_SECONDS)
        if self._bucket is None:
            self._bucket = TokenBucket(rate, burst, now)
            self._bucket.put(1.0, now)
        else:
            self._bucket.resize(rate, burst, now)
        dropped = []
        while self._queue and not self._may_wait(len(self._queue) - 1, now):
            dropped.append(self._queue.pop_lowest())
        return dropped

    def has_turn(self, now: float) -> bool:
        """Return whether a request may start."""
        return self._bucket is None or self._bucket.level(now) >= 1.0

    def use_turn(self, now: float) -> None:
        """Record a start."""
        if self._bucket is not None:
            self._bucket.take(1, now)

    def wait(self, queued: int, now: float) -> float:
        """Return the seconds until a request behind ``queued`` others has its turn."""
        return 0.0 if self._bucket is None else self._bucket.seconds_until(queued + 1.0, now)

    def make_room(self, request: QueuedRequest, now: float) -> QueuedRequest | None:
        """Return the request to refuse so that ``request`` may wait for its turn, or None.

        That is a queued one of lower rank, which is removed, or ``request`` itself.
        """
        if self._may_wait(len(self._queue), now):
            return None
        dropped = self._queue.evict_for(request) if self._queue else None
        return dropped or request

    def remove_overdue(self, now: float) -> list[QueuedRequest]:
        """Remove requests that others have kept from their turn for too long."""
        if self.limit is None:
            return []
        return self._queue.remove_arrived_before(now - MAX_TURN_WAIT_SECONDS)

    def report(self, now: float) -> RateReport | None:
        """Return what callers need to know of the limit; None without one."""
        if self.limit is None:
            return None
        wait = max(0.0, self.wait(len(self._queue), now) - MAX_TURN_WAIT_SECONDS)
        if not wait:
            return RateReport(self.limit)
        lowest = self._queue.lowest_rank
        return RateReport(self.limit, wait, NO_RANK if lowest is None else lowest + 1)

    def _may_wait(self, queued: int, now: float) -> bool:
        return self.wait(queued, now) <= MAX_TURN_WAIT_SECONDS
