"""Runs admitted calls at the back end: quarantine and ledger first, then the send, then the result.

Owns what is at the back end and what ends with it: the crash detector. Relies on the ledger for
what may run at most once, and reports each end to the callee, which frees the slot and answers.
"""

import random
import secrets
from collections.abc import Callable
from functools import partial

from finchshed.admission.paths import PathThresholds
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.common.results import CallResult, result_of
from finchshed.daemon import metrics
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendBroken,
    BackendClient,
    BackendResult,
    BackendUnreached,
)
from finchshed.daemon.backend.events import BackendEvents
from finchshed.daemon.backend.request import (
    backend_request,
    outcome_from_result,
    with_downstream_failure,
)
from finchshed.daemon.decision_log import log_backend_ended
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.at_most_once import AtMostOnceRunner
from finchshed.daemon.serving.call_admission import CallAdmission
from finchshed.daemon.serving.crash_detection import CrashDetector, InterruptedRequest
from finchshed.daemon.serving.inbound_call import InboundCall
from finchshed.daemon.serving.inbound_call_state import InboundCallState
from finchshed.daemon.serving.served_requests import ServedRequests
from finchshed.http.status import STATUS_MISDIRECTED_REQUEST
from finchshed.quarantine.register import Suspicion
from finchshed.retry.policy import retry_after
from finchshed.runtime import clock

CRASH_ID_BYTES = 6
"""Random bytes in the name of a crash where back ends don't tell who they are."""


class BackendRunner:
    """Calls on their way to the back end and back.

    Parameters
    ----------
    endpoint
        Name of the declared endpoint, for crashes of back ends that don't register.
    admission
        Knows the instance that calls are served by.
    events
        Is told of answers and faults.
    on_slot_free
        Called where the slot of a call is free before the call is answered.
    on_finished
        Called with each call that was started, and its outcome.
    """

    def __init__(
        self,
        endpoint: str,
        *,
        backend: BackendClient,
        guarded: AtMostOnceRunner,
        served: ServedRequests,
        paths: PathThresholds,
        admission: CallAdmission,
        events: BackendEvents,
        quarantine: Quarantine,
        names: HeaderNames,
        rng: random.Random,
        on_slot_free: Callable[[InboundCall, CallResult], None],
        on_finished: Callable[[InboundCall, Outcome], None],
    ) -> None:
        self._endpoint = endpoint
        self._backend = backend
        self._guarded = guarded
        self._served = served
        self._paths = paths
        self._admission = admission
        self._events = events
        self._quarantine = quarantine
        self._names = names
        self._rng = rng
        self._on_slot_free = on_slot_free
        self._on_finished = on_finished
        self._crash_detector = CrashDetector(backend, self._on_crash)

    def start(self, work: InboundCall) -> None:
        """Run a call that the gate started."""
        judgement = self._quarantine.check(work.signature)
        if judgement.suspicion is Suspicion.QUARANTINED:
            # Back ends ended under its other tries while it was queued here.
            self._on_finished(work, Refused(RefusalReason.QUARANTINED, judgement.seconds))
            return
        metrics.QUEUE_DELAY.observe(clock.now() - work.arrived)
        if work.repeatable or work.is_by_host:
            self._send(work)
        else:
            work.state = InboundCallState.ASKING_LEDGER
            self._guarded.begin(work, self._send, self._on_finished)

    def _send(self, work: InboundCall) -> None:
        call = work.call
        work.state = InboundCallState.AT_BACKEND
        work.started = clock.now()
        work.served = self._served.open(work.context, work.deadline, call.identity)
        self._paths.on_start(work.served.account, work.route)
        instance = self._admission.instance
        remaining = work.deadline - clock.now()
        request = backend_request(work, remaining, self._names, instance)
        work.cancel_backend = self._backend.send(
            request, lambda result: self._on_result(work, instance, result)
        )

    def _on_result(self, work: InboundCall, instance: str, result: BackendResult) -> None:
        if not isinstance(result, BackendBroken):
            self._finish(work, instance, result)
            return
        then = partial(self._finish, work, instance, result)
        self._crash_detector.on_interrupted(instance, InterruptedRequest(work.signature(), then))

    def _on_crash(self, instance: str, signatures: list[str]) -> None:
        """Note that the back end ended while it ran these."""
        metrics.BACKEND_ENDED.inc()
        crash = instance or f"{self._endpoint}-{secrets.token_hex(CRASH_ID_BYTES)}"
        log_backend_ended(crash, self._admission.service, signatures)
        self._quarantine.on_crash(crash, signatures)
        self._events.publish_fault(instance, BackendUnreached("it ended", is_refused=True))

    def _finish(self, work: InboundCall, instance: str, result: BackendResult) -> None:
        if work.state is not InboundCallState.AT_BACKEND:
            return
        self._report(work, instance, result)
        outcome = outcome_from_result(result, retry_after(0.0, self._rng))
        if work.is_by_host and work.served is not None:
            outcome = with_downstream_failure(
                outcome, self._served.has_failed_call(work.served.account)
            )
        if work.repeatable or work.is_by_host:
            self._on_finished(work, outcome)
            return
        work.state = InboundCallState.RECORDING
        # The back end is done with the request; waiting for the ledger must not hold its slot.
        self._on_slot_free(work, result_of(outcome))
        self._guarded.record(work, outcome, self._on_finished)

    def _report(self, work: InboundCall, instance: str, result: BackendResult) -> None:
        """Pass on what a result shows of the back end and of the request."""
        if isinstance(result, BackendAnswer):
            self._events.publish_answer(result)
            if result.ran:
                self._quarantine.on_completed(work.signature)
        if not isinstance(result, BackendAnswer) or result.status == STATUS_MISDIRECTED_REQUEST:
            self._events.publish_fault(instance, result)
