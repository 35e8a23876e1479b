"""The daemon beside a back end: takes calls from links, admits them, runs them, answers them.

Decisions are the gate's; what runs at most once is the ledger's. This module moves each call
from one step to the next and answers it exactly once.
"""

import asyncio
import random
import secrets
from collections.abc import Callable
from functools import partial

import msgspec

from finchshed.admission.effects import GateEffect, Start
from finchshed.admission.gate import Gate
from finchshed.admission.load_report import LoadReport
from finchshed.admission.paths import PathThresholds
from finchshed.admission.rank import with_admitted_fraction
from finchshed.admission.threshold_rule import ThresholdRule
from finchshed.common.outcomes import (
    Answered,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.common.results import CallResult, result_of
from finchshed.daemon import metrics
from finchshed.daemon.backend.client import (
    Backend,
    BackendAnswer,
    BackendBroken,
    BackendResult,
    BackendUnreached,
)
from finchshed.daemon.backend.request import backend_request, outcome_of, with_downstream
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.decision_log import is_signed, log_backend_ended, log_call
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.accounts import ServedRequests
from finchshed.daemon.serving.call_admission import CallAdmission
from finchshed.daemon.serving.crash_watch import BrokenRun, CrashWatch
from finchshed.daemon.serving.guarded import GuardedRuns
from finchshed.daemon.serving.suspect_queue import SuspectQueue, Turn
from finchshed.daemon.serving.work import Work, WorkState
from finchshed.daemon.settings import DaemonSettings
from finchshed.daemon.signatures import Signatures
from finchshed.http.status import STATUS_MISDIRECTED_REQUEST
from finchshed.limit.concurrency import slots_to_use
from finchshed.link.digests import digest_of
from finchshed.link.listener import AcceptedLink
from finchshed.link.messages import (
    Call,
    Reply,
)
from finchshed.quarantine.messages import CrashRecord
from finchshed.quarantine.register import Suspicion
from finchshed.retry.policy import retry_after
from finchshed.runtime import clock
from finchshed.session.table import SessionTable

CRASH_BYTES = 6
"""Random part of the name of a crash where back ends don't tell who they are."""

TICK_SECONDS = 0.02
"""How often deadlines in the queue and the threshold are looked at while there is a queue."""


class Callee:
    """Serves calls of other daemons with the local back end.

    Parameters
    ----------
    backend
        Client to the back end.
    paths
        Thresholds that requests meet further down.
    guarded
        Runs what may not be repeated.
    on_backend_answer
        Called with each answer of the back end.
    names
        Names of the headers of requests that were taken by host.
    quarantine
        Tells which requests crash back ends, and is told of crashes.

    Attributes
    ----------
    on_backend_fault
        Called with the instance that was meant and a result that isn't a whole answer, or one of
        another instance.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        *,
        backend: Backend,
        guarded: GuardedRuns,
        served: ServedRequests,
        paths: PathThresholds,
        rng: random.Random,
        on_backend_answer: Callable[[BackendAnswer], None],
        revision: Callable[[], int],
        names: HeaderNames,
        signatures: Signatures,
        quarantine: Quarantine,
    ) -> None:
        self._settings = settings
        self._backend = backend
        self._guarded = guarded
        self._served = served
        self._paths = paths
        self._rng = rng
        self._on_backend_answer = on_backend_answer
        self._revision = revision
        self._names = names
        self._signatures = signatures
        self._quarantine = quarantine
        self._suspects = SuspectQueue()
        self._crash_watch = CrashWatch(backend, self._on_crash)
        self.on_backend_fault: Callable[[str, BackendResult], None] = _ignore_fault
        # Demand is estimated from admitted fractions, which only calls by host carry.
        rule = ThresholdRule.BY_DEMAND if settings.registers_backend else ThresholdRule.BY_QUEUE
        self._gate = Gate(1, rng, clock.now(), threshold_rule=rule)
        self._admission = CallAdmission(settings, rng)
        self._works: dict[int, Work] = {}
        self._by_call: dict[tuple[str, int], Work] = {}
        self._ticker: asyncio.TimerHandle | None = None

    @property
    def draining(self) -> bool:
        """Whether no new work is taken."""
        return self._admission.draining

    @draining.setter
    def draining(self, value: bool) -> None:
        self._admission.draining = value

    def start_serving(self) -> None:
        """Take calls from now on."""
        self._admission.may_serve = True

    @property
    def in_progress(self) -> int:
        """Calls not answered yet."""
        return len(self._works)

    @property
    def sessions(self) -> int:
        """Sessions pinned to this back end."""
        return len(self._admission.sessions)

    def end_sessions(self) -> None:
        """Send the sessions away: their requests are refused as draining from now on."""
        self._admission.sessions = SessionTable()

    def configure(self, catalogue: Catalogue) -> None:
        """Act on a new configuration."""
        self._admission.catalogue = catalogue
        endpoint = catalogue.endpoints.get(self._settings.endpoint)
        if endpoint is not None:
            self._gate.set_slots(endpoint.slots)

    def serve_instance(self, instance: str, service: str, slots: int) -> None:
        """Serve with this start of the back end from now on."""
        self._admission.service = service
        self._admission.instance = instance
        if slots:
            self._gate.set_slots(slots_to_use(slots))

    def turn_away_waiting(self) -> None:
        """Send what waits for the back end elsewhere; it has not run."""
        for work in list(self._works.values()):
            if work.state is WorkState.QUEUED and work.is_by_host:
                self._dequeue(work)
                self._answer(work, self._admission.refused(RefusalReason.DRAINING))

    def load_report(self) -> LoadReport:
        """Return the load as callers are told."""
        now = clock.now()
        report = self._gate.load_report(now, self._paths.report(now))
        if self.draining and not report.draining:
            return msgspec.structs.replace(report, draining=True)
        return report

    def expire_sessions(self) -> None:
        """End the sessions that have been idle for long."""
        self._admission.sessions.expire(clock.now())

    def _arm_tick(self) -> None:
        """Look after the queue and the threshold for as long as there is either."""
        if self._ticker is None:
            loop = asyncio.get_running_loop()
            self._ticker = loop.call_later(TICK_SECONDS, self._on_tick)

    def _on_tick(self) -> None:
        self._ticker = None
        now = clock.now()
        self._apply(self._gate.tick(now))
        if self._gate.queued or self._gate.load_report(now).threshold:
            self._arm_tick()

    def take(self, link: AcceptedLink, call: Call) -> None:
        """Take a call that came in."""
        now = clock.now()
        work = self._admission.admit(link, call, now)
        if isinstance(work, Refused):
            spare = call.context.spare_attempts
            self._send_reply(link, call, work, spare, self.load_report())
            return
        self._works[work.token] = work
        self._by_call[call.epoch, call.call] = work
        work.signature = self._signatures.signer(call)
        judgement = self._quarantine.judge(work.signature)
        if judgement.suspicion is Suspicion.QUARANTINED:
            detail = f"{judgement.crashes} back ends ended under it"
            self._answer(work, Refused(RefusalReason.QUARANTINED, judgement.seconds, detail))
        elif judgement.suspicion is Suspicion.SUSPECT:
            self._take_suspect(work)
        else:
            self._queue(work, now)

    def _take_suspect(self, work: Work) -> None:
        """Have a suspect wait until no other one runs here."""
        match self._suspects.enter(work.token):
            case Turn.RUNS:
                self._queue(work, clock.now())
            case Turn.REFUSED:
                self._answer(work, self._admission.refused(RefusalReason.SUSPECTS_WAIT))
            case Turn.WAITS:
                pass  # until its turn comes, in _forget

    def _queue(self, work: Work, now: float) -> None:
        path_threshold = self._paths.threshold(work.route, now)
        work.context = with_admitted_fraction(work.context, path_threshold)
        self._apply(self._gate.arrive(work.token, work.context, now, path_threshold))
        if self._gate.queued:
            self._arm_tick()

    def give_up(self, link: AcceptedLink, call_identity: int) -> None:
        """Drop a call whose caller has given up or is gone."""
        work = self._by_call.get((link.epoch, call_identity))
        if work is None:
            return
        work.abandoned = True
        if work.state is WorkState.QUEUED:
            self._dequeue(work)
            self._forget(work)
        elif work.state is WorkState.AT_BACKEND and work.repeatable:
            if work.cancel_backend is not None:
                work.cancel_backend()
            self._end(work, CallResult.CANCELLED)

    def _dequeue(self, work: Work) -> None:
        """Take a call that was not started out of what waits."""
        if not self._suspects.is_waiting(work.token):
            self._apply(self._gate.cancel(work.token, clock.now()))

    def _apply(self, effects: list[GateEffect]) -> None:
        for effect in effects:
            work = self._works.get(effect.token)
            if work is None:
                continue
            if isinstance(effect, Start):
                if work.in_session:
                    self._admission.sessions.admit(work.call.context.session)
                self._start(work)
            else:
                refused = Refused(effect.reason, effect.retry_after)
                self._answer(work, refused)

    def _start(self, work: Work) -> None:
        judgement = self._quarantine.judge(work.signature)
        if judgement.suspicion is Suspicion.QUARANTINED:
            # Back ends ended under its other tries while it was queued here.
            self._finish(work, Refused(RefusalReason.QUARANTINED, judgement.seconds))
            return
        metrics.QUEUE_DELAY.observe(clock.now() - work.arrived)
        if work.repeatable or work.is_by_host:
            self._send_to_backend(work)
        else:
            work.state = WorkState.ASKING_LEDGER
            self._guarded.begin(work, self._send_to_backend, self._finish)

    def _send_to_backend(self, work: Work) -> None:
        call = work.call
        work.state = WorkState.AT_BACKEND
        work.started = clock.now()
        work.served = self._served.open(work.context, work.deadline, call.identity)
        self._paths.on_start(work.served.account, work.route)
        instance = self._admission.instance
        remaining = work.deadline - clock.now()
        request = backend_request(work, remaining, self._names, instance)
        work.cancel_backend = self._backend.send(
            request, lambda result: self._on_backend_result(work, instance, result)
        )

    def _on_backend_result(self, work: Work, instance: str, result: BackendResult) -> None:
        if not isinstance(result, BackendBroken):
            self._settle_result(work, instance, result)
            return
        then = partial(self._settle_result, work, instance, result)
        self._crash_watch.on_broken(instance, BrokenRun(work.signature(), then))

    def _on_crash(self, instance: str, signatures: list[str]) -> None:
        """Note that the back end ended while it ran these."""
        metrics.BACKEND_ENDED.inc()
        crash = instance or f"{self._settings.endpoint}-{secrets.token_hex(CRASH_BYTES)}"
        log_backend_ended(crash, self._admission.service, signatures)
        self._quarantine.on_crash(crash, signatures)
        self.on_backend_fault(instance, BackendUnreached("it ended", is_refused=True))

    def _settle_result(self, work: Work, instance: str, result: BackendResult) -> None:
        if work.state is not WorkState.AT_BACKEND:
            return
        if isinstance(result, BackendAnswer):
            self._on_backend_answer(result)
            if result.ran:
                self._quarantine.on_completed(work.signature)
        if not isinstance(result, BackendAnswer) or result.status == STATUS_MISDIRECTED_REQUEST:
            self.on_backend_fault(instance, result)
        outcome = outcome_of(result, retry_after(0.0, self._rng))
        if work.is_by_host and work.served is not None:
            outcome = with_downstream(outcome, self._served.has_failed_call(work.served.account))
        if work.repeatable or work.is_by_host:
            self._finish(work, outcome)
            return
        work.state = WorkState.RECORDING
        # The back end is done with the request; waiting for the ledger must not hold its slot.
        self._apply(self._gate.finish(work.token, result_of(outcome), clock.now()))
        self._guarded.settle(work, outcome, self._finish)

    def _finish(self, work: Work, outcome: Outcome) -> None:
        """Answer a call that was started, and free its slot."""
        if work.state is WorkState.DONE:
            return
        spare = self._end(work, result_of(outcome))
        self._reply_to(work, outcome, spare)

    def _answer(self, work: Work, outcome: Refused) -> None:
        """Answer a call that was never started."""
        self._forget(work)
        if work.opens_session:
            self._admission.sessions.refuse(work.call.context.session)
        self._reply_to(work, outcome, work.call.context.spare_attempts)

    def _end(self, work: Work, result: CallResult) -> int:
        """Forget a started call and free its slot; return the spare attempts left."""
        spare = work.call.context.spare_attempts
        if work.served is not None:
            spare = self._served.close(work.served.account)
            self._paths.on_end(work.served.account, answered=result is CallResult.OK)
        self._forget(work)
        self._apply(self._gate.finish(work.token, result, clock.now()))
        return spare

    def _reply_to(self, work: Work, outcome: Outcome, spare: int) -> None:
        load = self.load_report()
        signature = work.signature() if is_signed(outcome) else ""
        log_call(
            work, outcome, self._admission.instance, load, self._gate.running, signature=signature
        )
        record = self._quarantine.record_of(work.signature)
        self._send_reply(work.link, work.call, outcome, spare, load, crash_record=record)

    def _forget(self, work: Work) -> None:
        work.state = WorkState.DONE
        work.cancel_backend = None
        self._works.pop(work.token, None)
        self._by_call.pop((work.call.epoch, work.call.call), None)
        if work.in_session:
            self._admission.sessions.on_answer(work.call.context.session, clock.now())
        due = self._works.get(self._suspects.leave(work.token) or 0)
        if due is not None:
            self._queue(due, clock.now())

    def _send_reply(
        self,
        link: AcceptedLink,
        call: Call,
        outcome: Outcome,
        spare: int,
        load: LoadReport,
        *,
        crash_record: CrashRecord | None = None,
    ) -> None:
        digest = digest_of(outcome.body) if isinstance(outcome, Answered) else ""
        link.reply(
            Reply(
                epoch=call.epoch,
                call=call.call,
                outcome=outcome,
                spare_attempts=spare,
                load=load,
                digest=digest,
                revision=self._revision(),
                crash_record=crash_record,
            )
        )
        metrics.count_served(call.service, call.context.importance, outcome)


def _ignore_fault(instance: str, result: BackendResult) -> None:
    """Stand in where nobody keeps track of the back end's starts."""
