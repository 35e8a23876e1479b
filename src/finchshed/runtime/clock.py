"""The clock that promises are counted in.

A machine may be suspended for seconds. ``CLOCK_MONOTONIC``, and with it ``time.monotonic`` and the
event loop's time, stand still meanwhile, while the rest of the world goes on: a lease that was
counted by them would be trusted that much too long. ``CLOCK_BOOTTIME`` counts the time asleep, and
is never set. Timers of the loop come late by the time asleep, so what a promise hangs on is looked
at when it is used, not left to a timer.
"""

import time


def now() -> float:
    """Return seconds since some moment, those included in which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
