"""What passes between a connection of the HTTP listener and those who answer its requests."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.http.limits import ConnectionLimits
from finchshed.http.message import InboundRequest, Response
from finchshed.http.spool import SpoolBudget

if TYPE_CHECKING:
    from finchshed.http.connection import InboundConnection

RequestT = TypeVar("RequestT")


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

    def refused(self, refused: Refused) -> Response:
        """Return the response that tells a refusal."""

    def refusal(self, reason: RefusalReason, detail: str) -> Refused:
        """Return the refusal of a request whose body can't be taken."""

    def malformed(self, detail: str, status: int) -> Response:
        """Return the response to bytes that are no request, or no allowed one."""


class ConnectionOwner(Protocol[RequestT]):
    """The listener a connection belongs to."""

    handler: RequestHandler[RequestT]
    spool: SpoolBudget
    limits: ConnectionLimits
    now: float
    closing: bool

    def opened(self, connection: "InboundConnection[RequestT]") -> None:
        """Count a connection."""

    def closed(self, connection: "InboundConnection[RequestT]") -> None:
        """Forget a connection."""


@dataclass(slots=True)
class Exchange(Generic[RequestT]):
    """One request being read or answered."""

    request: InboundRequest
    admitted: RequestT | None = None
    refusal: Refused | None = None
    limit: int = 0
    size: int = 0
    spooled: int = 0
    closes: bool = False
    is_whole: bool = False
    give_up: Callable[[], None] | None = None
