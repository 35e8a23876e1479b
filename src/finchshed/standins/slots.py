"""Concurrency limit of a simulated backend, with a bounded first-in, first-out queue.

Whoever acquires a slot must release it.
"""

import asyncio
import collections


class Slots:
    """Limits concurrent requests and queues waiting requests in order of arrival."""

    def __init__(self, size: int, queue_limit: int) -> None:
        self.size = size
        self._queue_limit = queue_limit
        self.running = 0
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def in_flight(self) -> int:
        """Number of running and waiting requests."""
        return self.running + len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether all slots are taken and the queue is full."""
        return self.in_flight >= self.size + self._queue_limit

    async def acquire(self) -> None:
        """Wait for a slot."""
        if self.running < self.size and not self._waiting:
            self.running += 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            self._cancel_wait(waiter)
            raise

    def release(self) -> None:
        """Release a slot, passing it to the longest-waiting request."""
        self.running -= 1
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self.running += 1
                waiter.set_result(None)
                return

    def _cancel_wait(self, waiter: asyncio.Future[None]) -> None:
        if waiter.done() and not waiter.cancelled():
            self.release()
        elif waiter in self._waiting:
            self._waiting.remove(waiter)
