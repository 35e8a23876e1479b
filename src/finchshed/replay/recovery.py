"""When goodput has come back after an overload.

Owns the rule of recovery; it is given sorted times of answers and arrivals, and holds no state.
"""

from bisect import bisect_left
from collections.abc import Sequence
from typing import Final

import msgspec

RECOVERY_WINDOW_SECONDS: Final = 0.5
"""Seconds in which goodput must be back; chosen, not measured."""
RECOVERY_STEP_SECONDS: Final = 0.05
"""Seconds between the windows tried, the resolution of the result; chosen, not measured."""
RECOVERY_SUSTAINED_SECONDS: Final = 2.0
"""Seconds for which goodput must stay; chosen, not measured."""
RECOVERED_FRACTION: Final = 0.95
"""Part of the former goodput that counts as recovered; chosen, not measured."""
RELAPSE_FRACTION: Final = 0.85
"""Goodput that falls below this part of the former, after it had come back, hadn't come back.

Without it a burst of repeats counted as recovered after 0.7 s (docs/design/overload-recovery.md).
"""


class Period(msgspec.Struct, frozen=True):
    """A stretch of a run, seconds."""

    start: float
    end: float

    @property
    def seconds(self) -> float:
        """Length of the period."""
        return self.end - self.start


def recovery_seconds(
    finished: list[float],
    before: float,
    trigger_end: float,
    end: float,
    arrived: Sequence[float] = (),
) -> float | None:
    """Return the time from ``trigger_end`` until goodput is 95% of ``before`` and stays there.

    Goodput is counted in windows of half a second; the time is that of the first good window's
    end, so the smallest figure is half a second. A burst of repeats that answers much for a moment
    is no recovery: the mean over the sustained time from the window's start must be good as well,
    and no later stretch of that length may fall below :data:`RELAPSE_FRACTION`.

    Parameters
    ----------
    finished
        Sorted times of whole answers.
    before
        Answers per second before the trigger.
    arrived
        Sorted times of arrivals, if known: a stretch in which little was asked for is no relapse.

    Returns
    -------
    float or None
        Seconds, or None if goodput doesn't recover until ``end``.
    """
    needed = RECOVERED_FRACTION * before
    start = max(trigger_end, _last_relapse(finished, before, trigger_end, end, arrived))
    while start + RECOVERY_SUSTAINED_SECONDS <= end:
        window = Period(start, start + RECOVERY_WINDOW_SECONDS)
        sustained = Period(start, start + RECOVERY_SUSTAINED_SECONDS)
        if all(_count(finished, span) >= needed * span.seconds for span in (window, sustained)):
            return window.end - trigger_end
        start += RECOVERY_STEP_SECONDS
    return None


def _last_relapse(
    finished: list[float],
    before: float,
    trigger_end: float,
    end: float,
    arrived: Sequence[float],
) -> float:
    """Return the start of the last stretch in which goodput was far below the former."""
    ordinary = before * RECOVERY_SUSTAINED_SECONDS
    last = trigger_end
    start = trigger_end
    while start + RECOVERY_SUSTAINED_SECONDS <= end:
        stretch = Period(start, start + RECOVERY_SUSTAINED_SECONDS)
        wanted = min(ordinary, _count(arrived, stretch)) if arrived else ordinary
        if _count(finished, stretch) < RELAPSE_FRACTION * wanted:
            last = start
        start += RECOVERY_STEP_SECONDS
    return last


def _count(times: Sequence[float], period: Period) -> int:
    return bisect_left(times, period.end) - bisect_left(times, period.start)
