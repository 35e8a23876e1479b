"""Serializes suspect requests: those that were running when a back end crashed.

At most one of them runs at a back end at a time, so that a further crash identifies its cause. The
callee must report every suspect that leaves.
"""

import enum
from collections import deque

MAX_WAITING_SUSPECTS = 4
"""Maximum queue length; bounds the wait of a suspect to as many runs. Further ones are refused."""


class SuspectDecision(enum.Enum):
    """Decision about an arriving suspect."""

    RUNS = "runs"
    WAITS = "waits"
    REFUSED = "refused"


class SuspectQueue:
    """Suspects at one back end, identified by the tokens of their calls."""

    def __init__(self) -> None:
        self._running: int | None = None
        self._waiting: deque[int] = deque()

    def enter(self, token: int) -> SuspectDecision:
        """Start, queue or refuse an arriving suspect."""
        if self._running is None:
            self._running = token
            return SuspectDecision.RUNS
        if len(self._waiting) >= MAX_WAITING_SUSPECTS:
            return SuspectDecision.REFUSED
        self._waiting.append(token)
        return SuspectDecision.WAITS

    def is_waiting(self, token: int) -> bool:
        """Return whether a suspect is still queued."""
        return token in self._waiting

    def leave(self, token: int) -> int | None:
        """Remove a suspect; return the token of the next one to run, or None."""
        if token != self._running:
            if token in self._waiting:
                self._waiting.remove(token)
            return None
        self._running = self._waiting.popleft() if self._waiting else None
        return self._running
