"""Ledger requests from a daemon to control, resent on each new connection until answered.

Owns the pending requests. The control client sends them on its current connection.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from finchshed.common.outcomes import Answered
from finchshed.distribution.messages import (
    LedgerAnswer,
    LedgerBegin,
    LedgerCancel,
    LedgerComplete,
    LedgerNoted,
    LedgerRefused,
    LedgerRequest,
)

SendRequest: TypeAlias = Callable[[LedgerRequest], bool]
"""Sends a request on the current connection and returns False if there is none."""

CANCEL_TIMEOUT_SECONDS = 30.0
"""Timeout for cancelling an attempt whose grant didn't arrive in time."""

MAX_PENDING_REQUESTS = 8192
"""Maximum number of pending requests, to bound memory. Further requests fail immediately."""


@dataclass(slots=True)
class _Pending:
    message: LedgerRequest
    answer: asyncio.Future[LedgerAnswer]
    sent: bool = False


class LedgerRequests:
    """Pending ledger requests of one daemon.

    Parameters
    ----------
    node
        Name of the daemon.
    send
        Sends a request on the current connection.
    """

    def __init__(self, node: str, send: SendRequest) -> None:
        self._node = node
        self._send = send
        self._pending: dict[int, _Pending] = {}
        self._last_request = 0
        self._cancelling: set[asyncio.Task[bool]] = set()

    def resend_pending(self) -> None:
        """Send all pending requests on a new connection."""
        for pending in self._pending.values():
            self._send_one(pending)

    def on_answer(self, message: LedgerAnswer) -> None:
        """Complete the request that ``message`` answers; ignore answers to unknown requests."""
        pending = self._pending.get(message.request)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(message)

    async def begin(self, key: str, attempt: str, timeout_seconds: float) -> LedgerAnswer:
        """Request permission to execute the request under ``key``, for a single attempt.

        On a timeout the result is :class:`LedgerRefused`, and the attempt must not be sent. It is
        cancelled in the background, because the grant may have been committed.
        """
        number = self._next_request()
        pending = _Pending(LedgerBegin(number, key, attempt, self._node), _future())
        answer = await self._request(pending, timeout_seconds)
        if answer is not None:
            return answer
        if pending.sent:
            self._cancel_in_background(key, attempt)
        return LedgerRefused(number, expired=False, detail="no answer from control")

    async def cancel(self, key: str, attempt: str, timeout_seconds: float) -> bool:
        """Release the key of an attempt that wasn't sent; return whether this was committed."""
        pending = _Pending(LedgerCancel(self._next_request(), key, attempt), _future())
        return isinstance(await self._request(pending, timeout_seconds), LedgerNoted)

    async def complete(
        self, key: str, attempt: str, answer: Answered, timeout_seconds: float
    ) -> bool:
        """Record the answer of an executed attempt; return whether this was committed."""
        message = LedgerComplete(self._next_request(), key, attempt, answer)
        pending = _Pending(message, _future())
        return isinstance(await self._request(pending, timeout_seconds), LedgerNoted)

    def _next_request(self) -> int:
        self._last_request += 1
        return self._last_request

    def _cancel_in_background(self, key: str, attempt: str) -> None:
        task = asyncio.create_task(self.cancel(key, attempt, CANCEL_TIMEOUT_SECONDS))
        self._cancelling.add(task)
        task.add_done_callback(self._cancelling.discard)

    async def _request(self, pending: _Pending, timeout_seconds: float) -> LedgerAnswer | None:
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            return None
        number = pending.message.request
        self._pending[number] = pending
        self._send_one(pending)
        try:
            return await asyncio.wait_for(pending.answer, timeout_seconds)
        except TimeoutError:
            return None
        finally:
            del self._pending[number]

    def _send_one(self, pending: _Pending) -> None:
        if self._send(pending.message):
            pending.sent = True


def _future() -> asyncio.Future[LedgerAnswer]:
    return asyncio.get_running_loop().create_future()
