"""Node-local clock that tolerates steps of the host clock.

All timers of a node are measured on this clock, so a host may supply any time source.
"""


class SteadyClock:
    """Accumulates elapsed host time, with each increment clamped to ``[0, max_step]``.

    A backward step of the host clock counts as zero. A forward jump (a clock step or a suspended
    process) counts as at most ``max_step`` seconds, so a resumed node processes the messages that
    arrived during the pause before its election timer expires. Safety does not depend on clocks.

    Parameters
    ----------
    now
        Initial host time in seconds.
    max_step
        Upper bound of one increment in seconds.
    """

    def __init__(self, now: float, max_step: float) -> None:
        self._host_now = now
        self._max_step = max_step
        self.now = 0.0

    @property
    def max_step(self) -> float:
        """Upper bound of one increment, in seconds."""
        return self._max_step

    @property
    def host_now(self) -> float:
        """Host time of the last :meth:`advance`, in seconds."""
        return self._host_now

    def advance(self, host_now: float) -> None:
        """Advance to host time ``host_now``, in seconds."""
        passed = host_now - self._host_now
        self._host_now = host_now
        self.now += min(max(passed, 0.0), self._max_step)
