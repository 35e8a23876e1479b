"""Sends requests received over HTTP to endpoints and returns their outcomes.

Duplicate requests in progress are coalesced here, and session pins are kept here. Endpoint
selection is in :mod:`finchshed.routing`, retry policy in :mod:`finchshed.retry`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import msgspec

from finchshed.admission.path_thresholds import PathThresholds
from finchshed.common.context import CallContext
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.common.results import CallResult, result_of
from finchshed.daemon import metrics
from finchshed.daemon.calling.daemon_links import DaemonLinks
from finchshed.daemon.calling.outgoing_call import OutgoingCall
from finchshed.daemon.calling.retry_log import RetryDenialLog
from finchshed.daemon.calling.session_pins import SessionPins
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.decision_log import includes_signature, log_request
from finchshed.daemon.quarantine import LazySignature, Quarantine
from finchshed.daemon.request import Request
from finchshed.daemon.serving.ledger_port import fingerprint_of
from finchshed.daemon.serving.served_requests import ServedRequests
from finchshed.daemon.signatures import SignatureFactory
from finchshed.retry.buckets import RetryBuckets, RetryTokens
from finchshed.retry.policy import retry_after
from finchshed.retry.spending import RetryFigures
from finchshed.routing.caller import CallStateMachine
from finchshed.routing.table import RoutingTable
from finchshed.runtime import clock


@dataclass(frozen=True, slots=True)
class JoinKey:
    """Identifies a request, so that a duplicate joins the one in progress."""

    service: str
    caller: str
    identity: str


@dataclass(frozen=True, slots=True)
class _StartedCall:
    """State captured when a call starts and used when it ends.

    ``account`` is the retry account of the parent request, or empty for a root request;
    ``allocated_attempts`` is the number of retries that account allocated to the call.
    """

    request: Request
    account: str
    allocated_attempts: int
    key: JoinKey | None
    signature: LazySignature


class Caller:
    """Starts calls and coalesces duplicates.

    Parameters
    ----------
    table
        Routing state of the known endpoints.
    served
        Requests the local back end is serving, with their retry accounts.
    paths
        Records which routes those requests call.
    quarantine
        Decides whether a request may be sent, given the back ends that crashed while running it.
    """

    def __init__(
        self,
        table: RoutingTable,
        links: DaemonLinks,
        served: ServedRequests,
        paths: PathThresholds,
        rng: random.Random,
        *,
        signatures: SignatureFactory,
        quarantine: Quarantine,
    ) -> None:
        self._signatures = signatures
        self._quarantine = quarantine
        self._table = table
        self._links = links
        self._served = served
        self._paths = paths
        self._rng = rng
        self._catalogue = Catalogue()
        self._retries = RetryBuckets(self._catalogue.policy)
        self._denials = RetryDenialLog()
        self._pins = SessionPins()
        self._joinable: dict[JoinKey, tuple[OutgoingCall, str]] = {}
        self._calls: dict[OutgoingCall, None] = {}

    @property
    def in_progress(self) -> int:
        """Number of calls that haven't ended."""
        return len(self._calls)

    def stop(self) -> None:
        """End all calls because the daemon ends."""
        for call in list(self._calls):
            call.stop()

    def configure(self, catalogue: Catalogue) -> None:
        """Apply a new configuration."""
        self._catalogue = catalogue
        self._retries.configure(catalogue.policy)

    def set_daemon_count(self, daemons: int) -> None:
        """Set the number of daemons, including this one, that share the retry budgets."""
        self._retries.set_daemon_count(daemons)

    def retry_figures(self) -> dict[str, RetryFigures]:
        """Return the present state of the retries by service, for display."""
        return self._retries.figures(clock.now())

    def retry_tokens(self, now: float) -> tuple[RetryTokens, ...]:
        """Return the tokens for retries at each service that has been called."""
        return self._retries.tokens(now)

    def expire_sessions(self) -> None:
        """Drop sessions that exceeded their idle timeout."""
        self._pins.expire(clock.now())

    def call(
        self,
        request: Request,
        account: str,
        join_identity: str,
        on_outcome: Callable[[Outcome], None],
    ) -> Callable[[], None]:
        """Send ``request`` and call ``on_outcome`` once; return a function that cancels it.

        Parameters
        ----------
        account
            Retry account of the parent request, or empty for a root request.
        join_identity
            Identity under which duplicates join the request in progress, or empty.
        """
        is_retry = False
        if account:
            request = self._with_expected_calls(request, account)
            if self._served.is_repeat(account, _call_key(request)):
                if request.context.spare_attempts < 1:
                    on_outcome(Refused(RefusalReason.RETRIES_SPENT, self._retry_after()))
                    return _no_op
                request = _with_one_retry_spent(request)
                is_retry = True
        if not join_identity:
            call = self._start(request, account, None, is_retry=is_retry)
            return call.add_waiter(on_outcome)
        key = JoinKey(request.service, request.context.caller, join_identity)
        fingerprint = fingerprint_of(request.method, request.path, request.body)
        existing = self._joinable.get(key)
        if existing is not None:
            allocated = request.context.spare_attempts
            self._served.refund(account, allocated, allocated)
            return self._join(existing, fingerprint, on_outcome)
        call = self._start(request, account, key, is_retry=is_retry)
        if not call.is_over:
            self._joinable[key] = (call, fingerprint)
        return call.add_waiter(on_outcome)

    def _join(
        self,
        existing: tuple[OutgoingCall, str],
        fingerprint: str,
        on_outcome: Callable[[Outcome], None],
    ) -> Callable[[], None]:
        call, existing_fingerprint = existing
        if existing_fingerprint != fingerprint:
            detail = "another request of this identity is in progress"
            on_outcome(Refused(RefusalReason.KEY_REUSED, self._retry_after(), detail))
            return _no_op
        metrics.JOINED.inc()
        return call.add_waiter(on_outcome)

    def _with_expected_calls(self, request: Request, account: str) -> Request:
        """Return the request with the calls that it represents and that remain after it."""
        expected = self._paths.on_call(account, request.service, request.route)
        context = request.context
        remaining = context.remaining_calls
        if self._retries.is_refilled_by_requests:
            remaining += expected.remaining_calls
        context = msgspec.structs.replace(
            context, announced_calls=expected.weight, remaining_calls=remaining
        )
        return msgspec.structs.replace(request, context=context)

    def _start(
        self, request: Request, account: str, key: JoinKey | None, *, is_retry: bool
    ) -> OutgoingCall:
        allocated_attempts = request.context.spare_attempts
        if request.in_session:
            conditions = self._pins.range_conditions(request)
            request = msgspec.structs.replace(request, headers=request.headers + conditions)
        signature = self._signatures.lazy_signature(request)
        started = _StartedCall(request, account, allocated_attempts, key, signature)
        call = OutgoingCall(
            request,
            self._caller_logic(request, signature, is_retry=is_retry),
            self._links,
            partial(self._on_finished, started),
            self._retry_after,
            on_crash_record=self._quarantine.on_answer,
        )
        self._calls[call] = None
        call.start()
        if request.in_session and not call.is_over:
            self._pin(request, call.endpoint)
        return call

    def _caller_logic(
        self, request: Request, signature: LazySignature, *, is_retry: bool
    ) -> CallStateMachine:
        """Return the state machine that selects endpoints and decides on retries."""
        return CallStateMachine(
            self._table,
            self._retries.limit(request.service, clock.now()),
            request.service,
            self._with_own_calls(request),
            repeatable=request.repeatable,
            rng=self._rng,
            pinned=self._pins.pinned_endpoint(request, self._table, clock.now()),
            route=request.route,
            target_seconds=request.target_seconds,
            signature=signature,
            assess=partial(self._quarantine.check, signature),
            is_retry=is_retry,
        )

    def _with_own_calls(self, request: Request) -> CallContext:
        """Return the context in which retries are decided: own calls of the request also remain.

        They are known only where the local back end serves the route. They aren't sent, because the
        callee knows them. Only the names of routes by host are unique among services.
        """
        context = request.context
        if not self._retries.is_refilled_by_requests or not request.is_by_host:
            return context
        own = self._paths.expected_calls(request.route)
        if own == 0:
            return context
        return msgspec.structs.replace(context, remaining_calls=context.remaining_calls + own)

    def _on_finished(
        self, started: _StartedCall, call: OutgoingCall, outcome: Outcome, spare: int
    ) -> None:
        """Count and log a finished call, and return its unused retries."""
        request = started.request
        del self._calls[call]
        if started.key is not None:
            self._joinable.pop(started.key, None)
        if request.in_session:
            self._pins.on_request_ended(request, call.endpoint, outcome, clock.now())
        metrics.count_call(request.service, request.context.importance, outcome)
        self._count_retries(request, call)
        log_request(
            request,
            outcome,
            call.seconds,
            call.attempts,
            self._catalogue.revision,
            signature=started.signature() if includes_signature(outcome) else "",
        )
        if started.account:
            self._served.refund(started.account, started.allocated_attempts, spare)
            if result_of(outcome) is not CallResult.OK:
                self._served.on_call_failed(started.account, _call_key(request))
            elif self._retries.is_refilled_by_requests:
                self._paths.on_call_answered(
                    started.account, request.service, request.route, call.calls_below
                )

    def _count_retries(self, request: Request, call: OutgoingCall) -> None:
        """Count the retries of a finished call, and log a denied one with its inputs."""
        retries = call.retries
        metrics.count_retries(request.context.importance, retries.granted, retries.denied)
        now = clock.now()
        if not retries.denied or not self._denials.is_due(request.service, now):
            return
        figures = self._retries.figures_of(request.service, now)
        if figures is not None:
            self._denials.on_denied(request.service, figures, now)

    def _pin(self, request: Request, endpoint: str) -> None:
        service = self._catalogue.service(request.service)
        if service is not None:
            idle_seconds = service.session_idle_seconds
            self._pins.on_request_sent(request, endpoint, idle_seconds, clock.now())

    def _retry_after(self) -> float:
        return retry_after(0.0, self._rng)


def _call_key(request: Request) -> str:
    return f"{request.service} {request.method} {request.path}"


def _with_one_retry_spent(request: Request) -> Request:
    """Return the request with one retry fewer, spent on a retry made by the back end itself."""
    context = request.context
    paid = msgspec.structs.replace(context, spare_attempts=context.spare_attempts - 1)
    return msgspec.structs.replace(request, context=paid)


def _no_op() -> None:
    """Cancel nothing: the call is over."""
