"""What passes between a connection of the HTTP listener and those who answer its requests.

The type of the connection is a parameter of its owner, so that connections import this and this
doesn't import them. Relies on the owner's budget for the bytes of bodies held.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.http.limits import ConnectionLimits
from finchshed.http.message import InboundRequest, Response
from finchshed.http.spool import SpoolBudget

RequestT = TypeVar("RequestT")
ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class RequestHandler(Protocol[RequestT]):
    """What answers requests.

    ``RequestT`` is what it knows of a request from its head; it gets that back with the body.
    """

    def admit(self, request: InboundRequest) -> RequestT | Refused:
        """Judge a request by its head, before its body is read."""

    def max_body_bytes(self, admitted: RequestT) -> int:
        """Return the largest body taken for an admitted request."""

    def handle(
        self,
        request: InboundRequest,
        admitted: RequestT,
        respond: Callable[[Response], None],
    ) -> Callable[[], None]:
        """Answer a whole request; ``respond`` is called once. Return what gives it up."""

    def refusal_response(self, refused: Refused) -> Response:
        """Return the response that tells a refusal."""

    def make_refusal(self, reason: RefusalReason, detail: str) -> Refused:
        """Return the refusal of a request whose body can't be taken."""

    def malformed_response(self, detail: str, status: int) -> Response:
        """Return the response to bytes that are no request, or no allowed one."""


class ConnectionOwner(Protocol[RequestT, ConnectionT_contra]):
    """The listener a connection belongs to."""

    handler: RequestHandler[RequestT]
    spool: SpoolBudget
    limits: ConnectionLimits
    now: float
    closing: bool

    def opened(self, connection: ConnectionT_contra) -> None:
        """Count a connection."""

    def closed(self, connection: ConnectionT_contra) -> None:
        """Forget a connection."""


@dataclass(slots=True)
class Exchange(Generic[RequestT]):
    """One request being read or answered.

    Attributes
    ----------
    limit
        Bytes of the largest body taken.
    size
        Bytes of the body that came in, kept or dropped.
    spooled
        Bytes of the body that are counted in the budget.
    closes
        Whether its answer is the last one on the connection.
    give_up
        Gives the request up at who answers it; None while nobody does.
    """

    request: InboundRequest
    admitted: RequestT | None = None
    refusal: Refused | None = None
    limit: int = 0
    size: int = 0
    spooled: int = 0
    closes: bool = False
    is_whole: bool = False
    give_up: Callable[[], None] | None = None
    _parts: list[bytes] = field(default_factory=list)

    def keep(self, part: bytes) -> None:
        """Keep a part of the body."""
        self.spooled += len(part)
        self._parts.append(part)

    def complete(self) -> None:
        """Join the body: the whole request has come in."""
        parts = self._parts
        if parts:
            self.request.body = parts[0] if len(parts) == 1 else b"".join(parts)
            self._parts = []
        self.is_whole = True
