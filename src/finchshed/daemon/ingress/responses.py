"""Outcomes of calls as HTTP responses to the local back end and outside callers."""

import math

import msgspec

from finchshed.common.context import HEADER_RAN, HEADER_REASON, HEADER_RETRY_AFTER_MS
from finchshed.common.outcomes import (
    FINAL_REFUSALS,
    Answered,
    Failed,
    FailureReason,
    Headers,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.http.message import Response
from finchshed.http.status import (
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_CONTENT_TOO_LARGE,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_SERVICE_UNAVAILABLE,
    STATUS_TOO_MANY_REQUESTS,
    STATUS_UNPROCESSABLE_CONTENT,
)

RAN_NO = "no"
RAN_UNKNOWN = "unknown"
REASON_MALFORMED = "malformed_request"

_REFUSAL_STATUS = {
    RefusalReason.SESSION_LIMIT: STATUS_TOO_MANY_REQUESTS,
    RefusalReason.UNKNOWN_ROUTE: STATUS_NOT_FOUND,
    RefusalReason.REQUEST_TOO_LARGE: STATUS_CONTENT_TOO_LARGE,
    RefusalReason.KEY_MISSING: STATUS_BAD_REQUEST,
    RefusalReason.KEY_INVALID: STATUS_BAD_REQUEST,
    RefusalReason.KEY_EXPIRED: STATUS_CONFLICT,
    RefusalReason.KEY_REUSED: STATUS_UNPROCESSABLE_CONTENT,
}
_FAILURE_STATUS = {
    FailureReason.DEADLINE: STATUS_GATEWAY_TIMEOUT,
    FailureReason.OUTCOME_UNKNOWN: STATUS_CONFLICT,
}


class OutcomeBody(msgspec.Struct, frozen=True):
    """Body of a response that is not the back end's answer."""

    outcome: str
    reason: str
    detail: str


def response_of(outcome: Outcome) -> Response:
    """Return the HTTP response that tells ``outcome``."""
    if isinstance(outcome, Answered):
        return Response(outcome.status, outcome.headers, outcome.body, outcome.has_length)
    if isinstance(outcome, Refused):
        status = _REFUSAL_STATUS.get(outcome.reason, STATUS_SERVICE_UNAVAILABLE)
        return _without_answer("refused", outcome, status, RAN_NO)
    status = _FAILURE_STATUS.get(outcome.reason, STATUS_BAD_GATEWAY)
    return _without_answer("failed", outcome, status, RAN_UNKNOWN)


def _without_answer(name: str, outcome: Refused | Failed, status: int, ran: str) -> Response:
    body = OutcomeBody(outcome=name, reason=outcome.reason, detail=outcome.detail)
    headers: Headers = (
        ("content-type", "application/json"),
        (HEADER_RAN, ran),
        (HEADER_REASON, str(outcome.reason)),
    )
    if outcome.reason not in FINAL_REFUSALS:
        headers += (
            (HEADER_RETRY_AFTER_MS, str(round(outcome.retry_after * 1000))),
            ("retry-after", str(math.ceil(outcome.retry_after))),
        )
    return Response(status, headers, msgspec.json.encode(body))


def malformed_response(detail: str, status: int = STATUS_BAD_REQUEST) -> Response:
    """Return the response to bytes that are no request: nothing has run."""
    body = OutcomeBody(outcome="refused", reason=REASON_MALFORMED, detail=detail)
    headers = (
        ("content-type", "application/json"),
        (HEADER_RAN, RAN_NO),
        (HEADER_REASON, REASON_MALFORMED),
    )
    return Response(status, headers, msgspec.json.encode(body))
