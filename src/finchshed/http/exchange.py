"""Interfaces between an HTTP connection, its server and the request handler.

They are generic over the connection type, so this module need not import the connection class.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from finchshed.common.memory_budget import MemoryBudget
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.http.framing import FramingMeter
from finchshed.http.limits import ConnectionLimits
from finchshed.http.message import InboundRequest, Response
from finchshed.http.spool import SpoolBudget

RequestT = TypeVar("RequestT")
ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class RequestHandler(Protocol[RequestT]):
    """Admits and answers requests.

    ``RequestT`` is the handler's result of admitting a request; it is passed to :meth:`handle`.
    """

    def admit(self, request: InboundRequest) -> RequestT | Refused:
        """Admit or refuse a request by its head, before its body is read."""

    def max_body_bytes(self, admitted: RequestT) -> int:
        """Return the maximum body size of an admitted request."""

    def handle(
        self,
        request: InboundRequest,
        admitted: RequestT,
        respond: Callable[[Response], None],
    ) -> Callable[[], None]:
        """Answer a complete request by calling ``respond`` once; return a function to abort it."""

    def refusal_response(self, refused: Refused) -> Response:
        """Return the response for a refused request."""

    def make_refusal(self, reason: RefusalReason, detail: str) -> Refused:
        """Return the refusal of a request whose body is not accepted."""

    def malformed_response(self, detail: str, status: int) -> Response:
        """Return the response to malformed input."""


class ConnectionOwner(Protocol[RequestT, ConnectionT_contra]):
    """The server to which a connection belongs."""

    handler: RequestHandler[RequestT]
    spool: SpoolBudget
    limits: ConnectionLimits
    memory: MemoryBudget | None
    now: float
    closing: bool

    def opened(self, connection: ConnectionT_contra) -> None:
        """Register a connection."""

    def closed(self, connection: ConnectionT_contra) -> None:
        """Unregister a connection."""

    def request_read(self, connection: ConnectionT_contra) -> None:
        """Note that a whole request is with the handler."""

    def request_answered(self, connection: ConnectionT_contra) -> None:
        """Note that the connection waits for a request again."""


REQUEST_BYTES = 2_048
"""Memory of the objects of one request without headers."""

HEADER_BYTES = 400
"""Memory of one header without its text: as it was received and as it is forwarded."""

TEXT_COPIES = 3
"""How often the text of a head is held: as received, as forwarded, and in a message."""


@dataclass(slots=True)
class Exchange(Generic[RequestT]):
    """One request being read or answered.

    Attributes
    ----------
    limit
        Maximum body size in bytes.
    size
        Body bytes received, including discarded ones.
    spooled
        Body bytes reserved in the spool budget.
    is_past_head
        Whether its head was received completely.
    memory_bytes
        Memory that the request takes, but for its body.
    framing
        Bytes that are neither head nor body.
    closes
        Whether the connection closes after the response.
    abort
        Aborts the request in the handler; None while it is not being handled.
    """

    request: InboundRequest
    admitted: RequestT | None = None
    refusal: Refused | None = None
    limit: int = 0
    size: int = 0
    spooled: int = 0
    closes: bool = False
    is_past_head: bool = False
    memory_bytes: int = REQUEST_BYTES
    is_whole: bool = False
    framing: FramingMeter = field(default_factory=FramingMeter)
    abort: Callable[[], None] | None = None
    _body: bytearray = field(default_factory=bytearray)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the request, whose name is in lower case."""
        self.request.headers.append((name, value))
        self.request.first.setdefault(name, value)
        self.memory_bytes += HEADER_BYTES + TEXT_COPIES * (len(name) + len(value))

    def refuse(self, refused: Refused) -> None:
        """Refuse the request, and free its headers."""
        self.refusal = refused
        self.request.headers = []
        self.request.first = {}
        self.memory_bytes = REQUEST_BYTES

    def append_body(self, part: bytes) -> None:
        """Append a part of the body; joined, many small parts take no more than their bytes."""
        self.spooled += len(part)
        self._body += part

    def complete(self) -> None:
        """Take the body; the request has been received completely."""
        self.request.body = bytes(self._body)
        self._body = bytearray()
        self.is_whole = True

    def declares_too_large_body(self) -> bool:
        """Return whether the declared length of the body exceeds the limit."""
        declared = self.request.first.get(b"content-length")
        return declared is not None and int(declared) > self.limit

    def remaining_length(self) -> int | None:
        """Return the bytes of the body that are still to come; None if it comes in chunks."""
        declared = self.request.first.get(b"content-length")
        if declared is None or b"transfer-encoding" in self.request.first:
            return None
        return int(declared) - self.size

    def release(self, spool: SpoolBudget) -> None:
        """Free what is held of the body, and release its bytes in the spool budget."""
        self._body = bytearray()
        spool.release(self.spooled)
        self.spooled = 0
