"""When a planned stop ends, and which requests it leaves time for. No I/O.

What is taken after the stop was asked for must be answered before the process ends, or be refused
before it is sent to a back end. While callers can't know of the stop yet, a request is measured by
the time that its route usually takes, since a refusal would turn away nearly all for the sake of
very few. From then on it is measured by all the time that it may take.
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

    def has_time_for(self, longest_seconds: float, usual_seconds: float, now: float) -> bool:
        """Return whether a request can be answered before the process ends.

        Parameters
        ----------
        longest_seconds
            Time after which the request ends by itself.
        usual_seconds
            Time that requests like it take, including nearly all.
        """
        is_known = now >= self._notice_ends_at
        needed = longest_seconds if is_known else min(longest_seconds, usual_seconds)
        return needed <= self.seconds_left(now)
