"""Processes calls from other daemons and answers each exactly once.

A call passes :mod:`call_admission` (validity, drain, sessions), the quarantine, the admission gate
(:mod:`gate_runner`), :mod:`backend_runner`, and :mod:`replies`.
"""

import random
from collections.abc import Callable

from finchshed.admission.caller_shares import CallerShares
from finchshed.admission.effects import GateEffect, Start
from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_callers import PathCallers
from finchshed.admission.path_completion import PathCompletion
from finchshed.admission.path_thresholds import PathThresholds
from finchshed.common.memory_budget import HoldingKind, MemoryBudget
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.common.results import CallResult, result_of
from finchshed.configuration.resources import RetryRefill
from finchshed.daemon.backend.client import BackendClient
from finchshed.daemon.backend.events import BackendEvents
from finchshed.daemon.backend.rate_limit_monitor import RateLimitMonitor
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.draining import DrainState
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.memory import call_bytes
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.at_most_once import AtMostOnceRunner
from finchshed.daemon.serving.backend_runner import BackendRunner
from finchshed.daemon.serving.call_admission import CallAdmission
from finchshed.daemon.serving.gate_runner import GateRunner
from finchshed.daemon.serving.inbound_call import InboundCall
from finchshed.daemon.serving.inbound_call_state import InboundCallState
from finchshed.daemon.serving.replies import ReplySender
from finchshed.daemon.serving.served_requests import ServedRequests
from finchshed.daemon.serving.suspect_queue import SuspectDecision, SuspectQueue
from finchshed.daemon.settings import DaemonSettings
from finchshed.daemon.signatures import SignatureFactory
from finchshed.directory.instance_run import InstanceRun
from finchshed.limit.backend_load import BackendLoadRecord
from finchshed.limit.concurrency import usable_slots
from finchshed.link.listener import AcceptedLink
from finchshed.link.messages import Call
from finchshed.observability.load_page import GateSection
from finchshed.quarantine.register import Suspicion
from finchshed.runtime import clock
from finchshed.session.table import SessionTable


class Callee:
    """Serves calls of other daemons with the local back end.

    Parameters
    ----------
    backend
        Client of the back end.
    at_most_once
        Runs non-repeatable calls at most once.
    served
        Requests the back end is serving, with their retry accounts.
    paths
        Admission thresholds of the services that requests call downstream.
    completion
        Fraction of the requests whose calls are all accepted.
    path_callers
        Thresholds of callers there.
    drain
        Drain state; decides whether new calls are refused.
    events
        Receives answers and faults of the back end.
    revision
        Returns the active configuration revision.
    names
        Header names of requests routed by host.
    quarantine
        Requests that crashed back ends.
    rate_limit
        Rate limit that the back end names.
    memory
        Budget of the bodies of calls in progress.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        *,
        backend: BackendClient,
        at_most_once: AtMostOnceRunner,
        served: ServedRequests,
        paths: PathThresholds,
        path_callers: PathCallers,
        completion: PathCompletion,
        rng: random.Random,
        drain: DrainState,
        events: BackendEvents,
        revision: Callable[[], int],
        names: HeaderNames,
        signatures: SignatureFactory,
        quarantine: Quarantine,
        rate_limit: RateLimitMonitor,
        memory: MemoryBudget,
    ) -> None:
        self._memory = memory
        self._endpoint = settings.endpoint
        self._served = served
        self._paths = paths
        self._signatures = signatures
        self._quarantine = quarantine
        self._suspects = SuspectQueue()
        self._rate_limit = rate_limit
        rate_limit.on_change = self._on_rate_limit
        self._completion = completion
        self._gate = GateRunner(
            settings,
            paths,
            path_callers,
            completion=completion,
            rng=rng,
            on_effect=self._on_effect,
        )
        self._admission = CallAdmission(settings, drain, rng)
        self._replies = ReplySender(
            self._admission,
            self._gate,
            drain=drain,
            quarantine=quarantine,
            rate_limit=rate_limit,
            revision=revision,
        )
        self._runner = BackendRunner(
            settings.endpoint,
            backend=backend,
            at_most_once=at_most_once,
            served=served,
            paths=paths,
            admission=self._admission,
            events=events,
            quarantine=quarantine,
            names=names,
            rng=rng,
            on_slot_free=self._on_slot_free,
            on_finished=self._finish,
        )
        self._calls: dict[int, InboundCall] = {}
        self._by_call: dict[tuple[str, int], InboundCall] = {}

    def start_serving(self) -> None:
        """Start accepting calls."""
        self._admission.may_serve = True

    @property
    def run(self) -> InstanceRun:
        """Run of the back end that serves calls."""
        return self._admission.run

    @property
    def backend_load(self) -> BackendLoadRecord:
        """Load that the back end reports."""
        return self._gate.load

    @property
    def in_progress(self) -> int:
        """Number of calls not yet answered."""
        return len(self._calls)

    @property
    def sessions(self) -> int:
        """Number of sessions pinned to this back end."""
        return len(self._admission.sessions)

    @property
    def shares(self) -> CallerShares | None:
        """Shares of the callers; None unless the policy enables them."""
        return self._gate.shares

    def end_sessions(self) -> None:
        """End all sessions; their requests are refused as draining from now on."""
        self._admission.sessions = SessionTable()

    def configure(self, catalogue: Catalogue) -> None:
        """Apply a new configuration."""
        self._admission.catalogue = catalogue
        endpoint = catalogue.endpoints.get(self._endpoint)
        if endpoint is not None:
            self._gate.set_slots(endpoint.slots)
        self._gate.set_fair_shares(catalogue.caller_weights)
        self._completion.is_enabled = catalogue.policy.defers_unrepeatable

    def set_run(self, run: InstanceRun, service: str, slots: int) -> None:
        """Serve calls with this run of the back end from now on; 0 keeps the number of slots."""
        if not run.is_same(self._admission.run):
            self._rate_limit.start_run(run)
            self._gate.start_run()
        self._admission.service = service
        self._admission.run = run
        if slots:
            self._gate.set_slots(usable_slots(slots))

    def refuse_queued(self) -> None:
        """Refuse queued calls routed by host, so that their callers try another endpoint."""
        for inbound in list(self._calls.values()):
            if inbound.state is InboundCallState.QUEUED and inbound.is_by_host:
                self._dequeue(inbound)
                self._refuse(inbound, self._admission.refusal(RefusalReason.DRAINING))

    def load_report(self) -> LoadReport:
        """Return the load report for callers."""
        return self._replies.load_report()

    def gate_load(self) -> GateSection:
        """Return the figures of the admission gate for operators."""
        return self._gate.gate_load()

    def expire_sessions(self) -> None:
        """End sessions that exceeded their idle timeout."""
        self._admission.sessions.expire(clock.now())

    def on_call(self, link: AcceptedLink, call: Call) -> None:
        """Process an incoming call."""
        now = clock.now()
        if call.rate_limit is not None:
            caller = "" if link.peer is None else link.peer.node
            self._rate_limit.on_caller(call.rate_limit, caller)
        inbound = self._admission.admit(link, call, now)
        if isinstance(inbound, Refused):
            self._replies.refuse(link, call, inbound)
            return
        self._calls[inbound.token] = inbound
        self._by_call[call.epoch, call.call] = inbound
        inbound.signature = self._signatures.lazy_signature(call)
        inbound.memory = self._memory.open(HoldingKind.KEPT, _no_op)
        if not inbound.memory.resize(call_bytes(call)):
            detail = "no memory is left for it"
            self._refuse(inbound, self._admission.refusal(RefusalReason.OVERLOAD, detail))
            return
        assessment = self._quarantine.check(inbound.signature)
        if assessment.suspicion is Suspicion.QUARANTINED:
            detail = f"{assessment.crashes} back ends ended under it"
            self._refuse(inbound, Refused(RefusalReason.QUARANTINED, assessment.seconds, detail))
        elif assessment.suspicion is Suspicion.SUSPECT:
            self._enter_suspect(inbound)
        else:
            self._gate.enter(inbound, now)

    def cancel(self, link: AcceptedLink, call_identity: int) -> None:
        """Cancel a call whose caller cancelled it or disconnected."""
        inbound = self._by_call.get((link.epoch, call_identity))
        if inbound is None:
            return
        inbound.abandoned = True
        if inbound.state is InboundCallState.QUEUED:
            self._dequeue(inbound)
            self._remove(inbound)
        elif inbound.state is InboundCallState.AT_BACKEND and inbound.repeatable:
            if inbound.cancel_backend is not None:
                inbound.cancel_backend()
            self._end(inbound, CallResult.CANCELLED)

    def _on_rate_limit(self, requests_per_second: float | None) -> None:
        """Keep to the rate limit that the back end names, or to none."""
        self._runner.is_rate_limited = requests_per_second is not None
        self._gate.set_rate_limit(requests_per_second)

    def _enter_suspect(self, inbound: InboundCall) -> None:
        """Admit a suspect, or queue it until no other suspect is running."""
        match self._suspects.enter(inbound.token):
            case SuspectDecision.RUNS:
                self._gate.enter(inbound, clock.now())
            case SuspectDecision.REFUSED:
                self._refuse(inbound, self._admission.refusal(RefusalReason.SUSPECTS_WAIT))
            case SuspectDecision.WAITS:
                pass  # _remove admits it when the running suspect leaves

    def _dequeue(self, inbound: InboundCall) -> None:
        """Remove a call that was not started from the gate's queue."""
        if not self._suspects.is_waiting(inbound.token):
            self._gate.cancel(inbound.token)

    def _on_effect(self, effect: GateEffect) -> None:
        inbound = self._calls.get(effect.token)
        if inbound is None:
            return
        if isinstance(effect, Start):
            if inbound.in_session:
                self._admission.sessions.admit(inbound.call.context.session)
            self._runner.start(inbound)
        else:
            self._refuse(inbound, Refused(effect.reason, effect.retry_after, effect.detail))

    def _on_slot_free(self, inbound: InboundCall, result: CallResult) -> None:
        self._gate.finish(inbound.token, result)

    def _finish(self, inbound: InboundCall, outcome: Outcome) -> None:
        """Answer a started call and release its slot."""
        if inbound.state is InboundCallState.DONE:
            return
        if inbound.started:
            # Refusals by the daemon itself, e.g. by its ledger, don't show what the back end does.
            self._completion.on_result(result_of(outcome))
        calls = self._calls_made(inbound)
        spare = self._end(inbound, result_of(outcome))
        self._replies.reply(inbound, outcome, spare, calls)

    def _calls_made(self, inbound: InboundCall) -> int:
        """Return the number of calls made for a request, if its caller values retries by it."""
        policy = self._admission.catalogue.policy
        if inbound.served is None or policy.retry_refill is not RetryRefill.REQUESTS:
            return 0
        return self._paths.calls_made(inbound.served.account)

    def _refuse(self, inbound: InboundCall, refused: Refused) -> None:
        """Answer a call that was not started."""
        self._remove(inbound)
        if inbound.opens_session:
            self._admission.sessions.refuse(inbound.call.context.session)
        self._replies.reply(inbound, refused, inbound.call.context.spare_attempts)

    def _end(self, inbound: InboundCall, result: CallResult) -> int:
        """Remove a started call and release its slot; return its unused retries."""
        spare = inbound.call.context.spare_attempts
        if inbound.served is not None:
            spare = self._served.close(inbound.served.account)
            self._paths.on_end(inbound.served.account, answered=result is CallResult.OK)
        self._remove(inbound)
        self._gate.finish(inbound.token, result)
        return spare

    def _remove(self, inbound: InboundCall) -> None:
        inbound.state = InboundCallState.DONE
        inbound.cancel_backend = None
        if inbound.memory is not None:
            inbound.memory.release()
        self._calls.pop(inbound.token, None)
        self._by_call.pop((inbound.call.epoch, inbound.call.call), None)
        if inbound.in_session:
            self._admission.sessions.on_answer(inbound.call.context.session, clock.now())
        next_suspect = self._calls.get(self._suspects.leave(inbound.token) or 0)
        if next_suspect is not None:
            self._gate.enter(next_suspect, clock.now())


def _no_op() -> None:
    """Do nothing: the body of a call is kept until the call ends."""
