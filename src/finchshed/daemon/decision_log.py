"""Records finished requests and calls, in memory and in the log stream if that is enabled.

Failures are always recorded; successes are sampled by root request, consistently on every hop.
"""

import time
from collections.abc import Sequence

from finchshed.admission.load_report import LoadReport
from finchshed.admission.rank import rank_of
from finchshed.common.outcomes import Answered, Failed, Outcome, RefusalReason, Refused
from finchshed.common.results import SERVER_ERROR
from finchshed.common.units import MILLISECONDS
from finchshed.configuration.resources import HostRoute
from finchshed.daemon.backend.client import BackendAnswer, BackendBroken, BackendResult
from finchshed.daemon.recent_decisions import DecisionRecord, RecentDecisions
from finchshed.daemon.request import Request
from finchshed.daemon.serving.inbound_call import InboundCall
from finchshed.observability import log_stream
from finchshed.observability.decisions import (
    AttemptRecord,
    BackendEnded,
    CallEnded,
    RequestEnded,
    ReturnTold,
    SendingRecord,
)
from finchshed.retry.reservations import ReturnTime
from finchshed.runtime import clock

REFUSALS_WITH_SIGNATURE = frozenset({RefusalReason.QUARANTINED, RefusalReason.SUSPECTS_WAIT})
"""Refusals caused by the request itself."""

MAX_LOGGED_SIGNATURES = 64
"""Maximum number of signatures in the record of a back-end crash; keeps it below 2 kB."""


recent = RecentDecisions()
"""Recent records of this process."""


def outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome, as used in logs."""
    if isinstance(outcome, Answered):
        return "answered"
    return "refused" if isinstance(outcome, Refused) else "failed"


def is_failure(outcome: Outcome) -> bool:
    """Return whether an outcome is a refusal, a failure or a server error."""
    return not isinstance(outcome, Answered) or outcome.status >= SERVER_ERROR


def is_logged(request: Request, outcome: Outcome) -> bool:
    """Return whether a request with ``outcome`` is logged: failures always, successes sampled."""
    return is_failure(outcome) or log_stream.is_sampled(request.context.root)


def includes_signature(outcome: Outcome) -> bool:
    """Return whether the log record includes the signature: the request may be the cause."""
    if isinstance(outcome, Refused):
        return outcome.reason in REFUSALS_WITH_SIGNATURE
    return isinstance(outcome, Failed)


def log_request(
    request: Request,
    outcome: Outcome,
    seconds: float,
    attempts: Sequence[AttemptRecord],
    revision: int,
    *,
    signature: str = "",
) -> None:
    """Log a finished request at the daemon that received it."""
    if not is_logged(request, outcome):
        return
    reason, detail, status, retry_after_ms = _fields_of(outcome)
    record = RequestEnded(
        time=time.time(),
        id=request.identity or request.context.root,
        root=request.context.root,
        service=request.service,
        route=request.route,
        importance=int(request.context.importance),
        outcome=outcome_name(outcome),
        ms=round(seconds * MILLISECONDS, 2),
        reason=reason,
        detail=detail,
        status=status,
        retry_after_ms=retry_after_ms,
        is_call=request.context.is_call,
        revision=revision,
        tenant=request.tenant,
        signature=signature,
        attempts=tuple(attempts),
    )
    _record(record, is_failure=is_failure(outcome))


def log_refusal(
    identity: str, route: HostRoute | None, refused: Refused, revision: int, tenant: str = ""
) -> None:
    """Log a request by host that was refused before a call was sent for it."""
    record = RequestEnded(
        time=time.time(),
        id=identity,
        root=identity,
        service="",
        route="" if route is None else route.name,
        importance=-1 if route is None else int(route.importance),
        outcome=outcome_name(refused),
        ms=0.0,
        reason=str(refused.reason),
        detail=refused.detail,
        retry_after_ms=round(refused.retry_after * MILLISECONDS, 1),
        revision=revision,
        tenant=tenant,
    )
    _record(record, is_failure=True)


def log_return_told(
    request: Request,
    reason: RefusalReason,
    told: ReturnTime,
    *,
    returned: str,
    left_seconds: float | None,
) -> None:
    """Log the retry-after time of a refused request, with its inputs."""
    if not log_stream.is_enabled():
        return
    record = ReturnTold(
        time=time.time(),
        id=request.identity or request.context.root,
        service=request.service,
        importance=int(request.context.importance),
        reason=str(reason),
        retry_after_ms=round(told.seconds * MILLISECONDS, 1),
        is_reserved=told.is_reserved,
        returned=returned,
        requests_per_second=round(told.rate, 1),
        ahead=told.ahead,
        left_ms=-1.0 if left_seconds is None else round(left_seconds * MILLISECONDS, 1),
    )
    log_stream.emit(record, is_failure=True)


def log_call(
    inbound: InboundCall,
    outcome: Outcome,
    instance: str,
    load: LoadReport,
    running: int,
    *,
    signature: str = "",
) -> None:
    """Log a finished call at the daemon that served it."""
    failed = is_failure(outcome)
    context = inbound.call.context
    if not (failed or log_stream.is_sampled(context.root)):
        return
    reason, detail, status, _ = _fields_of(outcome)
    now = clock.now()
    started = inbound.started
    record = CallEnded(
        time=time.time(),
        id=inbound.call.identity or context.root,
        root=context.root,
        service=inbound.call.service,
        instance=instance,
        outcome=outcome_name(outcome),
        queued_ms=round(((started or now) - inbound.arrived) * MILLISECONDS, 2),
        ran_ms=round((now - started) * MILLISECONDS, 2) if started else -1.0,
        reason=reason,
        detail=detail,
        status=status,
        rank=rank_of(context),
        threshold=load.threshold,
        running=running,
        queued=load.in_flight - running,
        limit=load.limit,
        caller=inbound.link.peer.node if inbound.link.peer is not None else "",
        signature=signature,
        sending=_sending_of(inbound.result),
    )
    _record(record, is_failure=failed)


def log_backend_ended(instance: str, service: str, signatures: Sequence[str]) -> None:
    """Log a crash of the local back end and the requests it was running."""
    named = tuple(signatures[:MAX_LOGGED_SIGNATURES])
    record = BackendEnded(time.time(), instance, service, len(signatures), named)
    log_stream.emit(record, is_failure=True)


def _record(record: DecisionRecord, *, is_failure: bool) -> None:
    recent.add(record, clock.now())
    log_stream.emit(record, is_failure=is_failure)


def _sending_of(result: BackendResult | None) -> SendingRecord | None:
    if not isinstance(result, BackendAnswer | BackendBroken) or result.use is None:
        return None
    use = result.use
    if isinstance(result, BackendBroken):
        return SendingRecord(use.connection, use.request)
    return SendingRecord(use.connection, use.request, result.status, result.not_run_mark)


def _fields_of(outcome: Outcome) -> tuple[str, str, int, float]:
    """Return reason, detail, status and retry delay in milliseconds."""
    if isinstance(outcome, Answered):
        return "", "", outcome.status, 0.0
    retry_after_ms = (
        round(outcome.retry_after * MILLISECONDS, 1) if isinstance(outcome, Refused) else 0.0
    )
    return str(outcome.reason), outcome.detail, 0, retry_after_ms
