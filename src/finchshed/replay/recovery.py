"""Measures how long goodput takes to recover after an overload.

Pure functions over sorted times of answers and arrivals.
"""

from bisect import bisect_left
from collections.abc import Sequence
from typing import Final

import msgspec

RECOVERY_WINDOW_SECONDS: Final = 0.5
"""Length of the first window in which goodput must have recovered."""
RECOVERY_STEP_SECONDS: Final = 0.05
"""Distance between tried windows, which is the resolution of the result."""
RECOVERY_SUSTAINED_SECONDS: Final = 2.0
"""Time for which goodput must stay at the recovered rate."""
RECOVERED_FRACTION: Final = 0.95
"""Fraction of the former goodput that counts as recovered."""
RELAPSE_FRACTION: Final = 0.85
"""Goodput below this fraction of the former is a relapse, which voids an earlier recovery.

Keeps a short burst of retries from counting as recovery (docs/design/overload-recovery.md).
"""


class Period(msgspec.Struct, frozen=True):
    """Time interval of a run, in seconds."""

    start: float
    end: float

    @property
    def seconds(self) -> float:
        """Length of the period in seconds."""
        return self.end - self.start


def recovery_seconds(
    finished: list[float],
    before: float,
    trigger_end: float,
    end: float,
    arrived: Sequence[float] = (),
) -> float | None:
    """Return the time from ``trigger_end`` until goodput stays at 95% of ``before`` or more.

    The time ends with the first window of half a second that has recovered, so half a second is
    the minimum. To exclude bursts of retries, the mean over the sustained time from the window's
    start must have recovered too, and no later period of that length may fall below
    :data:`RELAPSE_FRACTION`.

    Parameters
    ----------
    finished
        Sorted times of complete responses.
    before
        Answers per second before the trigger.
    arrived
        Sorted times of arrivals, if known: low demand then doesn't count as a relapse.

    Returns
    -------
    float or None
        Seconds, or None if goodput doesn't recover by ``end``.
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
    """Return the start of the last relapse, or ``trigger_end`` if there was none."""
    former = before * RECOVERY_SUSTAINED_SECONDS
    last = trigger_end
    start = trigger_end
    while start + RECOVERY_SUSTAINED_SECONDS <= end:
        period = Period(start, start + RECOVERY_SUSTAINED_SECONDS)
        demanded = min(former, _count(arrived, period)) if arrived else former
        if _count(finished, period) < RELAPSE_FRACTION * demanded:
            last = start
        start += RECOVERY_STEP_SECONDS
    return last


def _count(times: Sequence[float], period: Period) -> int:
    return bisect_left(times, period.end) - bisect_left(times, period.start)
