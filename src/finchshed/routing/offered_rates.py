"""Notices at the edge that a caller sends far less than it did a moment ago.

The threshold of a caller is derived from what it sent before, and arrives with a delay. A caller
that stops sending too much would have the few requests that it still sends refused until its back
ends report so. The edge sees the caller's whole demand and doesn't apply its threshold meanwhile.
"""

import math

import msgspec

USUAL_SECONDS = 0.5
"""Time constant of the usual rate."""

RECENT_SECONDS = 0.08
"""Time constant of the recent rate."""

FALL_FRACTION = 0.5
"""Fraction of the usual rate below which the recent one counts as fallen."""

LONG_GAP = 5.0
"""Time between two requests, in mean intervals of the usual rate, that ends the recent rate; random
arrivals of an unchanged rate exceed it once in 150 requests."""

MAX_CALLERS = 256
"""Maximum number of callers whose rates are kept; those of others never count as fallen."""

MIN_REQUESTS = 0.1
"""Decayed number of requests below which a caller is forgotten."""


class _Rates(msgspec.Struct, gc=False):
    """Decayed numbers of requests of one caller, as of ``counted_at``, seconds."""

    usual: float
    recent: float
    counted_at: float

    def decay(self, now: float) -> None:
        """Reduce the numbers to those at ``now``."""
        elapsed = max(0.0, now - self.counted_at)
        self.usual *= math.exp(-elapsed / USUAL_SECONDS)
        self.recent *= math.exp(-elapsed / RECENT_SECONDS)
        self.counted_at = now


class OfferedRates:
    """Rates at which callers send requests of one service to this daemon."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rates] = {}

    def __len__(self) -> int:
        """Return the number of callers whose rates are kept (for tests)."""
        return len(self._rates)

    def on_request(self, caller: str, now: float) -> None:
        """Count a request, before it is decided on."""
        rates = self._rates.get(caller)
        if rates is None:
            if len(self._rates) >= MAX_CALLERS:
                self._forget_idle(now)
            if len(self._rates) >= MAX_CALLERS:
                return
            rates = self._rates[caller] = _Rates(0.0, 0.0, now)
        if (now - rates.counted_at) * rates.usual > LONG_GAP * USUAL_SECONDS:
            rates.recent = 0.0
        rates.decay(now)
        rates.usual += 1.0
        rates.recent += 1.0

    def has_fallen(self, caller: str) -> bool:
        """Return whether the caller's rate was low compared with its usual one at its last request.

        Its last request counts, so a caller with few requests in all is never found to have fallen.
        """
        rates = self._rates.get(caller)
        if rates is None:
            return False
        return rates.recent / RECENT_SECONDS < FALL_FRACTION * rates.usual / USUAL_SECONDS

    def _forget_idle(self, now: float) -> None:
        for rates in self._rates.values():
            rates.decay(now)
        self._rates = {
            caller: rates for caller, rates in self._rates.items() if rates.usual >= MIN_REQUESTS
        }
