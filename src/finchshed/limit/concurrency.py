"""Concurrency limit of one back end, bounded by its declared slots.

The limit does not rely on the load that the back end reports. A refusal by the back end shows that
the limit is too high, so it is decreased multiplicatively, at most once per mean latency, and
increased additively with each success, as in TCP congestion avoidance (RFC 5681). It isn't
decreased below the concurrency at which the back end recently answered requests: refusals at that
level aren't caused by load, and a lower limit would not stop them.
"""

from finchshed.common.moving_average import moving_average
from finchshed.common.results import CallResult

DECREASE_FACTOR = 0.8
"""Factor applied to the limit when the back end refuses a request."""

PEAK_WINDOW_SECONDS = 0.5
"""Length of a period over which the peak concurrency is tracked; the current and the previous
period count.

Without this floor, refusals that are not caused by load keep lowering the limit
(docs/design/compared-policies.md)."""

LATENCY_WEIGHT = 0.05
"""Weight of one finished request in the mean latency."""

HEADROOM_DIVISOR = 20
"""One slot in this many, rounded up, is left unused.

With two of 20 left unused, a full service took 5 in 100 fewer calls
(docs/design/compared-policies.md)."""

MIN_SLOTS_FOR_HEADROOM = 12
"""Back ends with fewer slots use all of them.

Of so few slots, one is too large a part to leave unused."""


def usable_slots(slots: int) -> int:
    """Return how many of ``slots`` to use, leaving headroom for back ends that slow down when full.

    On such a back end, the last slots reduce the throughput instead of increasing it.
    """
    if slots < MIN_SLOTS_FOR_HEADROOM:
        return slots
    return slots - -(-slots // HEADROOM_DIVISOR)


class ConcurrencyLimit:
    """Adapts the number of requests that a back end runs concurrently.

    Parameters
    ----------
    slots
        Declared number of requests the back end runs concurrently; the limit never exceeds it.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._last_decrease = float("-inf")
        self._peak = 0
        self._previous_peak = 0
        self._period_start = float("-inf")
        self.mean_latency = 0.0

    @property
    def limit(self) -> int:
        """Number of requests that may run concurrently, at least 1."""
        return int(self._limit)

    def set_slots(self, slots: int) -> None:
        """Apply a changed number of declared slots."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def reset(self) -> None:
        """Return to the declared slots, for a back end that has started again."""
        self._limit = float(self._slots)

    def on_result(self, result: CallResult, latency: float, now: float, running: int = 0) -> None:
        """Update the limit after a finished request.

        Parameters
        ----------
        latency
            Seconds since its start.
        running
            Concurrency when it was started, itself included.
        """
        self._rotate_period(now)
        if result is CallResult.OK or result is CallResult.ERROR:
            self._peak = max(self._peak, running)
            self._on_answer(latency)
        elif result is CallResult.REFUSED and now - self._last_decrease > self.mean_latency:
            self._last_decrease = now
            peak = max(self._peak, self._previous_peak)
            lowered = max(1.0, self._limit * DECREASE_FACTOR, peak)
            self._limit = min(self._limit, lowered)

    def _rotate_period(self, now: float) -> None:
        elapsed = now - self._period_start
        if elapsed < PEAK_WINDOW_SECONDS:
            return
        self._previous_peak = self._peak if elapsed < 2.0 * PEAK_WINDOW_SECONDS else 0
        self._peak = 0
        self._period_start = now

    def _on_answer(self, latency: float) -> None:
        if self.mean_latency == 0.0:
            self.mean_latency = latency
        self.mean_latency = moving_average(self.mean_latency, latency, LATENCY_WEIGHT)
        self._limit = min(float(self._slots), self._limit + 1.0 / self._limit)
