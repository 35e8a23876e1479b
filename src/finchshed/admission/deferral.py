"""Decides whether a client's request waits outside until the calls that it needs are accepted.

Addresses seconds in which most requests of a route fail after they have run, because back ends deep
in the call graph refuse most calls (:mod:`finchshed.admission.path_completion`). A request that may
run only once is lost then, whereas a client that was refused comes back. The first try of such a
request is therefore refused, and told to return as late as it can still be answered in time. When
the client returns, its request is not deferred again; the gate may still refuse it.

A returning client is recognized by its deadline, which does not move between its tries, once the
time that it was told is nearly over. Other clients with a similar deadline that arrive before are
deferred as well, so that they don't use up the return of the first one.
"""

import math
from bisect import bisect_left, bisect_right, insort

MIN_COMPLETION = 0.25
"""Completion below which requests that may run only once wait: three of four would be lost."""

USABLE_FRACTION = 1 / 3
"""Fraction of the time left that clients accept as a retry-after time."""

MIN_RETRY_SECONDS = 0.25
"""Shorter waits are not worth a refusal; a wait for the objective that is shorter is extended."""

ANSWER_LATENCIES = 1.25
"""Multiple of the mean latency that is kept for the answer after the return."""

DEADLINE_TOLERANCE_SECONDS = 0.05
"""Maximum difference between the deadlines of two tries of one client, by network delays."""

EARLY_FRACTION = 0.1
"""Largest part of a retry-after time by which clients return early, so that they don't return
together."""

MAX_DEFERRED = 4096
"""Maximum number of deferred clients that are remembered; the earliest deadlines are dropped."""


class Deferrals:
    """Clients that were told to return, by deadline in monotonic seconds."""

    def __init__(self) -> None:
        # Pairs of the deadline and the earliest time of the return.
        self._returns: list[tuple[float, float]] = []

    def __len__(self) -> int:
        """Return the number of clients remembered."""
        return len(self._returns)

    def retry_after(
        self,
        deadline: float,
        completion: float,
        *,
        target_seconds: float,
        latency: float,
        now: float,
    ) -> float | None:
        """Return the retry-after time of a request that has to wait, or None to admit it.

        Parameters
        ----------
        deadline
            Deadline of the client.
        completion
            Fraction of the requests of its route that complete.
        target_seconds
            Latency objective of the route; 0 if it has none.
        latency
            Mean latency of the route's service, seconds.
        """
        if self._take(deadline, now) or completion >= MIN_COMPLETION:
            return None
        usable = USABLE_FRACTION * (deadline - now)
        seconds = min(usable, target_seconds - ANSWER_LATENCIES * latency)
        if seconds < MIN_RETRY_SECONDS:
            seconds = usable
        if seconds < MIN_RETRY_SECONDS:
            return None
        insort(self._returns, (deadline, now + (1.0 - EARLY_FRACTION) * seconds))
        del self._returns[: max(0, len(self._returns) - MAX_DEFERRED)]
        return seconds

    def _take(self, deadline: float, now: float) -> bool:
        """Forget a client that returns; return whether it was remembered and its return is due."""
        del self._returns[: bisect_left(self._returns, (now, 0.0))]
        begin = bisect_left(self._returns, (deadline - DEADLINE_TOLERANCE_SECONDS, 0.0))
        end = bisect_right(self._returns, (deadline + DEADLINE_TOLERANCE_SECONDS, math.inf))
        for index in range(begin, end):
            if now >= self._returns[index][1]:
                del self._returns[index]
                return True
        return False
