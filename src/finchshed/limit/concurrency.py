"""Concurrency limit of one back end, bounded by its declared slots.

The back end's own reports are never read. A refusal by the back end itself shows that the limit is
above what it takes, so the limit falls (multiplicative decrease, once per measured latency) and
climbs again with successes (additive increase), as in TCP congestion avoidance (RFC 5681). It
doesn't fall below the concurrency at which the back end took requests not long ago: where those are
as many as before, its refusals don't come of the load, and a lower limit would not end them.

Inputs: declared or registered slots (requests at a time), result and seconds of each finished
request and the requests that ran when it was started. Owns the limit and the mean time at the back
end; the gate starts requests by it.
"""

from finchshed.common.moving_average import moving_average
from finchshed.common.results import CallResult

DECREASE_FACTOR = 0.8
"""Limit after a back end refused, as a fraction of the limit before. Chosen, not measured."""

PROVEN_SECONDS = 0.5
"""What a back end ran at a time counts as what it takes for one to two times this long. Chosen, not
measured; that the limit isn't lowered below it took a day of refusals from a worth of 0.063 to
0.148 (docs/design/compared-policies.md)."""

BACKEND_TIME_WEIGHT = 0.05
"""Weight of one finished request in the mean time at the back end: about the last 20. Chosen, not
measured."""

HEADROOM_DIVISOR = 20
"""One slot in so many, rounded up, is left free where a back end has enough of them.

With two of 20 left free, not one, a service that was full took 5 in 100 fewer calls (scale-2 in
docs/design/compared-policies.md). None left free was not tried."""

HEADROOM_SLOTS_LEAST = 12
"""Slots from which some are left free: of fewer, one is too large a part. Chosen, not measured."""


def usable_slots(slots: int) -> int:
    """Return how many of ``slots`` are worth filling.

    Some back ends slow down when they are nearly full, by more than the last slots bring.
    """
    if slots < HEADROOM_SLOTS_LEAST:
        return slots
    return slots - -(-slots // HEADROOM_DIVISOR)


class ConcurrencyLimit:
    """Learns how many requests a back end runs at a time.

    Parameters
    ----------
    slots
        Declared number of requests the back end runs at a time; the limit never exceeds it.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._last_decrease = float("-inf")
        self._proven = 0
        self._proven_before = 0
        self._period_start = float("-inf")
        self.mean_latency = 0.0

    @property
    def limit(self) -> int:
        """Requests that may run at a time, at least 1."""
        return int(self._limit)

    def set_slots(self, slots: int) -> None:
        """Act on a changed declaration."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def on_result(self, result: CallResult, latency: float, now: float, running: int = 0) -> None:
        """Count one finished request.

        Parameters
        ----------
        latency
            Seconds from its start.
        running
            Requests that ran when it was started, itself included.
        """
        self._turn_period(now)
        if result is CallResult.OK or result is CallResult.ERROR:
            self._proven = max(self._proven, running)
            self._on_answer(latency)
        elif result is CallResult.REFUSED and now - self._last_decrease > self.mean_latency:
            self._last_decrease = now
            proven = max(self._proven, self._proven_before)
            lowered = max(1.0, self._limit * DECREASE_FACTOR, proven)
            self._limit = min(self._limit, lowered)

    def _turn_period(self, now: float) -> None:
        elapsed = now - self._period_start
        if elapsed < PROVEN_SECONDS:
            return
        self._proven_before = self._proven if elapsed < 2.0 * PROVEN_SECONDS else 0
        self._proven = 0
        self._period_start = now

    def _on_answer(self, latency: float) -> None:
        if self.mean_latency == 0.0:
            self.mean_latency = latency
        self.mean_latency = moving_average(self.mean_latency, latency, BACKEND_TIME_WEIGHT)
        self._limit = min(float(self._slots), self._limit + 1.0 / self._limit)
