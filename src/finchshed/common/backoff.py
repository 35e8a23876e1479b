"""Bounded exponential backoff with jitter.

Jitter keeps callers that failed at the same time from retrying at the same time (Brooker,
*Exponential Backoff and Jitter*, AWS Architecture Blog, 2015).
"""

import random
from dataclasses import dataclass

MAX_DOUBLINGS = 16
"""Limits the exponent, because a float power of two overflows after 1,023 failures."""


@dataclass(frozen=True, slots=True)
class Backoff:
    """Bounds of the waits after consecutive failures, seconds.

    Attributes
    ----------
    first_seconds
        Upper bound of the first wait.
    longest_seconds
        Upper bound of any wait.
    """

    first_seconds: float
    longest_seconds: float

    def bound(self, failures: int) -> float:
        """Return the upper bound of the wait after ``failures`` earlier waits, seconds."""
        doubled = self.first_seconds * 2.0 ** min(failures, MAX_DOUBLINGS)
        return min(self.longest_seconds, doubled)

    def full_jitter(self, failures: int, rng: random.Random) -> float:
        """Return a wait between 0 and the bound, seconds, for the widest spread."""
        return rng.random() * self.bound(failures)

    def half_jitter(self, failures: int, rng: random.Random) -> float:
        """Return a wait between half of the bound and the bound, seconds.

        For operations that must not be retried immediately, such as dialing an unreachable machine.
        """
        return self.bound(failures) * (0.5 + 0.5 * rng.random())

    def centred_jitter(self, failures: int, rng: random.Random) -> float:
        """Return a wait between half and one and a half times the bound, seconds.

        Its mean is the bound, so that the expected wait of requests with a deadline is known.
        """
        return self.bound(failures) * (0.5 + rng.random())
