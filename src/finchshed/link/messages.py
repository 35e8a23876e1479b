"""Messages between daemons.

Call identities are never used twice on a link, and every message carries the link's epoch, so an
answer to a call that was given up on finds nobody.
"""

from typing import Annotated, TypeAlias

import msgspec

from finchshed.admission.load_report import LoadReport
from finchshed.common.context import CallContext
from finchshed.common.outcomes import Headers, Outcome
from finchshed.distribution.messages import Delta, Fetch, RequestNumber, Revision
from finchshed.quarantine.messages import CrashNews, CrashRecord

SpareAttempts: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First line in each direction.

    ``compressed`` of the calling end asks for compression of what follows the first lines, both
    ways; that of the serving end says that it will be. A daemon that doesn't know it answers no.
    """

    node: str
    incarnation: str
    epoch: str
    service: str
    zone: str
    revision: Revision
    draining: bool = False
    compressed: bool = False


class Call(msgspec.Struct, frozen=True, omit_defaults=True, tag="call"):
    """A request. ``digest`` is xxh3-64 of the body, hexadecimal.

    ``route`` names the route by host that the calling daemon took it under; empty: it falls under a
    route of its service. ``repeatable`` and ``identity``, which its caller gave it, count for
    requests with a ``route``.
    """

    epoch: str
    call: RequestNumber
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    digest: str
    context: CallContext
    revision: Revision = 0
    route: str = ""
    repeatable: bool = True
    identity: str = ""


class Reply(msgspec.Struct, frozen=True, omit_defaults=True, tag="reply"):
    """The outcome of a call.

    ``spare_attempts`` is what the callee's side did not spend of the attempts allocated to the
    call. ``digest`` is xxh3-64 of an answer's body, hexadecimal; empty for other outcomes.
    ``crash_record`` is there where back ends ended under the request.
    """

    epoch: str
    call: RequestNumber
    outcome: Outcome
    spare_attempts: SpareAttempts
    load: LoadReport
    digest: str = ""
    revision: Revision = 0
    crash_record: CrashRecord | None = None


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """The caller has given up on a call."""

    epoch: str
    call: RequestNumber


class Draining(msgspec.Struct, frozen=True, tag="draining"):
    """The sender takes no new calls; calls in progress are finished."""

    epoch: str


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Heartbeat; answered by :class:`Pong`."""

    epoch: str
    revision: Revision = 0


class Pong(msgspec.Struct, frozen=True, omit_defaults=True, tag="pong"):
    """Answer to a heartbeat."""

    epoch: str
    load: LoadReport
    revision: Revision = 0


PeerMessage: TypeAlias = (
    Hello | Call | Reply | Cancel | Draining | Ping | Pong | Fetch | Delta | CrashNews
)
