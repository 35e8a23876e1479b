"""Slowdown of a back end over the last seconds. No I/O.

Load pattern: a back end shares its machine, so that its work takes longer for a few tenths of a
second at a time. The time of a request is converted to the time that it would usually take, so that
averages of service times don't remember a slow period.
"""

import msgspec

USUAL_SLOWDOWN = 1.0
"""Slowdown of a back end whose work takes as long as usual."""

SLOW_FACTOR = 1.1
"""Slowdown from which a back end counts as slow. Smaller differences are noise of measurement, and
the least loaded back end is the better choice then."""

MAX_REPORT_AGE_SECONDS = 1.0
"""A report older than this doesn't count. Slow periods are shorter, so an older report says nothing
about the present."""

MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0
"""Reported values are limited to this range, so that a faulty report neither attracts all work nor
stops a back end's use after the report is replaced."""

MAX_PERIODS = 32
"""Maximum number of periods that are kept; requests that began before them count as usual then."""


class SlowPeriod(msgspec.Struct, gc=False):
    """A period with one slowdown, in monotonic seconds."""

    begin: float
    end: float
    slowdown: float


class SlowdownHistory:
    """Slowdown over time, from reports; where none counts, the slowdown is 1."""

    __slots__ = ("_periods",)

    def __init__(self) -> None:
        self._periods: list[SlowPeriod] = []

    def at(self, now: float) -> float:
        """Return the present slowdown."""
        if not self._periods:
            return USUAL_SLOWDOWN
        last = self._periods[-1]
        return last.slowdown if now < last.end else USUAL_SLOWDOWN

    def record(self, slowdown: float, now: float) -> None:
        """Record a report made at ``now``; it counts until the next one or until it is too old."""
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        last = self._periods[-1] if self._periods else None
        if last is not None and last.slowdown == slowdown and now <= last.end:
            last.end = now + MAX_REPORT_AGE_SECONDS
            return
        if last is not None:
            last.end = min(last.end, now)
        if slowdown != USUAL_SLOWDOWN:
            self._periods.append(SlowPeriod(now, now + MAX_REPORT_AGE_SECONDS, slowdown))
            del self._periods[:-MAX_PERIODS]

    def usual_seconds(self, begin: float, end: float) -> float:
        """Return how long work from ``begin`` to ``end`` would usually have taken."""
        seconds = end - begin
        for period in reversed(self._periods):
            if period.end <= begin:
                break
            overlap = min(end, period.end) - max(begin, period.begin)
            if overlap > 0.0:
                seconds -= overlap * (1.0 - 1.0 / period.slowdown)
        return seconds

    def clear(self) -> None:
        """Forget all reports."""
        self._periods.clear()
