"""A handler for the small interfaces of a process: one function answers each whole request.

For metrics, readiness, heartbeats, the operator's calls. Relies on the same connections as the call
path, so sizes and times are bounded alike.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.http.message import InboundRequest, Response
from finchshed.http.server import HttpServer
from finchshed.http.spool import SpoolBudget
from finchshed.http.status import (
    STATUS_BAD_REQUEST,
    STATUS_CONTENT_TOO_LARGE,
    STATUS_INTERNAL_SERVER_ERROR,
    STATUS_SERVICE_UNAVAILABLE,
)

AnswerFunction: TypeAlias = Callable[[InboundRequest], "Response | Awaitable[Response]"]

STATUS_BY_REASON = {
    RefusalReason.REQUEST_TOO_LARGE: STATUS_CONTENT_TOO_LARGE,
    RefusalReason.OVERLOAD: STATUS_SERVICE_UNAVAILABLE,
}
RETRY_SECONDS = 1.0
"""Seconds after which refused callers may come back; chosen, not measured."""

SWEEP_SECONDS = 1.0
"""Seconds between two looks for idle connections; chosen, not measured."""

JSON = (("content-type", "application/json"),)


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an answer to a request that can't be served."""

    error: str


def problem_response(status: int, text: str) -> Response:
    """Return an answer that says in words what is wrong."""
    return Response(status, JSON, msgspec.json.encode(ErrorBody(text)))


class SimpleHandler:
    """Has whole requests answered by a function, which may take its time.

    Parameters
    ----------
    answer
        Returns the answer to a request, or an awaitable of it.
    max_body_bytes
        Largest body taken.
    """

    def __init__(self, answer: AnswerFunction, max_body_bytes: int) -> None:
        self._answer = answer
        self._max_body_bytes = max_body_bytes
        self._tasks: set[asyncio.Task[None]] = set()

    def admit(self, request: InboundRequest) -> bool:
        """Take any request."""
        return True

    def max_body_bytes(self, admitted: bool) -> int:
        """Return the largest body taken."""
        return self._max_body_bytes

    def handle(
        self, request: InboundRequest, admitted: bool, respond: Callable[[Response], None]
    ) -> Callable[[], None]:
        """Answer a whole request; what takes time goes on if its sender leaves."""
        answer = self._answer(request)
        if isinstance(answer, Response):
            respond(answer)
        else:
            task = asyncio.get_running_loop().create_task(_respond_later(answer, respond))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return _nothing

    def refusal_response(self, refused: Refused) -> Response:
        """Return the response that tells a refusal."""
        status = STATUS_BY_REASON.get(refused.reason, STATUS_BAD_REQUEST)
        return problem_response(status, refused.detail or refused.reason)

    def make_refusal(self, reason: RefusalReason, detail: str) -> Refused:
        """Return the refusal of a request whose body can't be taken."""
        return Refused(reason, RETRY_SECONDS, detail)

    def malformed_response(self, detail: str, status: int) -> Response:
        """Return the response to bytes that are no request, or no allowed one."""
        return problem_response(status, detail)


class SimpleServer(HttpServer[bool]):
    """A small interface: its handler, its bound of bodies and its look for idle connections.

    Parameters
    ----------
    answer
        Returns the answer to a request, or an awaitable of it.
    max_body_bytes
        Largest body taken.
    bodies_held
        Bodies of that size that are held at a time.
    """

    def __init__(self, answer: AnswerFunction, max_body_bytes: int, bodies_held: int) -> None:
        spool = SpoolBudget(bodies_held * max_body_bytes)
        super().__init__(SimpleHandler(answer, max_body_bytes), spool)
        self._sweeping: asyncio.Task[None] | None = None

    def make_protocol(self) -> asyncio.Protocol:
        """Return the protocol of one accepted connection."""
        if self._sweeping is None:
            self._sweeping = asyncio.get_running_loop().create_task(self._sweep_on())
        return super().make_protocol()

    def close(self) -> None:
        """Close every connection."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        super().close()

    async def _sweep_on(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()


async def _respond_later(answer: Awaitable[Response], respond: Callable[[Response], None]) -> None:
    try:
        response = await answer
    except Exception:
        respond(problem_response(STATUS_INTERNAL_SERVER_ERROR, "unexpected error"))
        raise
    respond(response)


def _nothing() -> None:
    """Give up nothing: an answer under way costs less than to stop it."""
