"""HTTP status of each refusal and failure, for both listeners of a daemon.

Reasons that aren't listed map to 503 for a refusal and 502 for a failure (RFC 9110, 15.6). Service
requests name their service and carry idempotency keys and sessions; host requests are routed by
host and path and carry API keys.
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

_COMMON_REFUSAL_STATUSES: Mapping[RefusalReason, int] = {
    RefusalReason.UNKNOWN_ROUTE: STATUS_NOT_FOUND,
    RefusalReason.REQUEST_TOO_LARGE: STATUS_CONTENT_TOO_LARGE,
}

_SERVICE_REFUSAL_STATUSES: Mapping[RefusalReason, int] = {
    **_COMMON_REFUSAL_STATUSES,
    RefusalReason.SESSION_LIMIT: STATUS_TOO_MANY_REQUESTS,
    RefusalReason.KEY_MISSING: STATUS_BAD_REQUEST,
    RefusalReason.KEY_INVALID: STATUS_BAD_REQUEST,
    RefusalReason.KEY_EXPIRED: STATUS_CONFLICT,
    RefusalReason.KEY_REUSED: STATUS_UNPROCESSABLE_CONTENT,
}

_HOST_REFUSAL_STATUSES: Mapping[RefusalReason, int] = {
    **_COMMON_REFUSAL_STATUSES,
    RefusalReason.REQUEST_INVALID: STATUS_BAD_REQUEST,
    RefusalReason.API_KEY_MISSING: STATUS_UNAUTHORIZED,
    RefusalReason.API_KEY_UNKNOWN: STATUS_UNAUTHORIZED,
    RefusalReason.QUOTA_EXCEEDED: STATUS_TOO_MANY_REQUESTS,
}

_HOST_FAILURE_STATUSES: Mapping[FailureReason, int] = {
    FailureReason.DEADLINE: STATUS_GATEWAY_TIMEOUT,
}

_SERVICE_FAILURE_STATUSES: Mapping[FailureReason, int] = {
    **_HOST_FAILURE_STATUSES,
    FailureReason.OUTCOME_UNKNOWN: STATUS_CONFLICT,
}

STATUSES_WITH_RETRY_AFTER = frozenset({STATUS_SERVICE_UNAVAILABLE, STATUS_TOO_MANY_REQUESTS})
"""Statuses for which responses to host requests have a Retry-After header."""


def service_request_status(outcome: Refused | Failed) -> int:
    """Return the status of the response to a service request."""
    if isinstance(outcome, Refused):
        return _SERVICE_REFUSAL_STATUSES.get(outcome.reason, STATUS_SERVICE_UNAVAILABLE)
    return _SERVICE_FAILURE_STATUSES.get(outcome.reason, STATUS_BAD_GATEWAY)


def host_request_status(outcome: Refused | Failed) -> int:
    """Return the status of the response to a host request."""
    if isinstance(outcome, Refused):
        return _HOST_REFUSAL_STATUSES.get(outcome.reason, STATUS_SERVICE_UNAVAILABLE)
    return _HOST_FAILURE_STATUSES.get(outcome.reason, STATUS_BAD_GATEWAY)
