"""Bounds how often something is done, such as writing a log line. No I/O."""


class MinInterval:
    """Passes at most once per interval.

    Parameters
    ----------
    seconds
        Length of the interval.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._passed_at = float("-inf")

    def has_passed(self, now: float) -> bool:
        """Return whether the interval since the last pass is over, and begin another one."""
        if now - self._passed_at < self._seconds:
            return False
        self._passed_at = now
        return True
