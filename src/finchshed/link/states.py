"""Types used by callers of a link: its state, call contents and results."""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec

from finchshed.common.context import CallContext
from finchshed.common.outcomes import Headers
from finchshed.link.messages import Reply


class LinkState(enum.Enum):
    """State of the calling side of a link."""

    CONNECTING = "connecting"
    OPEN = "open"
    CLOSED = "closed"


class SendResult(enum.Enum):
    """Result of sending a call on a link."""

    SENT = "sent"
    FULL = "full"
    CLOSED = "closed"


class CallContent(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Contents of a call, without the epoch, call number and digest that the link adds.

    See :class:`finchshed.link.messages.Call` for the fields.
    """

    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    context: CallContext
    revision: int
    route: str = ""
    repeatable: bool = True
    identity: str = ""
    rate_limit: float | None = None


Connect: TypeAlias = Callable[[Callable[[], asyncio.Protocol], str, int], Awaitable[object]]
"""Opens a connection to a host and port with a protocol from the given factory."""

ReplyCallback: TypeAlias = Callable[[Reply | None], None]
"""Called once with the reply, or with None if the link closed first."""
