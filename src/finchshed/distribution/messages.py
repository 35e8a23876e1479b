"""Messages between daemons and control nodes, as JSON lines. Daemons also exchange deltas.

A daemon keeps one connection to one control node. It receives configuration on the connection, and
sends ledger requests and reports.
"""

from typing import Annotated, TypeAlias

import msgspec

from finchshed.common.outcomes import Answered
from finchshed.configuration.resources import Resource, ResourceKey
from finchshed.directory.registration import Registration
from finchshed.quarantine.messages import CrashNews
from finchshed.quota.messages import QuotaAsk, QuotaReport, QuotaShares, QuotaTokens

Revision: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
"""Revision of the configuration, limited to the 64 bits of the operators' schema."""

RequestNumber: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]

Text: TypeAlias = Annotated[str, msgspec.Meta(max_length=200)]
"""Bounded name of a node, service, zone or endpoint, stored and forwarded by control."""

LedgerName: TypeAlias = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
"""Bounded idempotency key or attempt ID, stored by the ledger for the key window."""


class Subscribe(msgspec.Struct, frozen=True, omit_defaults=True, tag="subscribe"):
    """First message of a daemon: its identity and the highest revision it holds, 0 for none.

    ``endpoint`` is the name of the daemon's declared endpoint; empty on an edge.
    """

    node: Text
    incarnation: Text
    service: Text
    zone: Text
    revision: Revision
    endpoint: Text = ""


class Delta(msgspec.Struct, frozen=True, omit_defaults=True, tag="delta"):
    """Changes from revision ``base`` to ``revision``.

    A ``base`` of 0 marks the full configuration, which replaces the receiver's. ``confirmed``
    states that, after the subscription, a quorum confirmed that no higher revision was committed.
    """

    base: Revision
    revision: Revision
    puts: tuple[Resource, ...] = ()
    deletes: tuple[ResourceKey, ...] = ()
    confirmed: bool = False


class InForce(msgspec.Struct, frozen=True, tag="in_force"):
    """Reports that ``revision`` is in force at the daemon; also sent as a heartbeat."""

    revision: Revision


class Redirect(msgspec.Struct, frozen=True, tag="redirect"):
    """Tells the daemon to leave this control node for one of ``addresses``, which may be empty."""

    addresses: tuple[str, ...] = ()


class Fetch(msgspec.Struct, frozen=True, tag="fetch"):
    """Requests the changes after ``revision``; answered by :class:`Delta`."""

    revision: Revision


class RenewLease(msgspec.Struct, frozen=True, tag="renew_lease"):
    """Requests renewal of the daemon's API key lease; see :mod:`finchshed.tenancy.lease`.

    ``question`` identifies the request and is repeated in the answer.
    """

    question: RequestNumber


class LeaseRenewed(msgspec.Struct, frozen=True, tag="lease_renewed"):
    """States that a quorum, after the request arrived, confirmed ``revision`` as the latest."""

    question: RequestNumber
    revision: Revision


class LedgerBegin(msgspec.Struct, frozen=True, tag="ledger_begin"):
    """Requests permission to execute the request under ``key``.

    The key is a version 7 UUID whose timestamp bounds its validity (see
    :mod:`finchshed.ledger.keys`). ``attempt`` is unique for each attempt to send the request to a
    back end.
    """

    request: RequestNumber
    key: LedgerName
    attempt: LedgerName
    node: Text


class LedgerCancel(msgspec.Struct, frozen=True, tag="ledger_cancel"):
    """Releases the key of an attempt that was never sent."""

    request: RequestNumber
    key: LedgerName
    attempt: LedgerName


class LedgerComplete(msgspec.Struct, frozen=True, tag="ledger_complete"):
    """Records the complete answer of an executed attempt."""

    request: RequestNumber
    key: LedgerName
    attempt: LedgerName
    answer: Answered


class LedgerGranted(msgspec.Struct, frozen=True, tag="ledger_granted"):
    """The grant is committed, and the attempt may be sent once."""

    request: int


class LedgerCompleted(msgspec.Struct, frozen=True, tag="ledger_completed"):
    """Returns the stored answer of a request that was already executed."""

    request: int
    answer: Answered


class LedgerUnknown(msgspec.Struct, frozen=True, tag="ledger_unknown"):
    """An earlier attempt was granted but not completed, so the request isn't executed again."""

    request: int


class LedgerRefused(msgspec.Struct, frozen=True, tag="ledger_refused"):
    """The attempt isn't granted, because the key has expired or no quorum answered."""

    request: int
    expired: bool
    detail: str = ""


class LedgerNoted(msgspec.Struct, frozen=True, tag="ledger_noted"):
    """A cancellation or completion is committed."""

    request: int


LedgerRequest: TypeAlias = LedgerBegin | LedgerCancel | LedgerComplete
LedgerAnswer: TypeAlias = (
    LedgerGranted | LedgerCompleted | LedgerUnknown | LedgerRefused | LedgerNoted
)


class LeavingHint(msgspec.Struct, frozen=True):
    """An endpoint whose machine is listed as leaving by the platform.

    Attributes
    ----------
    endpoint
        Name of the declared endpoint.
    listed_seconds
        Time since control first read the entry, as of sending the message.
    """

    endpoint: str
    listed_seconds: float


class Hints(msgspec.Struct, frozen=True, omit_defaults=True, tag="hints"):
    """Complete list of endpoints that the platform reports as leaving.

    The platform's list lags by up to ``lag_seconds``, so an entry may refer to an earlier machine
    at the same address. :meth:`applies_to` therefore checks that the daemon's current incarnation
    was linked more than that lag before the entry appeared. Entries missing from a later message
    are withdrawn.
    """

    leaving: tuple[LeavingHint, ...]
    lag_seconds: float

    def applies_to(self, hint: LeavingHint, linked_seconds: float) -> bool:
        """Return whether ``hint`` refers to the incarnation linked ``linked_seconds`` ago."""
        return linked_seconds > hint.listed_seconds + self.lag_seconds


class Announce(msgspec.Struct, frozen=True, tag="announce"):
    """Registration of the daemon's back end, sent on changes and refreshed periodically."""

    registration: Registration


class DirectoryUpdate(msgspec.Struct, frozen=True, omit_defaults=True, tag="directory"):
    """Changed registrations, or with ``is_whole`` all registrations of the control node.

    ``forgotten`` lists addresses whose registrations expired.
    """

    registrations: tuple[Registration, ...] = ()
    forgotten: tuple[str, ...] = ()
    is_whole: bool = False


class ControlNodes(msgspec.Struct, frozen=True, tag="control_nodes"):
    """Distribution addresses of the control nodes known to the sender, including its own."""

    addresses: tuple[str, ...]


class ExplainRequest(msgspec.Struct, frozen=True, omit_defaults=True, tag="explain_request"):
    """Requests a daemon's recent decisions for an operator; an empty ``root`` selects all."""

    request: int
    root: str = ""
    limit: int = 100


class Decision(msgspec.Struct, frozen=True, omit_defaults=True):
    """A decision of a daemon; ``age_seconds`` is its age when the message was sent."""

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
