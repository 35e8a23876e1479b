"""A daemon's ledger requests to control, sent again on the next connection until answered.

Owns the requests in progress. Relies on the client for the connection in use.
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
"""Sends a request on the connection in use; False if there is none."""

CANCEL_TIMEOUT_SECONDS = 30.0
"""How long the cancel of an attempt whose grant did not come in time is tried. Chosen, not
measured."""

MAX_PENDING_REQUESTS = 8192
"""Requests in progress at a time, beyond which one is refused at once: bounds the memory. Chosen,
not measured."""


@dataclass(slots=True)
class _Pending:
    message: LedgerRequest
    answer: asyncio.Future[LedgerAnswer]
    sent: bool = False


class LedgerRequests:
    """Requests in progress.

    Parameters
    ----------
    node
        Name of the daemon.
    send
        Sends a request.
    """

    def __init__(self, node: str, send: SendRequest) -> None:
        self._node = node
        self._send = send
        self._pending: dict[int, _Pending] = {}
        self._last_request = 0
        self._abandoning: set[asyncio.Task[bool]] = set()

    def resend_pending(self) -> None:
        """Send all requests in progress, on a new connection."""
        for pending in self._pending.values():
            self._send_one(pending)

    def on_answer(self, message: LedgerAnswer) -> None:
        """Take an answer; one that nobody waits for any more is dropped."""
        pending = self._pending.get(message.request)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(message)

    async def begin(self, key: str, attempt: str, timeout_seconds: float) -> LedgerAnswer:
        """Ask leave to run the request under ``key``; once granted, the attempt may be sent once.

        When no answer comes in time the attempt must not be sent: it is cancelled in the
        background, and the answer is :class:`LedgerRefused`.
        """
        number = self._next_request()
        pending = _Pending(LedgerBegin(number, key, attempt, self._node), _future())
        answer = await self._request(pending, timeout_seconds)
        if answer is not None:
            return answer
        if pending.sent:
            self._abandon(key, attempt)
        return LedgerRefused(number, expired=False, detail="no answer from control")

    async def cancel(self, key: str, attempt: str, timeout_seconds: float) -> bool:
        """Free the key of an attempt that was granted and not sent; True once committed."""
        pending = _Pending(LedgerCancel(self._next_request(), key, attempt), _future())
        return isinstance(await self._request(pending, timeout_seconds), LedgerNoted)

    async def complete(
        self, key: str, attempt: str, answer: Answered, timeout_seconds: float
    ) -> bool:
        """Record the answer of an attempt that ran; True once committed."""
        message = LedgerComplete(self._next_request(), key, attempt, answer)
        pending = _Pending(message, _future())
        return isinstance(await self._request(pending, timeout_seconds), LedgerNoted)

    def _next_request(self) -> int:
        self._last_request += 1
        return self._last_request

    def _abandon(self, key: str, attempt: str) -> None:
        task = asyncio.create_task(self.cancel(key, attempt, CANCEL_TIMEOUT_SECONDS))
        self._abandoning.add(task)
        task.add_done_callback(self._abandoning.discard)

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
