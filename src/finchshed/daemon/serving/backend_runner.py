"""Runs admitted calls at the back end: quarantine check, ledger grant, send, result.

The callee is notified when a call finishes; it releases the slot and sends the reply.
"""

import random
import secrets
from collections.abc import Callable
from functools import partial

from finchshed.admission.path_thresholds import PathThresholds
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
from finchshed.daemon.backend.events import AnswerEvent, BackendEvents
from finchshed.daemon.backend.request import (
    backend_request,
    outcome_from_result,
    with_downstream_failure,
    without_unmade_promise,
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
from finchshed.directory.instance_run import InstanceRun
from finchshed.http.status import STATUS_MISDIRECTED_REQUEST
from finchshed.quarantine.register import Suspicion
from finchshed.retry.policy import retry_after
from finchshed.runtime import clock

CRASH_ID_BYTES = 6
"""Random bytes in the ID of a crash at a back end that doesn't register its instance."""


class BackendRunner:
    """Sends calls to the back end and handles their results.

    Parameters
    ----------
    endpoint
        Name of the declared endpoint; prefixes crash IDs of back ends that don't register.
    admission
        Holds the back-end instance that serves calls.
    events
        Receives answers and faults of the back end.
    on_slot_free
        Called when a call's slot can be released before the call is answered.
    on_finished
        Called with each started call and its outcome.

    Attributes
    ----------
    is_rate_limited
        Whether the back end currently names a rate limit.
    """

    def __init__(
        self,
        endpoint: str,
        *,
        backend: BackendClient,
        at_most_once: AtMostOnceRunner,
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
        self.is_rate_limited = False
        self._endpoint = endpoint
        self._backend = backend
        self._at_most_once = at_most_once
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

    def start(self, inbound: InboundCall) -> None:
        """Run a call admitted by the gate."""
        assessment = self._quarantine.check(inbound.signature)
        if assessment.suspicion is Suspicion.QUARANTINED:
            # Other attempts of the request crashed back ends while this one was queued.
            self._on_finished(inbound, Refused(RefusalReason.QUARANTINED, assessment.seconds))
            return
        metrics.QUEUE_DELAY.observe(clock.now() - inbound.arrived)
        if inbound.repeatable or inbound.is_by_host:
            self._send(inbound)
        else:
            inbound.state = InboundCallState.ASKING_LEDGER
            self._at_most_once.begin(inbound, self._send, self._on_finished)

    def _send(self, inbound: InboundCall) -> None:
        call = inbound.call
        inbound.state = InboundCallState.AT_BACKEND
        inbound.started = clock.now()
        if self.is_rate_limited:
            metrics.RATE_LIMITED_SENT.inc()
        inbound.served = self._served.open(inbound.context, inbound.deadline, call.identity)
        self._paths.on_start(inbound.served.account, inbound.route)
        run = self._admission.run
        remaining = inbound.deadline - clock.now()
        request = backend_request(inbound, remaining, self._names, run.instance)
        inbound.cancel_backend = self._backend.send(
            request, lambda result: self._on_result(inbound, run, result)
        )

    def _on_result(self, inbound: InboundCall, run: InstanceRun, result: BackendResult) -> None:
        if not isinstance(result, BackendBroken):
            self._finish(inbound, run, result)
            return
        metrics.BROKEN_ANSWERS.labels(result.cause).inc()
        resume = partial(self._finish, inbound, run, result)
        self._crash_detector.on_interrupted(run, InterruptedRequest(inbound.signature(), resume))

    def _on_crash(self, run: InstanceRun, signatures: list[str]) -> None:
        """Record a crash of the back end while it ran requests with these signatures."""
        metrics.BACKEND_ENDED.inc()
        crash = run.label or f"{self._endpoint}-{secrets.token_hex(CRASH_ID_BYTES)}"
        log_backend_ended(run.instance or crash, self._admission.service, signatures)
        self._quarantine.on_crash(crash, signatures)
        self._events.publish_fault(run, BackendUnreached("the back end crashed", is_refused=True))

    def _finish(self, inbound: InboundCall, run: InstanceRun, result: BackendResult) -> None:
        if inbound.state is not InboundCallState.AT_BACKEND:
            return
        inbound.result = result
        self._report(inbound, run, result)
        retry_delay = retry_after(0.0, self._rng)
        outcome = outcome_from_result(result, retry_delay)
        if inbound.is_by_host and inbound.served is not None:
            outcome = with_downstream_failure(
                outcome, self._served.has_failed_call(inbound.served.account)
            )
            if not inbound.repeatable:
                outcome = without_unmade_promise(outcome, retry_delay)
        if inbound.repeatable or inbound.is_by_host:
            self._on_finished(inbound, outcome)
            return
        inbound.state = InboundCallState.RECORDING
        # The back end has finished; waiting for the ledger must not occupy the slot.
        self._on_slot_free(inbound, result_of(outcome))
        self._at_most_once.record(inbound, outcome, self._on_finished)

    def _report(self, inbound: InboundCall, run: InstanceRun, result: BackendResult) -> None:
        """Publish a result to the followers of the back end's state and to the quarantine."""
        if not isinstance(result, BackendAnswer) or result.status == STATUS_MISDIRECTED_REQUEST:
            self._events.publish_fault(run, result)
            return
        request = inbound.call.identity or inbound.call.context.root
        self._events.publish_answer(AnswerEvent(result, run, request, inbound.started))
        if result.ran:
            self._quarantine.on_completed(inbound.signature)
