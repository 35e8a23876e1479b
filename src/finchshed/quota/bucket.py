"""A token bucket whose rate and size may change. Pure."""


class TokenBucket:
    """Holds tokens up to ``capacity``, and gets ``rate`` more a second.

    Parameters
    ----------
    now
        Time of creation, seconds; it is empty then.
    """

    __slots__ = ("_level", "_updated", "capacity", "rate")

    def __init__(self, rate: float, capacity: float, now: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self._level = 0.0
        self._updated = now

    def level(self, now: float) -> float:
        """Return the tokens held."""
        self._refill(now)
        return self._level

    def take(self, wanted: int, now: float) -> int:
        """Take up to ``wanted`` tokens; return how many."""
        self._refill(now)
        taken = min(wanted, int(self._level))
        self._level -= taken
        return taken

    def take_fractional(self, wanted: float, now: float) -> float:
        """Take up to ``wanted`` tokens, parts of one too; return how many."""
        self._refill(now)
        taken = max(0.0, min(wanted, self._level))
        self._level -= taken
        return taken

    def remove_above(self, kept: float, now: float) -> float:
        """Take what is held above ``kept``; return how much."""
        self._refill(now)
        removed = max(0.0, self._level - kept)
        self._level -= removed
        return removed

    def put(self, tokens: float, now: float) -> None:
        """Put tokens in; what doesn't fit is lost."""
        self._refill(now)
        self._level = min(self.capacity, self._level + tokens)

    def resize(self, rate: float, capacity: float, now: float) -> float:
        """Change rate and size; return the tokens that don't fit any more."""
        self._refill(now)
        self.rate = rate
        self.capacity = capacity
        return self.remove_above(capacity, now)

    def seconds_until(self, tokens: float, now: float) -> float:
        """Return when so many tokens will be held, at the earliest; infinite: never."""
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
