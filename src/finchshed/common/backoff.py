"""How long to wait before something that failed is tried again: doubling, bounded, with jitter.

Pure; each user has figures of its own and states at them where they come from. Jitter keeps those
that failed together from trying again together (Brooker, *Exponential Backoff and Jitter*, AWS
Architecture Blog, 2015).
"""

import random
from dataclasses import dataclass

MAX_DOUBLINGS = 16
"""Doublings from which the wait grows no more: 65,536 times the first one is past the longest of
every user, and a power without a bound can't be computed after 1,023 failures."""


@dataclass(frozen=True, slots=True)
class Backoff:
    """Bounds of the waits after failures in a row, seconds.

    Attributes
    ----------
    first_seconds
        Bound of the first wait.
    longest_seconds
        Bound of any wait.
    """

    first_seconds: float
    longest_seconds: float

    def bound(self, failures: int) -> float:
        """Return the longest wait after ``failures`` earlier ones, seconds."""
        doubled = self.first_seconds * 2.0 ** min(failures, MAX_DOUBLINGS)
        return min(self.longest_seconds, doubled)

    def full_jitter(self, failures: int, rng: random.Random) -> float:
        """Return a wait between nothing and the bound, seconds: spreads the most."""
        return rng.random() * self.bound(failures)

    def half_jitter(self, failures: int, rng: random.Random) -> float:
        """Return a wait between half of the bound and the bound, seconds.

        For what must not be tried again at once, such as a dial to a machine that is down.
        """
        return self.bound(failures) * (0.5 + 0.5 * rng.random())

    def centred_jitter(self, failures: int, rng: random.Random) -> float:
        """Return a wait between half and one and a half times the bound, seconds.

        Its mean is the bound, so waits of requests that have a deadline are as long as planned.
        """
        return self.bound(failures) * (0.5 + rng.random())
