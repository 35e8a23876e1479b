"""Slots of a stand-in back end: so many requests run, a few wait, more are refused.

Owns the queue; whoever acquires a slot gives it back.
"""

import asyncio
import collections


class Slots:
    """Counts running requests and queues a bounded number of others in order of arrival."""

    def __init__(self, size: int, queue_limit: int) -> None:
        self.size = size
        self._queue_limit = queue_limit
        self.running = 0
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def in_flight(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether one more request would be refused."""
        return self.in_flight >= self.size + self._queue_limit

    async def acquire(self) -> None:
        """Wait for a slot."""
        if self.running < self.size and not self._waiting:
            self.running += 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            self._abandon(turn)
            raise

    def release(self) -> None:
        """Give the slot to who waits longest."""
        self.running -= 1
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                self.running += 1
                turn.set_result(None)
                return

    def _abandon(self, turn: asyncio.Future[None]) -> None:
        if turn.done() and not turn.cancelled():
            self.release()
        elif turn in self._waiting:
            self._waiting.remove(turn)
