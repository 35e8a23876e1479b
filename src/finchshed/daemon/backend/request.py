"""Converts calls into back-end requests, and back-end results into outcomes.

A result becomes a refusal if the request certainly did not run, and a failure if it may have.
"""

import msgspec

from finchshed.common.context import (
    HEADER_ACCOUNT,
    HEADER_CALLER,
    HEADER_DEADLINE,
    HEADER_DOWNSTREAM,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_IMPORTANCE,
    HEADER_ROOT,
    HEADER_SESSION,
)
from finchshed.common.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Headers,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.common.results import SERVER_ERROR
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendAnswerTooLarge,
    BackendRequest,
    BackendResult,
    BackendTimedOut,
    BackendUnreached,
)
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.serving.inbound_call import InboundCall
from finchshed.http.status import NOT_RUN_STATUSES


def service_headers(inbound: InboundCall, remaining: float) -> Headers:
    """Return the headers of a request routed by service, with ``remaining`` seconds left."""
    context = inbound.call.context
    account = inbound.served.account if inbound.served is not None else ""
    headers = [
        *inbound.call.headers,
        (HEADER_ROOT, context.root),
        (HEADER_ACCOUNT, account),
        (HEADER_DEADLINE, str(max(0, int(remaining * 1000)))),
        (HEADER_IMPORTANCE, str(int(context.importance))),
    ]
    if context.caller:
        headers.append((HEADER_CALLER, context.caller))
    if context.session:
        headers.append((HEADER_SESSION, context.session))
    if context.key:
        headers.append((HEADER_IDEMPOTENCY_KEY, context.key))
    return tuple(headers)


def host_headers(
    inbound: InboundCall, remaining: float, names: HeaderNames, instance: str
) -> Headers:
    """Return the headers of a request routed by host, which only ``instance`` may run."""
    headers = (*inbound.call.headers, (names.deadline, str(max(0, int(remaining * 1000)))))
    return (*headers, (names.expected_instance, instance)) if instance else headers


def backend_request(
    inbound: InboundCall, remaining: float, names: HeaderNames, instance: str
) -> BackendRequest:
    """Return the request to back-end instance ``instance``, with ``remaining`` seconds left."""
    call = inbound.call
    account = inbound.served.account if inbound.served is not None else ""
    if inbound.is_by_host:
        headers = host_headers(inbound, remaining, names, instance)
    else:
        headers = service_headers(inbound, remaining)
    return BackendRequest(
        method=call.method,
        path=call.path,
        headers=headers,
        body=call.body,
        timeout_seconds=remaining,
        max_answer_bytes=inbound.max_body_bytes,
        is_repeatable=inbound.repeatable,
        account="" if inbound.is_by_host else account,
        request_id=call.identity,
    )


def outcome_from_result(result: BackendResult, retry_delay: float) -> Outcome:
    """Return the outcome of a result; ``retry_delay`` is in seconds."""
    if isinstance(result, BackendAnswer):
        if result.ran:
            return Answered(result.status, result.headers, result.body, result.has_length)
        return Refused(RefusalReason.BACKEND_REFUSED, retry_delay)
    if isinstance(result, BackendUnreached):
        return Refused(RefusalReason.CONNECT_FAILED, retry_delay, result.detail)
    if isinstance(result, BackendTimedOut):
        return Failed(FailureReason.DEADLINE, retry_delay)
    if isinstance(result, BackendAnswerTooLarge):
        return Failed(FailureReason.ANSWER_TOO_LARGE, retry_delay)
    return Failed(FailureReason.BACKEND_BROKEN, retry_delay, result.detail)


def without_unmade_promise(outcome: Outcome, retry_delay: float) -> Outcome:
    """Return ``outcome``, or a failure if its status promises what the back end didn't.

    For a request by host that may run only once. Its client concludes from some statuses that the
    request did not run, and sends it again; a back end that doesn't say so may have run it.
    ``retry_delay`` is in seconds.
    """
    if not isinstance(outcome, Answered) or outcome.status not in NOT_RUN_STATUSES:
        return outcome
    detail = f"status {outcome.status}, and no word that it did not run"
    return Failed(FailureReason.OUTCOME_UNKNOWN, retry_delay, detail)


def with_downstream_failure(outcome: Outcome, has_failed_call: bool) -> Outcome:
    """Return ``outcome``, marked if it is a server error and a call made for it failed."""
    if not has_failed_call or not isinstance(outcome, Answered) or outcome.status < SERVER_ERROR:
        return outcome
    headers = (*outcome.headers, (HEADER_DOWNSTREAM, "1"))
    return msgspec.structs.replace(outcome, headers=headers)
