"""Turns the ends of requests and calls into lines of the log.

Whatever did not end well is logged; of what did, a sample that is the same on every hop. Owns
nothing; relies on the log stream, which may be off.
"""

import time
from collections.abc import Sequence

from finchshed.admission.load_report import LoadReport
from finchshed.admission.rank import rank_of
from finchshed.common.outcomes import Answered, Failed, Outcome, RefusalReason, Refused
from finchshed.common.results import SERVER_ERROR
from finchshed.common.units import MILLISECONDS
from finchshed.configuration.resources import HostRoute
from finchshed.daemon.request import Request
from finchshed.daemon.serving.inbound_call import InboundCall
from finchshed.observability import log_stream
from finchshed.observability.decisions import AttemptRecord, BackendEnded, CallEnded, RequestEnded
from finchshed.runtime import clock

REFUSALS_WITH_SIGNATURE = frozenset({RefusalReason.QUARANTINED, RefusalReason.SUSPECTS_WAIT})
"""Refusals that are due to the request itself."""

MAX_LOGGED_SIGNATURES = 64
"""Requests that a line about a back end's end names; it stays under 2 kB. Chosen, not measured."""


def outcome_name(outcome: Outcome) -> str:
    """Return the word for an outcome."""
    if isinstance(outcome, Answered):
        return "answered"
    return "refused" if isinstance(outcome, Refused) else "failed"


def is_failure(outcome: Outcome) -> bool:
    """Return whether a caller gets less than it asked for."""
    return not isinstance(outcome, Answered) or outcome.status >= SERVER_ERROR


def is_logged(request: Request, outcome: Outcome) -> bool:
    """Return whether the end of a request with ``outcome`` is logged: any failure, and a sample."""
    if not log_stream.is_on():
        return False
    return is_failure(outcome) or log_stream.is_sampled(request.context.root)


def includes_signature(outcome: Outcome) -> bool:
    """Return whether the line of an end names the request's signature: it may be due to it."""
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
    """Log the end of a request at the daemon that took it."""
    if not is_logged(request, outcome):
        return
    reason, detail, status, retry_after = _fields_of(outcome)
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
        retry_after_ms=retry_after,
        is_call=request.context.is_call,
        revision=revision,
        tenant=request.tenant,
        signature=signature,
        attempts=tuple(attempts),
    )
    log_stream.emit(record, is_failure=is_failure(outcome))


def log_refusal(
    identity: str, route: HostRoute | None, refused: Refused, revision: int, tenant: str = ""
) -> None:
    """Log that a request by host was refused before a service was chosen for it."""
    if not log_stream.is_on():
        return
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
    log_stream.emit(record, is_failure=True)


def log_call(
    work: InboundCall,
    outcome: Outcome,
    instance: str,
    load: LoadReport,
    running: int,
    *,
    signature: str = "",
) -> None:
    """Log the end of a call at the daemon beside the back end."""
    failed = is_failure(outcome)
    context = work.call.context
    if not log_stream.is_on() or not (failed or log_stream.is_sampled(context.root)):
        return
    reason, detail, status, _ = _fields_of(outcome)
    now = clock.now()
    started = work.started
    record = CallEnded(
        time=time.time(),
        id=work.call.identity or context.root,
        root=context.root,
        service=work.call.service,
        instance=instance,
        outcome=outcome_name(outcome),
        queued_ms=round(((started or now) - work.arrived) * MILLISECONDS, 2),
        ran_ms=round((now - started) * MILLISECONDS, 2) if started else -1.0,
        reason=reason,
        detail=detail,
        status=status,
        rank=rank_of(context),
        threshold=load.threshold,
        running=running,
        queued=load.in_flight - running,
        limit=load.limit,
        caller=work.link.peer.node if work.link.peer is not None else "",
        signature=signature,
    )
    log_stream.emit(record, is_failure=failed)


def log_backend_ended(instance: str, service: str, signatures: Sequence[str]) -> None:
    """Log that the back end beside this daemon ended, and what it was running."""
    named = tuple(signatures[:MAX_LOGGED_SIGNATURES])
    record = BackendEnded(time.time(), instance, service, len(signatures), named)
    log_stream.emit(record, is_failure=True)


def _fields_of(outcome: Outcome) -> tuple[str, str, int, float]:
    """Return reason, detail, status and milliseconds until a caller is to come back."""
    if isinstance(outcome, Answered):
        return "", "", outcome.status, 0.0
    wait = round(outcome.retry_after * MILLISECONDS, 1) if isinstance(outcome, Refused) else 0.0
    return str(outcome.reason), outcome.detail, 0, wait
