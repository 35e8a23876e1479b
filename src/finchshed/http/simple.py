"""HTTP server for auxiliary endpoints, with one function that answers every request.

Serves metrics, readiness, heartbeats and operator requests. Uses the same connections as the data
path, so the same size and time limits apply.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec

from finchshed.common.memory_budget import MemoryBudget
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.http.limits import ConnectionLimits
from finchshed.http.message import InboundRequest, Response
from finchshed.http.server import HttpServer
from finchshed.http.spool import SpoolBudget
from finchshed.http.status import (
    STATUS_BAD_REQUEST,
    STATUS_CONTENT_TOO_LARGE,
    STATUS_INTERNAL_SERVER_ERROR,
    STATUS_SERVICE_UNAVAILABLE,
)
from finchshed.runtime.descriptors import descriptor_limit, max_auxiliary_connections

AnswerFunction: TypeAlias = Callable[[InboundRequest], "Response | Awaitable[Response]"]

STATUS_BY_REASON = {
    RefusalReason.REQUEST_TOO_LARGE: STATUS_CONTENT_TOO_LARGE,
    RefusalReason.OVERLOAD: STATUS_SERVICE_UNAVAILABLE,
}
RETRY_SECONDS = 1.0
"""Retry delay given to refused clients."""

CONNECTIONS_BYTES = 4 << 20
"""Memory of connections, heads and requests in progress."""

RESPONSES_HELD = 4
"""Number of unsent responses of the size of the largest body for which there is memory."""

SWEEP_SECONDS = 1.0
"""Interval between sweeps for idle connections."""

JSON = (("content-type", "application/json"),)


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    error: str


def problem_response(status: int, text: str) -> Response:
    """Return a JSON error response."""
    return Response(status, JSON, msgspec.json.encode(ErrorBody(text)))


class SimpleHandler:
    """Answers requests with a synchronous or asynchronous function.

    Parameters
    ----------
    answer
        Returns the response to a request, or an awaitable of it.
    max_body_bytes
        Maximum body size in bytes.
    """

    def __init__(self, answer: AnswerFunction, max_body_bytes: int) -> None:
        self._answer = answer
        self._max_body_bytes = max_body_bytes
        self._tasks: set[asyncio.Task[None]] = set()

    def admit(self, request: InboundRequest) -> bool:
        """Admit every request."""
        return True

    def max_body_bytes(self, admitted: bool) -> int:
        """Return the maximum body size."""
        return self._max_body_bytes

    def handle(
        self, request: InboundRequest, admitted: bool, respond: Callable[[Response], None]
    ) -> Callable[[], None]:
        """Answer a complete request; an asynchronous answer continues if the client disconnects."""
        answer = self._answer(request)
        if isinstance(answer, Response):
            respond(answer)
        else:
            task = asyncio.get_running_loop().create_task(_respond_later(answer, respond))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return _ignore_abort

    def refusal_response(self, refused: Refused) -> Response:
        """Return the response for a refused request."""
        status = STATUS_BY_REASON.get(refused.reason, STATUS_BAD_REQUEST)
        return problem_response(status, refused.detail or refused.reason)

    def make_refusal(self, reason: RefusalReason, detail: str) -> Refused:
        """Return the refusal of a request whose body is not accepted."""
        return Refused(reason, RETRY_SECONDS, detail)

    def malformed_response(self, detail: str, status: int) -> Response:
        """Return the response to malformed input."""
        return problem_response(status, detail)


class SimpleServer(HttpServer[bool]):
    """HTTP server with a single answer function, its own budgets and sweeps.

    Parameters
    ----------
    answer
        Returns the response to a request, or an awaitable of it.
    max_body_bytes
        Maximum body size in bytes.
    bodies_held
        Number of maximum-size bodies that may be buffered at once.
    max_descriptors
        Descriptors that the process may have open, 0: as many as the system allows it.
    """

    def __init__(
        self,
        answer: AnswerFunction,
        max_body_bytes: int,
        bodies_held: int,
        max_descriptors: int = 0,
    ) -> None:
        spool = SpoolBudget(bodies_held * max_body_bytes)
        memory = MemoryBudget(CONNECTIONS_BYTES + RESPONSES_HELD * max_body_bytes)
        connections = max_auxiliary_connections(descriptor_limit(max_descriptors))
        limits = ConnectionLimits(max_connections=connections)
        super().__init__(SimpleHandler(answer, max_body_bytes), spool, limits, memory)
        self._sweep_task: asyncio.Task[None] | None = None

    def make_protocol(self) -> asyncio.BaseProtocol:
        """Create the protocol of an accepted connection; the first starts the sweeps."""
        if self._sweep_task is None:
            self._sweep_task = asyncio.get_running_loop().create_task(self._sweep_periodically())
        return super().make_protocol()

    def close(self) -> None:
        """Stop the sweeps and close every connection."""
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        super().close()

    async def _sweep_periodically(self) -> None:
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


def _ignore_abort() -> None:
    """Do nothing: answers are not cancelled when the client disconnects."""
