"""Converts outcomes of calls to HTTP responses.

Refusals and failures of service requests have a JSON body and headers that say whether the request
ran. Those of host requests are plain text, because their callers don't know finchshed.
"""

import math

import msgspec

from finchshed.common.context import (
    HEADER_DOWNSTREAM,
    HEADER_RAN,
    HEADER_REASON,
    HEADER_RETRY_AFTER_MS,
)
from finchshed.common.outcomes import (
    FINAL_REFUSALS,
    Answered,
    Failed,
    Headers,
    Outcome,
    Refused,
)
from finchshed.common.units import MILLISECONDS
from finchshed.daemon.ingress.statuses import (
    STATUSES_WITH_RETRY_AFTER,
    host_request_status,
    service_request_status,
)
from finchshed.http.message import Response
from finchshed.http.status import STATUS_BAD_REQUEST

RAN_NO = "no"
RAN_UNKNOWN = "unknown"
REASON_MALFORMED = "malformed_request"


class OutcomeBody(msgspec.Struct, frozen=True):
    """Body of a refusal or failure of a service request."""

    outcome: str
    reason: str
    detail: str


def service_response(outcome: Outcome) -> Response:
    """Return the response to a service request with ``outcome``."""
    if isinstance(outcome, Answered):
        return _backend_response(outcome, outcome.headers)
    is_refused = isinstance(outcome, Refused)
    body = OutcomeBody(
        outcome="refused" if is_refused else "failed",
        reason=outcome.reason,
        detail=outcome.detail,
    )
    headers: Headers = (
        ("content-type", "application/json"),
        (HEADER_RAN, RAN_NO if is_refused else RAN_UNKNOWN),
        (HEADER_REASON, str(outcome.reason)),
    )
    if outcome.reason not in FINAL_REFUSALS:
        headers += (
            (HEADER_RETRY_AFTER_MS, str(round(outcome.retry_after * MILLISECONDS))),
            ("retry-after", str(math.ceil(outcome.retry_after))),
        )
    return Response(service_request_status(outcome), headers, msgspec.json.encode(body))


def malformed_service_response(detail: str, status: int = STATUS_BAD_REQUEST) -> Response:
    """Return the response to a malformed service request, which has not run."""
    body = OutcomeBody(outcome="refused", reason=REASON_MALFORMED, detail=detail)
    headers = (
        ("content-type", "application/json"),
        (HEADER_RAN, RAN_NO),
        (HEADER_REASON, REASON_MALFORMED),
    )
    return Response(status, headers, msgspec.json.encode(body))


def host_response(outcome: Outcome) -> Response:
    """Return the response to a host request with ``outcome``."""
    if isinstance(outcome, Answered):
        headers = tuple(item for item in outcome.headers if item[0] != HEADER_DOWNSTREAM)
        return _backend_response(outcome, headers)
    text = f"{outcome.reason}: {outcome.detail}" if outcome.detail else str(outcome.reason)
    return _text_response(host_request_status(outcome), text, _retry_after_of(outcome))


def malformed_host_response(detail: str, status: int) -> Response:
    """Return the response to a malformed host request."""
    return _text_response(status, detail, 0.0)


def _retry_after_of(outcome: Refused | Failed) -> float:
    return outcome.retry_after if isinstance(outcome, Refused) else 0.0


def _text_response(status: int, text: str, retry_after_seconds: float) -> Response:
    headers: Headers = (("content-type", "text/plain"),)
    if status in STATUSES_WITH_RETRY_AFTER:
        headers += (("retry-after", f"{retry_after_seconds:.3f}"),)
    return Response(status, headers, text.encode("utf-8", "replace"))


def _backend_response(answered: Answered, headers: Headers) -> Response:
    return Response(answered.status, headers, answered.body, answered.has_length)
