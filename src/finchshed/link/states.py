"""States of the calling end of a link, and what those who use it give and get."""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec

from finchshed.common.context import CallContext
from finchshed.common.outcomes import Headers
from finchshed.link.messages import Reply


class LinkState(enum.Enum):
    """State of the calling end."""

    CONNECTING = "connecting"
    OPEN = "open"
    CLOSED = "closed"


class SendResult(enum.Enum):
    """What became of handing a call to a link."""

    SENT = "sent"
    FULL = "full"
    CLOSED = "closed"


class CallContent(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """What a call asks for; the link adds its epoch, the call's number and the body's digest.

    The fields mean what they mean in :class:`finchshed.link.messages.Call`.
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


Connect: TypeAlias = Callable[[Callable[[], asyncio.Protocol], str, int], Awaitable[object]]
"""Opens a connection for the protocol made by the first argument to a host and port."""

ReplyCallback: TypeAlias = Callable[[Reply | None], None]
"""Called once with the reply, or with None when the link broke after the call was sent."""
