"""A node's own time, which neither steps nor runs away.

Owns that time; due times of a node are counted on it, so a host may give any clock.
"""


class SteadyClock:
    """Adds up the time that passes between calls, within bounds.

    A step backwards of the host's clock counts as no time, a long one forwards (a step, or the
    process was frozen) as ``max_step`` seconds. So a node that was frozen first reads what
    arrived meanwhile before it takes its leader for dead. Safety never rests on any clock.

    Parameters
    ----------
    now
        The host's time at the start, in seconds.
    max_step
        Most that one advance counts, in seconds.
    """

    def __init__(self, now: float, max_step: float) -> None:
        self._host_now = now
        self._max_step = max_step
        self.now = 0.0

    @property
    def host_now(self) -> float:
        """The host's time at the last advance, in seconds."""
        return self._host_now

    def advance(self, host_now: float) -> None:
        """Take the host's time."""
        passed = host_now - self._host_now
        self._host_now = host_now
        self.now += min(max(passed, 0.0), self._max_step)
