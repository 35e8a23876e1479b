"""Outcomes of calls as HTTP responses to the local back end and outside callers.

A request that names its service is answered with a JSON body and headers that say whether it ran;
a request by host with a line of text, as its callers know nothing of finchshed.
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
    status_by_host,
    status_by_service,
)
from finchshed.http.message import Response
from finchshed.http.status import STATUS_BAD_REQUEST

RAN_NO = "no"
RAN_UNKNOWN = "unknown"
REASON_MALFORMED = "malformed_request"


class OutcomeBody(msgspec.Struct, frozen=True):
    """Body of a response that is not the back end's answer."""

    outcome: str
    reason: str
    detail: str


def response_by_service(outcome: Outcome) -> Response:
    """Return the response that tells ``outcome`` to a caller that named the service."""
    if isinstance(outcome, Answered):
        return _answer(outcome, outcome.headers)
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
    return Response(status_by_service(outcome), headers, msgspec.json.encode(body))


def malformed_by_service(detail: str, status: int = STATUS_BAD_REQUEST) -> Response:
    """Return the response to bytes that are no request: nothing has run."""
    body = OutcomeBody(outcome="refused", reason=REASON_MALFORMED, detail=detail)
    headers = (
        ("content-type", "application/json"),
        (HEADER_RAN, RAN_NO),
        (HEADER_REASON, REASON_MALFORMED),
    )
    return Response(status, headers, msgspec.json.encode(body))


def response_by_host(outcome: Outcome) -> Response:
    """Return the response that tells ``outcome`` to a caller by host."""
    if isinstance(outcome, Answered):
        headers = tuple(item for item in outcome.headers if item[0] != HEADER_DOWNSTREAM)
        return _answer(outcome, headers)
    text = f"{outcome.reason}: {outcome.detail}" if outcome.detail else str(outcome.reason)
    return _text(status_by_host(outcome), text, _retry_after_of(outcome))


def malformed_by_host(detail: str, status: int) -> Response:
    """Return the response to bytes that are no request."""
    return _text(status, detail, 0.0)


def _retry_after_of(outcome: Refused | Failed) -> float:
    return outcome.retry_after if isinstance(outcome, Refused) else 0.0


def _text(status: int, text: str, retry_after_seconds: float) -> Response:
    headers: Headers = (("content-type", "text/plain"),)
    if status in STATUSES_WITH_RETRY_AFTER:
        headers += (("retry-after", f"{retry_after_seconds:.3f}"),)
    return Response(status, headers, text.encode("utf-8", "replace"))


def _answer(answered: Answered, headers: Headers) -> Response:
    return Response(answered.status, headers, answered.body, answered.has_length)
