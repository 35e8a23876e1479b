"""When a planned stop ends, and which requests it leaves time for. No I/O.

What is taken after the stop was asked for must be answered before the process ends, or be refused
before it is sent to a back end. While callers can't know of the stop yet, a request is measured by
the longest time that its route has taken lately, since a refusal would turn away nearly all for the
sake of very few. From then on it is measured by all the time that it may take.
"""

import math


class PlannedStop:
    """The stop of a daemon; times are in monotonic seconds."""

    def __init__(self) -> None:
        self._notice_ends_at = math.inf
        self._ends_at = math.inf

    def begin(self, now: float, notice_seconds: float, drain_seconds: float) -> None:
        """Begin to stop.

        Parameters
        ----------
        notice_seconds
            Time until callers know of the stop.
        drain_seconds
            Time after it for requests in progress.
        """
        self._notice_ends_at = now + notice_seconds
        self._ends_at = self._notice_ends_at + drain_seconds

    def seconds_left(self, now: float) -> float:
        """Return the time until the process ends, infinite if it isn't asked to stop."""
        return max(0.0, self._ends_at - now)

    def has_time_for(self, timeout_seconds: float, recent_maximum: float, now: float) -> bool:
        """Return whether a request can be answered before the process ends.

        Parameters
        ----------
        timeout_seconds
            Time after which the request ends by itself.
        recent_maximum
            Longest time that requests like it have taken lately, seconds.
        """
        is_known = now >= self._notice_ends_at
        needed = timeout_seconds if is_known else min(timeout_seconds, recent_maximum)
        return needed <= self.seconds_left(now)
