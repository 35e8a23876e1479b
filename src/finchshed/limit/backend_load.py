"""Load that a back end reports about itself, and the record of it. No I/O.

Reports come with answers, health checks and heartbeats. The newest one counts:

- a malformed or missing report changes nothing;
- a report without a slowdown ends an earlier one: the back end reports none;
- a slowdown older than 1 s counts as 1.
"""

import enum
import math

import msgspec

from finchshed.common.moving_average import moving_average
from finchshed.limit.slowdown_history import (
    MAX_REPORT_AGE_SECONDS,
    USUAL_SLOWDOWN,
    SlowdownHistory,
)

SUSTAINED_SECONDS = 3.0
"""Time constant with which the sustained slowdown rises: longer than slow periods last."""

MIN_WARM_FRACTION = 0.1
"""Fraction of full load for a back end that has just started cold."""

MAX_COLD_SECONDS = 600.0
"""Longer remaining cold times are limited to this."""


class LoadSource(enum.StrEnum):
    """How a load report arrived."""

    NONE = "none"
    ANSWER = "answer"
    HEALTH_CHECK = "health check"
    HEARTBEAT = "heartbeat"


class BackendLoad(msgspec.Struct, frozen=True, gc=False):
    """One load report of a back end.

    Attributes
    ----------
    running
        Requests that it works on.
    waiting
        Requests in its own queue.
    slots
        Requests that it can work on at the same time.
    slowdown
        Present duration of its work relative to the usual one: 2.0 means twice as long. None if
        the back end doesn't report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class BackendLoadState(msgspec.Struct, frozen=True):
    """What a daemon believes of its back end's load, for display.

    Attributes
    ----------
    load
        The newest report; None if there was none.
    age_seconds
        Age of that report; negative if there was none.
    slowdown
        Slowdown in use.
    cold_remaining_seconds
        Time until the back end is warm.
    cold_age_seconds
        Age of the heartbeat with the cold time; negative if there was none.
    """

    load: BackendLoad | None
    source: LoadSource
    age_seconds: float
    slowdown: float
    cold_remaining_seconds: float
    cold_age_seconds: float


class BackendLoadRecord:
    """Newest load of the current run of a back end."""

    def __init__(self) -> None:
        self._history = SlowdownHistory()
        self.start_run()

    def start_run(self) -> None:
        """Forget the load of an earlier run."""
        self._history.clear()
        self._load: BackendLoad | None = None
        self._source = LoadSource.NONE
        self._load_at = float("-inf")
        self._cold_at = float("-inf")
        self._cold_until = float("-inf")
        self._cold_seconds = 0.0
        self._sustained = USUAL_SLOWDOWN

    def on_load(self, load: BackendLoad, source: LoadSource, now: float) -> None:
        """Record a report that arrived at ``now``, unless a newer one did before."""
        if now < self._load_at:
            return
        previous_at = self._load_at
        self._load = load
        self._source = source
        self._load_at = now
        self._history.record(USUAL_SLOWDOWN if load.slowdown is None else load.slowdown, now)
        self._update_sustained(now - previous_at, now)

    def on_cold_remaining(self, seconds: float, now: float) -> None:
        """Record the remaining cold time in a heartbeat."""
        remaining = min(MAX_COLD_SECONDS, max(0.0, seconds))
        self._cold_at = now
        self._cold_until = now + remaining
        self._cold_seconds = max(self._cold_seconds, remaining)

    @property
    def reports_slowdown(self) -> bool:
        """Whether the newest report has a slowdown."""
        return self._load is not None and self._load.slowdown is not None

    def age(self, now: float) -> float:
        """Return the seconds since the newest report."""
        return now - self._load_at

    def slowdown(self, now: float) -> float:
        """Return the present slowdown; 1 if none is known."""
        return self._history.at(now)

    def sustained_slowdown(self, now: float) -> float:
        """Return the slowdown without short slow periods: it rises slowly and falls at once."""
        if self.age(now) > MAX_REPORT_AGE_SECONDS:
            return USUAL_SLOWDOWN
        return self._sustained

    def _update_sustained(self, elapsed: float, now: float) -> None:
        present = self._history.at(now)
        if present <= self._sustained or elapsed > MAX_REPORT_AGE_SECONDS:
            self._sustained = present
            return
        weight = 1.0 - math.exp(-elapsed / SUSTAINED_SECONDS)
        self._sustained = moving_average(self._sustained, present, weight)

    def slowdown_for_callers(self, now: float) -> float:
        """Return the slowdown for load reports: 0 if the back end reports none."""
        return self._history.at(now) if self.reports_slowdown else 0.0

    def usual_seconds(self, begin: float, end: float) -> float:
        """Return how long work from ``begin`` to ``end`` would usually have taken."""
        return self._history.usual_seconds(begin, end)

    def warm_fraction(self, now: float) -> float:
        """Return the fraction of full load for a back end that is cold, 1 if it is warm.

        Applies only to back ends that report their slowdown.
        """
        remaining = self._cold_until - now
        if remaining <= 0.0 or not self.reports_slowdown:
            return 1.0
        return max(MIN_WARM_FRACTION, 1.0 - remaining / self._cold_seconds)

    def state(self, now: float) -> BackendLoadState:
        """Return the record for display."""
        has_load = self._load is not None
        has_cold = self._cold_at > float("-inf")
        return BackendLoadState(
            load=self._load,
            source=self._source,
            age_seconds=self.age(now) if has_load else -1.0,
            slowdown=self.slowdown(now),
            cold_remaining_seconds=max(0.0, self._cold_until - now) if has_cold else 0.0,
            cold_age_seconds=now - self._cold_at if has_cold else -1.0,
        )
