"""The daemon beside a back end: the way of a call from another daemon, from arrival to answer.

Owns the calls in progress. What may be served is decided by :mod:`call_admission`, what starts by
the gate, what runs at most once by the ledger; running is done by :mod:`backend_runs`, answering
by :mod:`replies`. This module moves each call from one to the next and answers it exactly once.
"""

import random
from collections.abc import Callable

from finchshed.admission.effects import GateEffect, Start
from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import PathThresholds
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.common.results import CallResult, result_of
from finchshed.daemon.backend.client import BackendClient
from finchshed.daemon.backend.events import BackendEvents
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.draining import DrainState
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.accounts import ServedRequests
from finchshed.daemon.serving.backend_runs import BackendRuns
from finchshed.daemon.serving.call_admission import CallAdmission
from finchshed.daemon.serving.gate_runner import GateRunner
from finchshed.daemon.serving.guarded import GuardedRuns
from finchshed.daemon.serving.replies import ReplySender
from finchshed.daemon.serving.suspect_queue import SuspectQueue, Turn
from finchshed.daemon.serving.work import Work
from finchshed.daemon.serving.work_state import WorkState
from finchshed.daemon.settings import DaemonSettings
from finchshed.daemon.signatures import Signatures
from finchshed.limit.concurrency import usable_slots
from finchshed.link.listener import AcceptedLink
from finchshed.link.messages import Call
from finchshed.quarantine.register import Suspicion
from finchshed.runtime import clock
from finchshed.session.table import SessionTable


class Callee:
    """Serves calls of other daemons with the local back end.

    Parameters
    ----------
    backend
        Client to the back end.
    guarded
        Runs what may not be repeated.
    paths
        Thresholds that requests meet further down.
    drain
        Says whether new calls are refused as draining.
    events
        Is told what calls show of the back end.
    revision
        Returns the revision in force.
    names
        Names of the headers of requests that were taken by host.
    quarantine
        Tells which requests crash back ends, and is told of crashes.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        *,
        backend: BackendClient,
        guarded: GuardedRuns,
        served: ServedRequests,
        paths: PathThresholds,
        rng: random.Random,
        drain: DrainState,
        events: BackendEvents,
        revision: Callable[[], int],
        names: HeaderNames,
        signatures: Signatures,
        quarantine: Quarantine,
    ) -> None:
        self._endpoint = settings.endpoint
        self._served = served
        self._paths = paths
        self._signatures = signatures
        self._quarantine = quarantine
        self._suspects = SuspectQueue()
        self._gate = GateRunner(settings, paths, rng, self._on_effect)
        self._admission = CallAdmission(settings, drain, rng)
        self._replies = ReplySender(
            self._admission, self._gate, drain=drain, quarantine=quarantine, revision=revision
        )
        self._runs = BackendRuns(
            settings.endpoint,
            backend=backend,
            guarded=guarded,
            served=served,
            paths=paths,
            admission=self._admission,
            events=events,
            quarantine=quarantine,
            names=names,
            rng=rng,
            on_run_over=self._on_run_over,
            on_finished=self._finish,
        )
        self._works: dict[int, Work] = {}
        self._by_call: dict[tuple[str, int], Work] = {}

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
        endpoint = catalogue.endpoints.get(self._endpoint)
        if endpoint is not None:
            self._gate.set_slots(endpoint.slots)

    def serve_instance(self, instance: str, service: str, slots: int) -> None:
        """Serve with this start of the back end from now on."""
        self._admission.service = service
        self._admission.instance = instance
        if slots:
            self._gate.set_slots(usable_slots(slots))

    def turn_away_waiting(self) -> None:
        """Send what waits for the back end elsewhere; it has not run."""
        for work in list(self._works.values()):
            if work.state is WorkState.QUEUED and work.is_by_host:
                self._dequeue(work)
                self._refuse(work, self._admission.refused(RefusalReason.DRAINING))

    def load_report(self) -> LoadReport:
        """Return the load that is reported to callers."""
        return self._replies.load_report()

    def expire_sessions(self) -> None:
        """End the sessions that have been idle for long."""
        self._admission.sessions.expire(clock.now())

    def on_call(self, link: AcceptedLink, call: Call) -> None:
        """Serve a call that came in."""
        now = clock.now()
        work = self._admission.admit(link, call, now)
        if isinstance(work, Refused):
            self._replies.refuse(link, call, work)
            return
        self._works[work.token] = work
        self._by_call[call.epoch, call.call] = work
        work.signature = self._signatures.signer(call)
        judgement = self._quarantine.judge(work.signature)
        if judgement.suspicion is Suspicion.QUARANTINED:
            detail = f"{judgement.crashes} back ends ended under it"
            self._refuse(work, Refused(RefusalReason.QUARANTINED, judgement.seconds, detail))
        elif judgement.suspicion is Suspicion.SUSPECT:
            self._enter_suspect(work)
        else:
            self._gate.enter(work, now)

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

    def _enter_suspect(self, work: Work) -> None:
        """Have a suspect wait until no other one runs here."""
        match self._suspects.enter(work.token):
            case Turn.RUNS:
                self._gate.enter(work, clock.now())
            case Turn.REFUSED:
                self._refuse(work, self._admission.refused(RefusalReason.SUSPECTS_WAIT))
            case Turn.WAITS:
                pass  # until its turn comes, in _forget

    def _dequeue(self, work: Work) -> None:
        """Take a call that was not started out of what waits."""
        if not self._suspects.is_waiting(work.token):
            self._gate.cancel(work.token)

    def _on_effect(self, effect: GateEffect) -> None:
        work = self._works.get(effect.token)
        if work is None:
            return
        if isinstance(effect, Start):
            if work.in_session:
                self._admission.sessions.admit(work.call.context.session)
            self._runs.start(work)
        else:
            self._refuse(work, Refused(effect.reason, effect.retry_after))

    def _on_run_over(self, work: Work, result: CallResult) -> None:
        self._gate.finish(work.token, result)

    def _finish(self, work: Work, outcome: Outcome) -> None:
        """Answer a call that was started, and free its slot."""
        if work.state is WorkState.DONE:
            return
        spare = self._end(work, result_of(outcome))
        self._replies.reply(work, outcome, spare)

    def _refuse(self, work: Work, refused: Refused) -> None:
        """Answer a call that was never started."""
        self._forget(work)
        if work.opens_session:
            self._admission.sessions.refuse(work.call.context.session)
        self._replies.reply(work, refused, work.call.context.spare_attempts)

    def _end(self, work: Work, result: CallResult) -> int:
        """Forget a started call and free its slot; return the spare attempts left."""
        spare = work.call.context.spare_attempts
        if work.served is not None:
            spare = self._served.close(work.served.account)
            self._paths.on_end(work.served.account, answered=result is CallResult.OK)
        self._forget(work)
        self._gate.finish(work.token, result)
        return spare

    def _forget(self, work: Work) -> None:
        work.state = WorkState.DONE
        work.cancel_backend = None
        self._works.pop(work.token, None)
        self._by_call.pop((work.call.epoch, work.call.call), None)
        if work.in_session:
            self._admission.sessions.on_answer(work.call.context.session, clock.now())
        due = self._works.get(self._suspects.leave(work.token) or 0)
        if due is not None:
            self._gate.enter(due, clock.now())
