"""Retry backoff of one request to the leader, up to the request's deadline.

Owns the deadline. Relies on the Raft host to end a pause when the leader changes.
"""

import asyncio
import random

from finchshed.common.backoff import Backoff
from finchshed.common.errors import ControlUnavailableError
from finchshed.control.raft.host import RaftHost

RETRY_BACKOFF = Backoff(first_seconds=0.02, longest_seconds=0.5)
"""Backoff between attempts; a leader change ends a pause early. The longest pause is half of the
default minimum election timeout."""


class LeaderRetries:
    """Retry state of one request.

    Parameters
    ----------
    timeout_seconds
        Timeout of the request, including retries.
    """

    def __init__(self, host: RaftHost, timeout_seconds: float, rng: random.Random) -> None:
        self._host = host
        self._rng = rng
        self._deadline = asyncio.get_running_loop().time() + timeout_seconds
        self._failures = 0

    def remaining(self) -> float:
        """Return the seconds until the deadline."""
        return max(0.0, self._deadline - asyncio.get_running_loop().time())

    async def pause(self, error: Exception) -> None:
        """Wait for a leader change or until the backoff ends.

        Raises
        ------
        ControlUnavailableError
            The deadline has passed; ``error`` is the cause.
        """
        if self.remaining() <= 0.0:
            text = str(error) or "no quorum answered in time"
            raise ControlUnavailableError(text) from error
        pause = min(RETRY_BACKOFF.centred_jitter(self._failures, self._rng), self.remaining())
        self._failures += 1
        await self._host.wait_for_role_change(pause)
