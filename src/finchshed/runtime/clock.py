"""Monotonic clock that includes the time the machine is suspended.

``CLOCK_MONOTONIC``, and with it ``time.monotonic`` and the event loop's time, stops while the
machine is suspended, so a lease measured with it would be trusted for too long. ``CLOCK_BOOTTIME``
continues to run. Event loop timers still fire late after a suspension, so code that depends on an
expiry must check this clock when it uses the value.
"""

import time


def now() -> float:
    """Return the seconds since an arbitrary point in time, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
