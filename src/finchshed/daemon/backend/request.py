"""What the daemon sends the back end with a call, and what the back end's result means. Pure.

Here a result becomes an outcome: refused where it is known not to have run, failed where it may
have.
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


def service_headers(work: InboundCall, remaining: float) -> Headers:
    """Return the headers of the request to the back end, with ``remaining`` seconds left."""
    context = work.call.context
    account = work.served.account if work.served is not None else ""
    headers = [
        *work.call.headers,
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


def host_headers(work: InboundCall, remaining: float, names: HeaderNames, instance: str) -> Headers:
    """Return the headers of a request that was taken by host, meant for ``instance`` alone."""
    headers = (*work.call.headers, (names.deadline, str(max(0, int(remaining * 1000)))))
    return (*headers, (names.expected_instance, instance)) if instance else headers


def backend_request(
    work: InboundCall, remaining: float, names: HeaderNames, instance: str
) -> BackendRequest:
    """Return the request to the back end's start ``instance``, with ``remaining`` seconds left."""
    call = work.call
    account = work.served.account if work.served is not None else ""
    if work.is_by_host:
        headers = host_headers(work, remaining, names, instance)
    else:
        headers = service_headers(work, remaining)
    return BackendRequest(
        method=call.method,
        path=call.path,
        headers=headers,
        body=call.body,
        timeout_seconds=remaining,
        max_answer_bytes=work.max_body_bytes,
        is_repeatable=work.repeatable,
        account="" if work.is_by_host else account,
        request_id=call.identity,
    )


def outcome_from_result(result: BackendResult, wait: float) -> Outcome:
    """Return the outcome that a result means; ``wait`` is when to come back, seconds."""
    if isinstance(result, BackendAnswer):
        if result.ran:
            return Answered(result.status, result.headers, result.body, result.has_length)
        return Refused(RefusalReason.BACKEND_REFUSED, wait)
    if isinstance(result, BackendUnreached):
        return Refused(RefusalReason.CONNECT_FAILED, wait, result.detail)
    if isinstance(result, BackendTimedOut):
        return Failed(FailureReason.DEADLINE, wait)
    if isinstance(result, BackendAnswerTooLarge):
        return Failed(FailureReason.ANSWER_TOO_LARGE, wait)
    return Failed(FailureReason.BACKEND_BROKEN, wait, result.detail)


def with_downstream_failure(outcome: Outcome, has_failed_call: bool) -> Outcome:
    """Return ``outcome`` marked where a server error came of a call that was not answered."""
    if not has_failed_call or not isinstance(outcome, Answered) or outcome.status < SERVER_ERROR:
        return outcome
    headers = (*outcome.headers, (HEADER_DOWNSTREAM, "1"))
    return msgspec.structs.replace(outcome, headers=headers)
