"""Interface of the client of the back end; implemented over HTTP by :mod:`http_client`.

Each request ends in exactly one result: a complete answer, or the reason there is none. Without an
answer, only :class:`BackendUnreached` guarantees that the request did not run.
"""

import enum
from collections.abc import Callable
from typing import Protocol, TypeAlias

import msgspec

from finchshed.common.outcomes import Headers
from finchshed.limit.rate_notice import NO_LIMIT_NAMED, RateLimitNotice


class NotRunMark(enum.StrEnum):
    """What in an answer says that the request did not run."""

    NONE = ""
    HEADER = "header"
    STATUS = "status"


class ConnectionUse(msgspec.Struct, frozen=True):
    """Where a request was sent, for logs.

    Attributes
    ----------
    connection
        Number of the connection, in the order in which they were opened, from 1.
    request
        Number of the request on it, from 1.
    """

    connection: int
    request: int


class BackendAnswer(msgspec.Struct, frozen=True):
    """A complete answer.

    Attributes
    ----------
    headers
        End-to-end headers.
    ran
        False if the back end states that it refused the request without running it.
    draining
        Whether the back end announced that it is draining.
    has_length
        False if the body was delimited by the end of the connection.
    rate_limit
        What it says about the back end's rate limit.
    load
        Value of its load header; empty if it has none.
    head_received_at
        When its headers were complete, in monotonic seconds.
    not_run_mark
        What says that the request did not run; ``NONE`` if it ran.
    use
        Connection that it came on; None if unknown.
    """

    status: int
    headers: Headers
    body: bytes
    ran: bool
    draining: bool
    has_length: bool = True
    rate_limit: RateLimitNotice = NO_LIMIT_NAMED
    load: str = ""
    head_received_at: float = 0.0
    not_run_mark: NotRunMark = NotRunMark.NONE
    use: ConnectionUse | None = None


class BackendUnreached(msgspec.Struct, frozen=True):
    """The request was not sent; ``is_refused`` if no connection could be opened."""

    detail: str
    is_refused: bool = False


class BrokenCause(enum.StrEnum):
    """Why what was received is no answer."""

    ENDED = "ended"
    """The connection ended in good order before the answer did."""

    RESET = "reset"
    """The connection was reset, or it isn't known how it ended."""

    MALFORMED = "malformed"
    """What was received isn't HTTP, or is another request's."""

    INVALID = "invalid"
    """The answer is whole, and lacks what the back end's answers have."""


class BackendBroken(msgspec.Struct, frozen=True):
    """The request was sent, but no complete and valid answer was received."""

    detail: str
    cause: BrokenCause
    use: ConnectionUse | None = None


class BackendTimedOut(msgspec.Struct, frozen=True):
    """The request was sent, but timed out before the complete answer."""


class BackendAnswerTooLarge(msgspec.Struct, frozen=True):
    """The answer exceeds ``max_answer_bytes``."""


class BackendRequest(msgspec.Struct, frozen=True):
    """A request to the back end, with the limits of its answer.

    Attributes
    ----------
    account
        Retry account sent with the request. An answer that echoes a different one belongs to
        another request and is rejected (docs/design/whole-answers.md).
    request_id
        Identity of a request routed by host, which its answer must give back; empty otherwise.
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
    """A client of the back end."""

    def send(
        self, request: BackendRequest, on_result: Callable[[BackendResult], None]
    ) -> Callable[[], object]:
        """Send a request; return a function that cancels it.

        ``on_result`` is called at most once, never before this method returns. Cancelling closes
        the request's connection, and ``on_result`` is not called.
        """

    async def refuses_connections(self) -> bool:
        """Return whether the address refuses connections."""

    async def close(self) -> None:
        """Close all connections."""
