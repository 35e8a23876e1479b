"""Messages exchanged between daemons.

Call numbers are never reused on a link, and messages about calls carry the link's epoch, so a late
reply to a cancelled call cannot match another call.
"""

from typing import Annotated, TypeAlias

import msgspec

from finchshed.admission.load_report import LoadReport
from finchshed.common.context import CallContext
from finchshed.common.outcomes import Headers, Outcome
from finchshed.directory.registration import Registration
from finchshed.distribution.messages import Delta, Fetch, RequestNumber, Revision
from finchshed.quarantine.messages import CrashNews, CrashRecord

SpareAttempts: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First line in each direction.

    From the calling side, ``compressed`` requests compression of both directions after the Hello
    lines; from the accepting side, it confirms the request. A daemon that does not support
    compression leaves it false. ``registration`` is that of the sender's back end, if it registers
    itself; it tells the runs of one instance apart.
    """

    node: str
    incarnation: str
    epoch: str
    service: str
    zone: str
    revision: Revision
    draining: bool = False
    compressed: bool = False
    registration: Registration | msgspec.UnsetType = msgspec.UNSET


class Call(msgspec.Struct, frozen=True, omit_defaults=True, tag="call"):
    """A request. ``digest`` is the hexadecimal xxh3-64 digest of the body.

    ``route`` is the host-based route selected by the calling daemon, or empty if the route of the
    service applies. ``repeatable`` and ``identity`` (assigned by the caller) are used only for
    requests with a ``route``. ``rate_limit`` is the limit that the calling daemon knows of the back
    end, in requests per second; it serves a daemon that has just started beside it.
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
    rate_limit: float | None = None


class Reply(msgspec.Struct, frozen=True, omit_defaults=True, tag="reply"):
    """The outcome of a call.

    ``spare_attempts`` is the number of attempts allocated to the call and not used by the callee.
    ``digest`` is the hexadecimal xxh3-64 digest of an answer's body, empty for other outcomes.
    ``crash_record`` is set if a back end crashed while it ran the request. ``calls`` is the number
    of calls made for an answered request, at the callee and below, where retries are valued by it.
    """

    epoch: str
    call: RequestNumber
    outcome: Outcome
    spare_attempts: SpareAttempts
    load: LoadReport
    digest: str = ""
    revision: Revision = 0
    crash_record: CrashRecord | None = None
    calls: int = 0


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """The caller cancelled a call."""

    epoch: str
    call: RequestNumber


class Draining(msgspec.Struct, frozen=True, tag="draining"):
    """The sender accepts no new calls; it completes those in progress."""

    epoch: str


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Heartbeat request, answered with :class:`Pong`."""

    epoch: str
    revision: Revision = 0


class Pong(msgspec.Struct, frozen=True, omit_defaults=True, tag="pong"):
    """Heartbeat response, also sent unsolicited to report load."""

    epoch: str
    load: LoadReport
    revision: Revision = 0


PeerMessage: TypeAlias = (
    Hello | Call | Reply | Cancel | Draining | Ping | Pong | Fetch | Delta | CrashNews
)
