"""Concurrency limit of one back end, bounded by its declared slots.

The back end's own reports are never read. A refusal by the back end itself shows that the limit is
above what it takes, so the limit falls (multiplicative decrease, once per measured latency) and
climbs again with successes (additive increase), as in TCP congestion avoidance (RFC 5681). It
doesn't fall below the concurrency at which the back end took requests not long ago: where those are
as many as before, its refusals don't come of the load, and a lower limit would not end them.
"""

from finchshed.common.results import CallResult

DECREASE_FACTOR = 0.8
"""Limit after a back end refused, as a share of the limit before."""

SHOWN_SECONDS = 0.5
"""What a back end ran at a time counts as what it takes for one to two times this long."""

LATENCY_WEIGHT = 0.05
"""Weight of one sample in the mean latency."""


HEADROOM_DIVISOR = 20
"""One slot in so many, rounded up, is left free where a back end has enough of them.

With two of 20 left free, not one, a service that was full took 5 in 100 fewer calls (scale-2 in
docs/design/compared-policies.md). None left free was not tried."""

HEADROOM_SLOTS_LEAST = 12


def slots_to_use(slots: int) -> int:
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
        self._shown = 0
        self._shown_before = 0
        self._shown_since = float("-inf")
        self.mean_latency = 0.0

    @property
    def limit(self) -> int:
        """Requests that may run at a time, at least 1."""
        return int(self._limit)

    def set_slots(self, slots: int) -> None:
        """Take a changed declaration."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def on_result(self, result: CallResult, latency: float, now: float, running: int = 0) -> None:
        """Take one finished request.

        Parameters
        ----------
        latency
            Seconds from its start.
        running
            Requests that ran when it was started, itself included.
        """
        self._forget_shown(now)
        if result is CallResult.OK or result is CallResult.ERROR:
            self._shown = max(self._shown, running)
            self._on_answer(latency)
        elif result is CallResult.REFUSED and now - self._last_decrease > self.mean_latency:
            self._last_decrease = now
            shown = max(self._shown, self._shown_before)
            lowered = max(1.0, self._limit * DECREASE_FACTOR, shown)
            self._limit = min(self._limit, lowered)

    def _forget_shown(self, now: float) -> None:
        elapsed = now - self._shown_since
        if elapsed < SHOWN_SECONDS:
            return
        self._shown_before = self._shown if elapsed < 2.0 * SHOWN_SECONDS else 0
        self._shown = 0
        self._shown_since = now

    def _on_answer(self, latency: float) -> None:
        if self.mean_latency == 0.0:
            self.mean_latency = latency
        self.mean_latency += LATENCY_WEIGHT * (latency - self.mean_latency)
        self._limit = min(float(self._slots), self._limit + 1.0 / self._limit)
