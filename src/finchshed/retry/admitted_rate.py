"""Recent rate at which requests of one service and class were admitted."""

import math

RATE_SECONDS = 1.0
"""Time constant of the rate; long enough that the rates of daemons differ little by chance."""

MIN_OBSERVED_SECONDS = 0.1
"""The first requests count as spread over at least this time, so that a few don't give a high
rate."""

RECENT_SECONDS = 2.0
"""Time without an admitted request after which no rate is known."""


class AdmittedRate:
    """Exponentially weighted rate, corrected for the time before the first request."""

    __slots__ = ("_count", "_counted_at", "_since")

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at = -math.inf
        self._since = 0.0

    def on_admitted(self, now: float) -> None:
        """Count an admitted request."""
        if now - self._counted_at > RECENT_SECONDS:
            self.restart(now)
        else:
            self._count *= math.exp((self._counted_at - now) / RATE_SECONDS)
        self._count += 1.0
        self._counted_at = now

    def is_known(self, now: float) -> bool:
        """Return whether a request was admitted recently."""
        return self._count > 0.0 and now - self._counted_at <= RECENT_SECONDS

    def restart(self, now: float) -> None:
        """Forget the requests admitted so far; only later ones give the rate."""
        self._count, self._counted_at, self._since = 0.0, now, now

    def per_second(self, now: float) -> float:
        """Return the requests admitted per second, 0 if not known."""
        if not self.is_known(now):
            return 0.0
        observed = max(MIN_OBSERVED_SECONDS, now - self._since)
        covered_seconds = RATE_SECONDS * -math.expm1(-observed / RATE_SECONDS)
        return self._count * math.exp((self._counted_at - now) / RATE_SECONDS) / covered_seconds
