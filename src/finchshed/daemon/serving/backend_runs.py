"""Runs admitted calls at the back end: quarantine and ledger first, then the send, then the result.

Owns what is at the back end and what ends with it: the crash detector. Relies on the ledger for
what may run at most once, and reports each end to the callee, which frees the slot and answers.
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
from finchshed.daemon.backend.events import BackendEvents
from finchshed.daemon.backend.request import backend_request, outcome_of, with_downstream
from finchshed.daemon.decision_log import log_backend_ended
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.accounts import ServedRequests
from finchshed.daemon.serving.call_admission import CallAdmission
from finchshed.daemon.serving.crash_detection import BrokenRun, CrashDetector
from finchshed.daemon.serving.guarded import GuardedRuns
from finchshed.daemon.serving.work import Work
from finchshed.daemon.serving.work_state import WorkState
from finchshed.http.status import STATUS_MISDIRECTED_REQUEST
from finchshed.quarantine.register import Suspicion
from finchshed.retry.policy import retry_after
from finchshed.runtime import clock

CRASH_BYTES = 6
"""Random bytes in the name of a crash where back ends don't tell who they are."""


class BackendRuns:
    """Calls on their way to the back end and back.

    Parameters
    ----------
    endpoint
        Name of the declared endpoint, for crashes of back ends that don't register.
    admission
        Knows the instance that calls are served by.
    events
        Is told of answers and faults.
    on_run_over
        Called where the slot of a call is free before the call is answered.
    on_finished
        Called with each call that was started, and its outcome.
    """

    def __init__(
        self,
        endpoint: str,
        *,
        backend: BackendClient,
        guarded: GuardedRuns,
        served: ServedRequests,
        paths: PathThresholds,
        admission: CallAdmission,
        events: BackendEvents,
        quarantine: Quarantine,
        names: HeaderNames,
        rng: random.Random,
        on_run_over: Callable[[Work, CallResult], None],
        on_finished: Callable[[Work, Outcome], None],
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
        self._on_run_over = on_run_over
        self._on_finished = on_finished
        self._crash_detector = CrashDetector(backend, self._on_crash)

    def start(self, work: Work) -> None:
        """Run a call that the gate started."""
        judgement = self._quarantine.judge(work.signature)
        if judgement.suspicion is Suspicion.QUARANTINED:
            # Back ends ended under its other tries while it was queued here.
            self._on_finished(work, Refused(RefusalReason.QUARANTINED, judgement.seconds))
            return
        metrics.QUEUE_DELAY.observe(clock.now() - work.arrived)
        if work.repeatable or work.is_by_host:
            self._send(work)
        else:
            work.state = WorkState.ASKING_LEDGER
            self._guarded.begin(work, self._send, self._on_finished)

    def _send(self, work: Work) -> None:
        call = work.call
        work.state = WorkState.AT_BACKEND
        work.started = clock.now()
        work.served = self._served.open(work.context, work.deadline, call.identity)
        self._paths.on_start(work.served.account, work.route)
        instance = self._admission.instance
        remaining = work.deadline - clock.now()
        request = backend_request(work, remaining, self._names, instance)
        work.cancel_backend = self._backend.send(
            request, lambda result: self._on_result(work, instance, result)
        )

    def _on_result(self, work: Work, instance: str, result: BackendResult) -> None:
        if not isinstance(result, BackendBroken):
            self._settle(work, instance, result)
            return
        then = partial(self._settle, work, instance, result)
        self._crash_detector.on_broken(instance, BrokenRun(work.signature(), then))

    def _on_crash(self, instance: str, signatures: list[str]) -> None:
        """Note that the back end ended while it ran these."""
        metrics.BACKEND_ENDED.inc()
        crash = instance or f"{self._endpoint}-{secrets.token_hex(CRASH_BYTES)}"
        log_backend_ended(crash, self._admission.service, signatures)
        self._quarantine.on_crash(crash, signatures)
        self._events.failed(instance, BackendUnreached("it ended", is_refused=True))

    def _settle(self, work: Work, instance: str, result: BackendResult) -> None:
        if work.state is not WorkState.AT_BACKEND:
            return
        self._report(work, instance, result)
        outcome = outcome_of(result, retry_after(0.0, self._rng))
        if work.is_by_host and work.served is not None:
            outcome = with_downstream(outcome, self._served.has_failed_call(work.served.account))
        if work.repeatable or work.is_by_host:
            self._on_finished(work, outcome)
            return
        work.state = WorkState.RECORDING
        # The back end is done with the request; waiting for the ledger must not hold its slot.
        self._on_run_over(work, result_of(outcome))
        self._guarded.settle(work, outcome, self._on_finished)

    def _report(self, work: Work, instance: str, result: BackendResult) -> None:
        """Pass on what a result shows of the back end and of the request."""
        if isinstance(result, BackendAnswer):
            self._events.answered(result)
            if result.ran:
                self._quarantine.on_completed(work.signature)
        if not isinstance(result, BackendAnswer) or result.status == STATUS_MISDIRECTED_REQUEST:
            self._events.failed(instance, result)
