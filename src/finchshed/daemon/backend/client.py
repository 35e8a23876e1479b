"""What a client to the back end is asked, and the one value each request ends in.

Each request ends in exactly one value: a whole answer, or the reason there is none. Only a
connection that could not be opened is known not to have run anything. Types alone: the client over
HTTP is :mod:`http_client`.
"""

from collections.abc import Callable
from typing import Protocol, TypeAlias

import msgspec

from finchshed.common.outcomes import Headers


class BackendAnswer(msgspec.Struct, frozen=True):
    """A whole answer. ``ran`` is False where the back end says that it refused before running.

    ``headers`` are those passed on; ``draining``: the back end announced its drain.
    ``has_length`` is False where it lacked a length and ended with its connection.
    """

    status: int
    headers: Headers
    body: bytes
    ran: bool
    draining: bool
    has_length: bool = True


class BackendUnreached(msgspec.Struct, frozen=True):
    """Nothing was sent. ``is_refused``: no connection to the back end can be opened."""

    detail: str
    is_refused: bool = False


class BackendBroken(msgspec.Struct, frozen=True):
    """The request was sent, and the connection ended before the whole answer."""

    detail: str


class BackendTimedOut(msgspec.Struct, frozen=True):
    """The request was sent, and its time was up before the whole answer."""


class BackendAnswerTooLarge(msgspec.Struct, frozen=True):
    """The answer is larger than may be spooled."""


class BackendRequest(msgspec.Struct, frozen=True):
    """A request to the back end, and the bounds of its answer.

    ``account`` identifies it; an answer that carries another one is not its answer. A back end
    that copies the header shows by it whose answer it gives (see docs/design/whole-answers.md).
    ``request_id`` is the same for a request that was taken by host, empty for others.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    timeout_seconds: float
    max_answer_bytes: int
    is_repeatable: bool = True
    account: str = ""
    request_id: str = ""


BackendResult: TypeAlias = (
    BackendAnswer | BackendUnreached | BackendBroken | BackendTimedOut | BackendAnswerTooLarge
)


class BackendClient(Protocol):
    """A client to the back end."""

    def send(
        self, request: BackendRequest, on_result: Callable[[BackendResult], None]
    ) -> Callable[[], object]:
        """Send a request; ``on_result`` is called at most once, later. Return what cancels it.

        Cancelling closes the connection the request was sent on; ``on_result`` is then not called.
        """

    async def refuses_connections(self) -> bool:
        """Return whether nothing listens at the address any more."""

    async def close(self) -> None:
        """Close the connections."""
