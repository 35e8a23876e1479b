"""A handler for the small interfaces of a process: one function answers each whole request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.http.message import InboundRequest, Response

AnswerFunction: TypeAlias = Callable[[InboundRequest], "Response | Awaitable[Response]"]

STATUS_OF_REFUSAL = {RefusalReason.REQUEST_TOO_LARGE: 413, RefusalReason.OVERLOAD: 503}
STATUS_BAD_REQUEST = 400
STATUS_HEAD_TOO_LARGE = 431
STATUS_INTERNAL_SERVER_ERROR = 500

JSON = (("content-type", "application/json"),)


class Problem(msgspec.Struct, frozen=True):
    """Body of an answer to a request that can't be served."""

    error: str


def problem_response(status: int, text: str) -> Response:
    """Return an answer that says in words what is wrong."""
    return Response(status, JSON, msgspec.json.encode(Problem(text)))


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

    def refused(self, refused: Refused) -> Response:
        """Return the response that tells a refusal."""
        status = STATUS_OF_REFUSAL.get(refused.reason, STATUS_BAD_REQUEST)
        return problem_response(status, refused.detail or refused.reason)

    def too_large(self, limit: int) -> Refused:
        """Return the refusal of a body larger than ``limit``."""
        return Refused(RefusalReason.REQUEST_TOO_LARGE, 0.0, f"limit: {limit} bytes")

    def spool_full(self) -> Refused:
        """Return the refusal of a request whose body can't be held."""
        return Refused(RefusalReason.OVERLOAD, 1.0, "bodies held reach their limit")

    def malformed(self, detail: str) -> Response:
        """Return the response to bytes that are no request."""
        return problem_response(STATUS_BAD_REQUEST, detail)

    def head_too_large(self, limit: int) -> Response:
        """Return the response to a head longer than ``limit`` bytes."""
        return problem_response(STATUS_HEAD_TOO_LARGE, f"limit of the head: {limit} bytes")


async def _respond_later(answer: Awaitable[Response], respond: Callable[[Response], None]) -> None:
    try:
        response = await answer
    except Exception:
        respond(problem_response(STATUS_INTERNAL_SERVER_ERROR, "unexpected error"))
        raise
    respond(response)


def _nothing() -> None:
    """Give up nothing: an answer under way costs less than to stop it."""
