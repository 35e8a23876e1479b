"""Token bucket with adjustable rate and capacity. No I/O."""


class TokenBucket:
    """Token bucket that starts empty and refills at ``rate`` tokens per second to ``capacity``.

    Parameters
    ----------
    now
        Creation time in seconds.
    """

    __slots__ = ("_level", "_updated", "capacity", "rate")

    def __init__(self, rate: float, capacity: float, now: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self._level = 0.0
        self._updated = now

    def level(self, now: float) -> float:
        """Return the current number of tokens."""
        self._refill(now)
        return self._level

    def take(self, wanted: int, now: float) -> int:
        """Remove up to ``wanted`` whole tokens and return the number removed."""
        self._refill(now)
        taken = min(wanted, int(self._level))
        self._level -= taken
        return taken

    def take_fractional(self, wanted: float, now: float) -> float:
        """Remove up to ``wanted`` tokens, fractions included, and return the number removed."""
        self._refill(now)
        taken = max(0.0, min(wanted, self._level))
        self._level -= taken
        return taken

    def remove_above(self, kept: float, now: float) -> float:
        """Remove the tokens above ``kept`` and return the number removed."""
        self._refill(now)
        removed = max(0.0, self._level - kept)
        self._level -= removed
        return removed

    def put(self, tokens: float, now: float) -> None:
        """Add tokens, discarding any that exceed the capacity."""
        self._refill(now)
        self._level = min(self.capacity, self._level + tokens)

    def resize(self, rate: float, capacity: float, now: float) -> float:
        """Set rate and capacity and return the tokens removed because they no longer fit."""
        self._refill(now)
        self.rate = rate
        self.capacity = capacity
        return self.remove_above(capacity, now)

    def seconds_until(self, tokens: float, now: float) -> float:
        """Return the seconds until ``tokens`` are available, infinite if the rate is zero."""
        self._refill(now)
        missing = tokens - self._level
        if missing <= 0.0:
            return 0.0
        return missing / self.rate if self.rate > 0.0 else float("inf")

    def _refill(self, now: float) -> None:
        elapsed = now - self._updated
        if elapsed > 0.0:
            self._level = min(self.capacity, self._level + elapsed * self.rate)
            self._updated = now
