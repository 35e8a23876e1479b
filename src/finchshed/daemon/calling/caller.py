"""The caller's side of the daemon: has requests that came in over HTTP answered by endpoints.

Owns the calls in progress that repeats may join, and the pins of sessions. Relies on
:mod:`finchshed.routing` for the choice of an endpoint and on the retry budgets for what is tried
again.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import msgspec

from finchshed.admission.path_thresholds import PathThresholds
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.common.results import CallResult, result_of
from finchshed.daemon import metrics
from finchshed.daemon.calling.daemon_links import DaemonLinks
from finchshed.daemon.calling.outgoing import OutgoingCall
from finchshed.daemon.calling.pins import SessionPins
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.decision_log import is_signed, log_request
from finchshed.daemon.quarantine import Quarantine, Signer
from finchshed.daemon.request import Request
from finchshed.daemon.serving.accounts import ServedRequests
from finchshed.daemon.serving.ledger_port import fingerprint_of
from finchshed.daemon.signatures import Signatures
from finchshed.retry.buckets import RetryBuckets
from finchshed.retry.policy import retry_after
from finchshed.routing.caller import CallStateMachine
from finchshed.routing.table import RoutingTable
from finchshed.runtime import clock


@dataclass(frozen=True, slots=True)
class JoinKey:
    """What makes two requests of a caller the same one."""

    service: str
    caller: str
    identity: str


@dataclass(frozen=True, slots=True)
class _StartedCall:
    """What the end of a call needs of its start.

    ``account`` is that of the request it is made for, or empty; ``lent_attempts`` are the spare
    attempts that account lent it.
    """

    request: Request
    account: str
    lent_attempts: int
    key: JoinKey | None
    signature: Signer


class Caller:
    """Starts calls and joins repeats.

    Parameters
    ----------
    table
        Endpoints as this daemon sees them.
    served
        Retry accounts of requests the local back end is serving.
    paths
        Learns what those requests call on.
    quarantine
        Tells which requests crash back ends.
    """

    def __init__(
        self,
        table: RoutingTable,
        links: DaemonLinks,
        served: ServedRequests,
        paths: PathThresholds,
        rng: random.Random,
        *,
        signatures: Signatures,
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
        self._pins = SessionPins()
        self._joinable: dict[JoinKey, tuple[OutgoingCall, str]] = {}
        self.in_progress = 0

    def configure(self, catalogue: Catalogue) -> None:
        """Act on a new configuration."""
        self._catalogue = catalogue
        self._retries.configure(catalogue.policy)

    def share_with(self, daemons: int) -> None:
        """Divide bounds by the number of daemons, this one included."""
        self._retries.set_daemon_count(daemons)

    def expire_sessions(self) -> None:
        """Forget sessions that have been idle for long."""
        self._pins.expire(clock.now())

    def call(
        self,
        request: Request,
        account: str,
        join_identity: str,
        on_outcome: Callable[[Outcome], None],
    ) -> Callable[[], None]:
        """Have ``request`` answered; ``on_outcome`` is called once. Return what gives it up.

        Parameters
        ----------
        account
            Account of the request being served that calls on, or empty for a root request.
        join_identity
            Identity under which a repeat joins the request in progress, or empty.
        """
        if account:
            request = _announcing(
                request, self._paths.on_call(account, request.service, request.route)
            )
            if self._served.is_repeat(account, _call_name(request)):
                if request.context.spare_attempts < 1:
                    on_outcome(Refused(RefusalReason.RETRIES_SPENT, self._retry_after()))
                    return _nothing
                request = _paying_one(request)
        if not join_identity:
            return self._start(request, account, None).wait(on_outcome)
        key = JoinKey(request.service, request.context.caller, join_identity)
        fingerprint = fingerprint_of(request.method, request.path, request.body)
        held = self._joinable.get(key)
        if held is not None:
            lent = request.context.spare_attempts
            self._served.give_back(account, lent, lent)
            return self._join(held, fingerprint, on_outcome)
        call = self._start(request, account, key)
        if not call.is_over:
            self._joinable[key] = (call, fingerprint)
        return call.wait(on_outcome)

    def _join(
        self,
        held: tuple[OutgoingCall, str],
        fingerprint: str,
        on_outcome: Callable[[Outcome], None],
    ) -> Callable[[], None]:
        call, held_fingerprint = held
        if held_fingerprint != fingerprint:
            detail = "another request of this identity is in progress"
            on_outcome(Refused(RefusalReason.KEY_REUSED, self._retry_after(), detail))
            return _nothing
        metrics.JOINED.inc()
        return call.wait(on_outcome)

    def _start(self, request: Request, account: str, key: JoinKey | None) -> OutgoingCall:
        lent_attempts = request.context.spare_attempts
        if request.in_session:
            conditions = self._pins.conditions_for(request)
            request = msgspec.structs.replace(request, headers=request.headers + conditions)
        signature = self._signatures.signer(request)
        started = _StartedCall(request, account, lent_attempts, key, signature)
        call = OutgoingCall(
            request,
            self._logic_of(request, signature),
            self._links,
            partial(self._on_finished, started),
            self._retry_after,
            on_crash_record=self._quarantine.on_answer,
        )
        self.in_progress += 1
        call.begin()
        if request.in_session and not call.is_over:
            self._pin(request, call.endpoint)
        return call

    def _logic_of(self, request: Request, signature: Signer) -> CallStateMachine:
        """Return what decides where the call goes, and whether it is tried again."""
        return CallStateMachine(
            self._table,
            self._retries.bucket(request.service, clock.now()),
            request.service,
            request.context,
            repeatable=request.repeatable,
            rng=self._rng,
            pinned=self._pins.endpoint_of(request, self._table, clock.now()),
            route=request.route,
            target_seconds=request.target_seconds,
            signature=signature,
            assess=partial(self._quarantine.judge, signature),
        )

    def _on_finished(
        self, started: _StartedCall, call: OutgoingCall, outcome: Outcome, spare: int
    ) -> None:
        """Count and log the end of a call, and give back the spare attempts that are left."""
        request = started.request
        self.in_progress -= 1
        if started.key is not None:
            self._joinable.pop(started.key, None)
        if request.in_session:
            self._pins.end(request, call.endpoint, outcome, clock.now())
        metrics.count_call(request.service, request.context.importance, outcome)
        log_request(
            request,
            outcome,
            call.seconds,
            call.attempts,
            self._catalogue.revision,
            signature=started.signature() if is_signed(outcome) else "",
        )
        if started.account:
            self._served.give_back(started.account, started.lent_attempts, spare)
            if result_of(outcome) is not CallResult.OK:
                self._served.on_call_failed(started.account, _call_name(request))

    def _pin(self, request: Request, endpoint: str) -> None:
        service = self._catalogue.service(request.service)
        if service is not None:
            idle_seconds = service.session_idle_seconds
            self._pins.begin(request, endpoint, idle_seconds, clock.now())

    def _retry_after(self) -> float:
        return retry_after(0.0, self._rng)


def _call_name(request: Request) -> str:
    return f"{request.service} {request.method} {request.path}"


def _announcing(request: Request, calls: float) -> Request:
    """Return a call that stands for ``calls`` in estimates of demand."""
    context = msgspec.structs.replace(request.context, announced_calls=calls)
    return msgspec.structs.replace(request, context=context)


def _paying_one(request: Request) -> Request:
    """Return the request with one spare attempt less: a repeat the back end makes by itself."""
    context = request.context
    paid = msgspec.structs.replace(context, spare_attempts=context.spare_attempts - 1)
    return msgspec.structs.replace(request, context=paid)


def _nothing() -> None:
    """Give up a call that is over."""
