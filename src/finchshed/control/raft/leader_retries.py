"""Pauses between the tries of one request to the leader, until its time is up.

Owns the deadline of the request. Relies on the host of the log, which says when a leader is known.
"""

import asyncio
import random

from finchshed.common.backoff import Backoff
from finchshed.common.errors import ControlUnavailableError
from finchshed.control.raft.host import RaftHost

RETRY_BACKOFF = Backoff(first_seconds=0.02, longest_seconds=0.5)
"""Pauses between tries, seconds; the news of another leader ends one earlier. The longest is half
of the shortest election timeout as set by default. Chosen, not measured."""


class LeaderRetries:
    """Pauses of one request.

    Parameters
    ----------
    timeout_seconds
        Longest time for the request over all of its tries.
    """

    def __init__(self, host: RaftHost, timeout_seconds: float, rng: random.Random) -> None:
        self._host = host
        self._rng = rng
        self._deadline = asyncio.get_running_loop().time() + timeout_seconds
        self._failures = 0

    def remaining(self) -> float:
        """Return the seconds left."""
        return max(0.0, self._deadline - asyncio.get_running_loop().time())

    async def pause(self, error: Exception) -> None:
        """Wait for a new leader or a while.

        Raises
        ------
        ControlUnavailableError
            The time is up; ``error`` is its cause.
        """
        if self.remaining() <= 0.0:
            text = str(error) or "no quorum answered in time"
            raise ControlUnavailableError(text) from error
        pause = min(RETRY_BACKOFF.centred_jitter(self._failures, self._rng), self.remaining())
        self._failures += 1
        await self._host.wait_for_role_change(pause)
