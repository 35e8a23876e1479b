"""Outcomes of a call, as values.

``Refused`` guarantees that the request did not run: it was never sent to a back end, or the back
end refused it before running it. If that is uncertain, the outcome is ``Failed``. docs/DECISIONS.md
describes the rule behind each reason.
"""

import enum
from typing import TypeAlias

import msgspec

Headers: TypeAlias = tuple[tuple[str, str], ...]


class RefusalReason(enum.StrEnum):
    """Why a request was refused without running."""

    OVERLOAD = "overload"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NO_BACKEND = "no_backend"
    NO_CONFIGURATION = "no_configuration"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    KEY_EXPIRED = "key_expired"
    KEY_MISSING = "key_missing"
    KEY_INVALID = "key_invalid"
    SESSION_LIMIT = "session_limit"
    UNKNOWN_ROUTE = "unknown_route"
    REQUEST_TOO_LARGE = "request_too_large"
    BACKEND_REFUSED = "backend_refused"
    CANCELLED = "cancelled"
    CONNECT_FAILED = "connect_failed"
    KEY_REUSED = "key_reused"
    RETRIES_SPENT = "retries_spent"
    REQUEST_INVALID = "request_invalid"
    API_KEY_MISSING = "api_key_missing"
    API_KEY_UNKNOWN = "api_key_unknown"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNCONFIRMED = "quota_unconfirmed"
    API_KEY_UNCONFIRMED = "api_key_unconfirmed"
    CALLER_UNKNOWN = "caller_unknown"
    QUARANTINED = "quarantined"
    """It has crashed back ends."""

    SUSPECTS_WAIT = "suspects_wait"
    """It is suspected of crashing a back end, and other suspects are run first."""

    RATE_LIMITED = "rate_limited"
    """The rate that the back end names in its answers is used up."""

    PATH_FAILING = "path_failing"
    """Most calls that it needs are refused, and it may run only once."""


FINAL_REFUSALS = frozenset(
    {
        RefusalReason.KEY_MISSING,
        RefusalReason.KEY_INVALID,
        RefusalReason.KEY_EXPIRED,
        RefusalReason.KEY_REUSED,
        RefusalReason.REQUEST_TOO_LARGE,
        RefusalReason.REQUEST_INVALID,
        RefusalReason.UNKNOWN_ROUTE,
        RefusalReason.API_KEY_MISSING,
        RefusalReason.API_KEY_UNKNOWN,
    }
)
"""Refusals that an identical request will always receive again."""


class FailureReason(enum.StrEnum):
    """Why it is unknown whether a request ran to completion."""

    LINK_BROKEN = "link_broken"
    BACKEND_BROKEN = "backend_broken"
    DEADLINE = "deadline"
    ANSWER_TOO_LARGE = "answer_too_large"
    ANSWER_CORRUPT = "answer_corrupt"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ABORTED = "aborted"


class Answered(msgspec.Struct, frozen=True, omit_defaults=True, tag="answered"):
    """The back end's answer.

    ``has_length`` is false if the answer had no length and ended with its connection. It may be
    truncated then, so it is passed on without a length as well.
    """

    status: int
    headers: Headers
    body: bytes
    has_length: bool = True


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The request did not run. ``retry_after`` is in seconds."""

    reason: RefusalReason
    retry_after: float
    detail: str = ""


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The request may have run. ``retry_after`` is in seconds."""

    reason: FailureReason
    retry_after: float
    detail: str = ""


Outcome: TypeAlias = Answered | Refused | Failed
