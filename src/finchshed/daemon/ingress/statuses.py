"""HTTP status of each refusal and failure, for both listeners of a daemon.

Where a reason isn't named a refusal is 503 and a failure 502 (RFC 9110, 15.6). The two listeners
share what is decided before a service is chosen; the rest differs, as requests by service carry
idempotency keys and sessions, and requests by host API keys and limits.
"""

from collections.abc import Mapping

from finchshed.common.outcomes import Failed, FailureReason, RefusalReason, Refused
from finchshed.http.status import (
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_CONTENT_TOO_LARGE,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_SERVICE_UNAVAILABLE,
    STATUS_TOO_MANY_REQUESTS,
    STATUS_UNAUTHORIZED,
    STATUS_UNPROCESSABLE_CONTENT,
)

_REFUSED_BY_BOTH: Mapping[RefusalReason, int] = {
    RefusalReason.UNKNOWN_ROUTE: STATUS_NOT_FOUND,
    RefusalReason.REQUEST_TOO_LARGE: STATUS_CONTENT_TOO_LARGE,
}

_REFUSED_BY_SERVICE: Mapping[RefusalReason, int] = {
    **_REFUSED_BY_BOTH,
    RefusalReason.SESSION_LIMIT: STATUS_TOO_MANY_REQUESTS,
    RefusalReason.KEY_MISSING: STATUS_BAD_REQUEST,
    RefusalReason.KEY_INVALID: STATUS_BAD_REQUEST,
    RefusalReason.KEY_EXPIRED: STATUS_CONFLICT,
    RefusalReason.KEY_REUSED: STATUS_UNPROCESSABLE_CONTENT,
}

_REFUSED_BY_HOST: Mapping[RefusalReason, int] = {
    **_REFUSED_BY_BOTH,
    RefusalReason.REQUEST_INVALID: STATUS_BAD_REQUEST,
    RefusalReason.API_KEY_MISSING: STATUS_UNAUTHORIZED,
    RefusalReason.API_KEY_UNKNOWN: STATUS_UNAUTHORIZED,
    RefusalReason.QUOTA_EXCEEDED: STATUS_TOO_MANY_REQUESTS,
}

_FAILED_BY_HOST: Mapping[FailureReason, int] = {
    FailureReason.DEADLINE: STATUS_GATEWAY_TIMEOUT,
}

_FAILED_BY_SERVICE: Mapping[FailureReason, int] = {
    **_FAILED_BY_HOST,
    FailureReason.OUTCOME_UNKNOWN: STATUS_CONFLICT,
}

STATUSES_WITH_RETRY_AFTER = frozenset({STATUS_SERVICE_UNAVAILABLE, STATUS_TOO_MANY_REQUESTS})
"""Statuses that tell callers by host when to come back; with the others it wouldn't help."""


def status_by_service(outcome: Refused | Failed) -> int:
    """Return the status of an answer to a request that names its service."""
    if isinstance(outcome, Refused):
        return _REFUSED_BY_SERVICE.get(outcome.reason, STATUS_SERVICE_UNAVAILABLE)
    return _FAILED_BY_SERVICE.get(outcome.reason, STATUS_BAD_GATEWAY)


def status_by_host(outcome: Refused | Failed) -> int:
    """Return the status of an answer to a request by host and path."""
    if isinstance(outcome, Refused):
        return _REFUSED_BY_HOST.get(outcome.reason, STATUS_SERVICE_UNAVAILABLE)
    return _FAILED_BY_HOST.get(outcome.reason, STATUS_BAD_GATEWAY)
