"""Messages between a daemon and a control node (JSON lines), and between daemons for deltas.

A daemon opens one connection to one control node and keeps it. Configuration flows down it;
ledger requests and reports flow up it.
"""

from typing import Annotated, TypeAlias

import msgspec

from finchshed.common.outcomes import Answered
from finchshed.configuration.resources import Resource, ResourceKey
from finchshed.directory.registration import Registration
from finchshed.quarantine.messages import CrashNews
from finchshed.quota.messages import QuotaAsk, QuotaReport, QuotaShares, QuotaTokens

Revision: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
"""Revision of the configuration; the operators' schema holds it in 64 bits."""

RequestNumber: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]

Text: TypeAlias = Annotated[str, msgspec.Meta(max_length=200)]
"""Name of a node, service, zone or endpoint, and the like: kept and passed on by control."""

LedgerName: TypeAlias = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
"""Key or attempt: the ledger keeps it for a whole window."""


class Subscribe(msgspec.Struct, frozen=True, omit_defaults=True, tag="subscribe"):
    """First line of a daemon: who it is and the highest revision it holds (0: none).

    ``endpoint`` names the declared endpoint the daemon stands beside; empty on an edge.
    """

    node: Text
    incarnation: Text
    service: Text
    zone: Text
    revision: Revision
    endpoint: Text = ""


class Delta(msgspec.Struct, frozen=True, omit_defaults=True, tag="delta"):
    """What changed from ``base`` to ``revision``.

    ``base`` 0 means the whole configuration: the receiver drops what it held.
    ``confirmed`` says that a quorum confirmed, after the subscription came in, that no higher
    revision had been accepted.
    """

    base: Revision
    revision: Revision
    puts: tuple[Resource, ...] = ()
    deletes: tuple[ResourceKey, ...] = ()
    confirmed: bool = False


class InForce(msgspec.Struct, frozen=True, tag="in_force"):
    """The daemon acts on ``revision``. Also sent as a heartbeat."""

    revision: Revision


class Redirect(msgspec.Struct, frozen=True, tag="redirect"):
    """The control node can't serve; try ``addresses`` (may be empty)."""

    addresses: tuple[str, ...] = ()


class Fetch(msgspec.Struct, frozen=True, tag="fetch"):
    """Ask for a delta from ``revision``; answered by :class:`Delta`."""

    revision: Revision


class RenewLease(msgspec.Struct, frozen=True, tag="renew_lease"):
    """The daemon's question for its lease of the API keys; see :mod:`finchshed.tenancy.lease`."""

    question: RequestNumber


class LeaseRenewed(msgspec.Struct, frozen=True, tag="lease_renewed"):
    """A quorum confirmed, after the question came in, that ``revision`` was the latest."""

    question: RequestNumber
    revision: Revision


class LedgerBegin(msgspec.Struct, frozen=True, tag="ledger_begin"):
    """Ask leave to run the request under ``key``.

    The key is a UUID of version 7 (see :mod:`finchshed.ledger.keys`): the time in it bounds its
    validity.
    ``attempt`` is unique for each time a daemon wants to send the request to a back end.
    """

    request: RequestNumber
    key: LedgerName
    attempt: LedgerName
    node: Text


class LedgerCancel(msgspec.Struct, frozen=True, tag="ledger_cancel"):
    """The attempt was granted and never sent: the key is free again."""

    request: RequestNumber
    key: LedgerName
    attempt: LedgerName


class LedgerComplete(msgspec.Struct, frozen=True, tag="ledger_complete"):
    """The attempt ran to its end with this whole answer."""

    request: RequestNumber
    key: LedgerName
    attempt: LedgerName
    answer: Answered


class LedgerGranted(msgspec.Struct, frozen=True, tag="ledger_granted"):
    """Committed; the attempt may be sent once."""

    request: int


class LedgerCompleted(msgspec.Struct, frozen=True, tag="ledger_completed"):
    """The request under this key ran before; here is its answer."""

    request: int
    answer: Answered


class LedgerUnknown(msgspec.Struct, frozen=True, tag="ledger_unknown"):
    """The request under this key was begun and not completed; it is not run again."""

    request: int


class LedgerRefused(msgspec.Struct, frozen=True, tag="ledger_refused"):
    """Nothing was granted: the key is expired, or no quorum answered."""

    request: int
    expired: bool
    detail: str = ""


class LedgerNoted(msgspec.Struct, frozen=True, tag="ledger_noted"):
    """A cancel or complete is committed."""

    request: int


LedgerRequest: TypeAlias = LedgerBegin | LedgerCancel | LedgerComplete
LedgerAnswer: TypeAlias = (
    LedgerGranted | LedgerCompleted | LedgerUnknown | LedgerRefused | LedgerNoted
)


class LeavingHint(msgspec.Struct, frozen=True):
    """The platform lists the machine of an endpoint as leaving.

    Attributes
    ----------
    endpoint
        Name of the declared endpoint.
    listed_seconds
        How long ago, when the message was sent, control first read it.
    """

    endpoint: str
    listed_seconds: float


class Hints(msgspec.Struct, frozen=True, omit_defaults=True, tag="hints"):
    """Endpoints that the platform lists as leaving, all of them; only a hint.

    The list lags by up to ``lag_seconds``, so a hint may mean an earlier machine at the same
    address: it applies to a daemon's incarnation only if that was linked before the hint was
    first listed, less the lag (:func:`applies_to`). An endpoint the platform doesn't list keeps
    serving. A hint that is no longer sent is withdrawn.
    """

    leaving: tuple[LeavingHint, ...]
    lag_seconds: float

    def applies_to(self, hint: LeavingHint, linked_seconds: float) -> bool:
        """Whether ``hint`` means the incarnation that was linked ``linked_seconds`` ago."""
        return linked_seconds > hint.listed_seconds + self.lag_seconds


class Announce(msgspec.Struct, frozen=True, tag="announce"):
    """The daemon tells of the back end beside it; also sent now and then without a change."""

    registration: Registration


class DirectoryUpdate(msgspec.Struct, frozen=True, omit_defaults=True, tag="directory"):
    """Registrations that are news; with ``is_whole``, all that the control node holds.

    ``forgotten`` are addresses whose registrations were not confirmed for long.
    """

    registrations: tuple[Registration, ...] = ()
    forgotten: tuple[str, ...] = ()
    is_whole: bool = False


class ControlNodes(msgspec.Struct, frozen=True, tag="control_nodes"):
    """Distribution addresses of the control nodes that the sender knows of, its own included."""

    addresses: tuple[str, ...]


class ExplainRequest(msgspec.Struct, frozen=True, omit_defaults=True, tag="explain_request"):
    """An operator asks the daemon for its recent decisions; empty ``root`` asks for all."""

    request: int
    root: str = ""
    limit: int = 100


class Decision(msgspec.Struct, frozen=True, omit_defaults=True):
    """One decision of a daemon. ``age_seconds`` is its age when the message was sent."""

    age_seconds: float
    root: str
    action: str
    reason: str = ""
    endpoint: str = ""
    detail: str = ""


class ExplainReply(msgspec.Struct, frozen=True, omit_defaults=True, tag="explain_reply"):
    """The daemon's recent decisions, newest first."""

    request: RequestNumber
    decisions: tuple[Decision, ...] = ()


DaemonToControl: TypeAlias = (
    Subscribe
    | InForce
    | Fetch
    | LedgerBegin
    | LedgerCancel
    | LedgerComplete
    | ExplainReply
    | Announce
    | RenewLease
    | QuotaReport
    | QuotaAsk
    | CrashNews
)
ControlToDaemon: TypeAlias = (
    Delta
    | Redirect
    | LedgerGranted
    | LedgerCompleted
    | LedgerUnknown
    | LedgerRefused
    | LedgerNoted
    | Hints
    | ExplainRequest
    | DirectoryUpdate
    | ControlNodes
    | LeaseRenewed
    | QuotaShares
    | QuotaTokens
    | CrashNews
)
