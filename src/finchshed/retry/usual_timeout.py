"""Usual timeout of the requests of one service and class."""

import math

USUAL_SECONDS = 1.0
"""Time after which the longest timeout of requests is observed anew."""


class UsualTimeout:
    """Longest time that recent requests had left on arrival; new requests have about this time."""

    __slots__ = ("_observed_at", "_seconds")

    def __init__(self) -> None:
        self._seconds = 0.0
        self._observed_at = -math.inf

    def observe(self, remaining: float, now: float) -> float:
        """Record the time that a request has left; return the usual time, seconds."""
        if remaining >= self._seconds or now - self._observed_at > USUAL_SECONDS:
            self._seconds = remaining
            self._observed_at = now
        return self._seconds
