"""Lets one suspect at a time run beside requests that are in no doubt.

Owns who runs and who waits. Relies on the callee to report every suspect that leaves.
"""

import enum
from collections import deque

MAX_WAITING_SUSPECTS = 4
"""Suspects that wait for their turn; each waits for as many runs at most. Others are refused and
told when to come back. Chosen, not measured."""


class SuspectDecision(enum.Enum):
    """What becomes of a suspect that came in."""

    RUNS = "runs"
    WAITS = "waits"
    REFUSED = "refused"


class SuspectQueue:
    """Suspects at one back end, by the tokens of their work."""

    def __init__(self) -> None:
        self._running: int | None = None
        self._waiting: deque[int] = deque()

    def enter(self, token: int) -> SuspectDecision:
        """Judge a suspect that came in."""
        if self._running is None:
            self._running = token
            return SuspectDecision.RUNS
        if len(self._waiting) >= MAX_WAITING_SUSPECTS:
            return SuspectDecision.REFUSED
        self._waiting.append(token)
        return SuspectDecision.WAITS

    def is_waiting(self, token: int) -> bool:
        """Return whether a suspect still waits for its turn."""
        return token in self._waiting

    def leave(self, token: int) -> int | None:
        """Take a suspect out; return the token of the one whose turn has come, if any."""
        if token != self._running:
            if token in self._waiting:
                self._waiting.remove(token)
            return None
        self._running = self._waiting.popleft() if self._waiting else None
        return self._running
