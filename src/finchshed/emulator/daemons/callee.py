"""The serving side of a daemon: admission, the ledger, and the back end.

Counterpart of :mod:`finchshed.daemon.serving.callee` and
:mod:`finchshed.daemon.serving.at_most_once`.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Final

import msgspec

from finchshed.admission.effects import GateEffect, Start
from finchshed.admission.gate import Gate
from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import PathThresholds
from finchshed.common.context import HEADER_DOWNSTREAM
from finchshed.common.outcomes import (
    Answered,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.common.results import SERVER_ERROR, CallResult, result_of
from finchshed.daemon.serving.inbound_call_state import InboundCallState
from finchshed.daemon.serving.served_requests import ServedRequest
from finchshed.emulator.backend import HEADER_DRAINING, BackEnd
from finchshed.emulator.daemons.accepted_link import CallMessage, SimulatedAcceptedLink
from finchshed.emulator.daemons.guarded import LEDGER_TIMEOUT_SECONDS, GuardedStart
from finchshed.emulator.daemons.ledger_client import LedgerClient
from finchshed.emulator.daemons.outgoing import SHED_REASONS
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.daemons.serving_sessions import ServingSessions
from finchshed.emulator.daemons.work import SimulatedWork
from finchshed.emulator.request import SimulatedRequest
from finchshed.link.digests import digest_of
from finchshed.link.messages import Reply
from finchshed.proof.history import Admission
from finchshed.retry.account import RetryAccounts
from finchshed.retry.policy import retry_after

TICK_SECONDS: Final = 0.02
"""Time between ticks of a gate with work, as in production."""

IDLE_TICK_SECONDS: Final = 0.25
"""Time between ticks of a gate without work, where production ticks as often as ever."""

LOCAL_DELAY_SECONDS: Final = 0.0002
"""Time to the back end or back over the loopback."""


class SimulatedCallee:
    """Serves calls with the local back end."""

    def __init__(
        self,
        process: Process,
        back_end: BackEnd,
        *,
        ledger: LedgerClient,
        accounts: RetryAccounts,
        paths: PathThresholds,
        rng: random.Random,
        revision: Callable[[], int],
    ) -> None:
        self._process = process
        self._paths = paths
        self._back_end = back_end
        self._ledger = ledger
        self._accounts = accounts
        self._random = rng
        self._revision = revision
        self._recorder = process.simulation.recorder
        self._gate = Gate(back_end.slots, rng, process.now)
        self._works: dict[int, SimulatedWork] = {}
        self._by_call: dict[tuple[str, int], SimulatedWork] = {}
        self._served: dict[str, ServedRequest] = {}
        self._sessions = ServingSessions(process, back_end)
        self._guarded = GuardedStart(
            process,
            ledger,
            send=self._send_to_back_end,
            finish=self._finish,
            retry_after=self._retry_after,
        )
        self._next_token = 1
        self.draining = False
        self.may_serve = False
        process.call_later(TICK_SECONDS, self._tick)

    @property
    def in_progress(self) -> int:
        """Calls not answered yet."""
        return len(self._works)

    def load_report(self) -> LoadReport:
        """Return the load as callers are told."""
        now = self._process.now
        report = self._gate.load_report(now, self._paths.report(now))
        return msgspec.structs.replace(report, draining=True) if self.draining else report

    def drain(self) -> None:
        """Take no new calls; those of running sessions go on."""
        self.draining = True

    def end_sessions(self) -> None:
        """Send the sessions away: their requests are refused as draining from now on."""
        self._sessions.end_all()

    def served(self, account: str) -> ServedRequest | None:
        """Return a request being served, by its account."""
        return self._served.get(account)

    def call_on_began(self, account: str, request: SimulatedRequest) -> None:
        """Take note of a call that the back end makes for a request it serves."""
        self._paths.on_call(account, request.hop.service, request.kind)

    def take(self, link: SimulatedAcceptedLink, message: CallMessage) -> None:
        """Take a call."""
        now = self._process.now
        token = self._next_token
        self._next_token += 1
        work = SimulatedWork(token, link, message, now + message.context.remaining_seconds)
        reason = self._reason_not_to_take(work)
        if reason is not None:
            self._reply(link, message, self._refused(reason), message.context.spare_attempts)
            return
        self._works[token] = work
        self._by_call[(message.epoch, message.call)] = work
        path_threshold = self._paths.threshold(message.request.kind, now)
        self._apply(self._gate.arrive(token, work.rank_context(), now, path_threshold))

    def _reason_not_to_take(self, work: SimulatedWork) -> RefusalReason | None:
        """Return why a call is refused before the gate; open its session if it isn't."""
        if not self.may_serve:
            return RefusalReason.NO_CONFIGURATION
        if self.draining and not self._sessions.is_running(work):
            return RefusalReason.DRAINING
        return self._sessions.open_for(work)

    def give_up(self, link: SimulatedAcceptedLink, call: int) -> None:
        """Drop a call whose caller has given up or is gone."""
        work = self._by_call.get((link.epoch, call))
        if work is None:
            return
        work.abandoned = True
        if work.state is InboundCallState.QUEUED:
            effects = self._gate.cancel(work.token, self._process.now)
            self._forget(work)
            self._apply(effects)
        elif work.state is InboundCallState.AT_BACKEND and work.repeatable:
            if work.cancel_back_end is not None:
                work.cancel_back_end()
            self._end(work, CallResult.CANCELLED)

    def abort(self) -> None:
        """Close the connections to the back end, because the process is gone."""
        for work in list(self._works.values()):
            if work.state is InboundCallState.AT_BACKEND and work.cancel_back_end is not None:
                work.cancel_back_end()

    def _tick(self) -> None:
        self._apply(self._gate.tick(self._process.now))
        delay = TICK_SECONDS if self._works else IDLE_TICK_SECONDS
        self._process.call_later(delay, self._tick)

    def _apply(self, effects: list[GateEffect]) -> None:
        for effect in effects:
            work = self._works.get(effect.token)
            if work is None:
                continue
            admitted = isinstance(effect, Start)
            if admitted or effect.reason in SHED_REASONS:  # type: ignore[union-attr]
                self._note_admission(work, admitted)
            if isinstance(effect, Start):
                self._sessions.admitted(work)
                self._start(work)
            else:
                self._forget(work)
                self._sessions.refused(work)
                refused = Refused(effect.reason, effect.retry_after)
                self._reply(work.link, work.message, refused, work.message.context.spare_attempts)

    def _note_admission(self, work: SimulatedWork, admitted: bool) -> None:
        context = work.message.context
        self._recorder.note(
            Admission(
                self._process.now,
                self._back_end.endpoint,
                self._back_end.service,
                context.root,
                context.importance,
                admitted,
                bool(work.rank_context().session),
            )
        )

    def _start(self, work: SimulatedWork) -> None:
        if work.repeatable:
            self._send_to_back_end(work)
            return
        self._guarded.ask(work)

    def _send_to_back_end(self, work: SimulatedWork) -> None:
        work.state = InboundCallState.AT_BACKEND
        context = work.message.context
        work.account = f"{self._process.name}.{self._process.life}.{work.token}"
        self._accounts.open(work.account, context.spare_attempts)
        self._served[work.account] = ServedRequest(work.account, work.rank_context(), work.deadline)
        self._paths.on_start(work.account, work.message.request.kind)
        request = work.message.request
        served = replace(request, deadline=work.deadline, parent="", account=work.account)
        life = self._process.life

        def returned(outcome: Outcome) -> None:
            self._process.simulation.clock.call_later(
                LOCAL_DELAY_SECONDS, self._process.dispatch, life, self._returned, work, outcome
            )

        work.cancel_back_end = self._back_end.serve(served, returned)

    def _returned(self, work: SimulatedWork, outcome: Outcome) -> None:
        if work.state is not InboundCallState.AT_BACKEND:
            return
        if isinstance(outcome, Answered) and (HEADER_DRAINING, "1") in outcome.headers:
            self.drain()
        outcome = self._blaming(work, outcome)
        if work.repeatable:
            self._finish(work, outcome)
            return
        work.state = InboundCallState.RECORDING
        self._apply(self._gate.finish(work.token, result_of(outcome), self._process.now))
        key = work.message.context.key
        if isinstance(outcome, Answered):
            self._ledger.complete(
                key,
                work.ledger_attempt,
                outcome,
                LEDGER_TIMEOUT_SECONDS,
                lambda: self._finish(work, outcome),
            )
            return
        if isinstance(outcome, Refused):
            self._ledger.cancel(key, work.ledger_attempt)
        self._finish(work, outcome)

    def _blaming(self, work: SimulatedWork, outcome: Outcome) -> Outcome:
        """Mark a server error that is due to a call the back end made."""
        if not isinstance(outcome, Answered) or outcome.status < SERVER_ERROR:
            return outcome
        if not self._accounts.has_failed_call(work.account):
            return outcome
        headers = (*outcome.headers, (HEADER_DOWNSTREAM, "1"))
        return Answered(outcome.status, headers, outcome.body)

    def _finish(self, work: SimulatedWork, outcome: Outcome) -> None:
        if work.state is InboundCallState.DONE:
            return
        spare = self._end(work, result_of(outcome))
        self._reply(work.link, work.message, outcome, spare)

    def _end(self, work: SimulatedWork, result: CallResult) -> int:
        spare = work.message.context.spare_attempts
        if work.account:
            spare = self._accounts.close(work.account)
            self._served.pop(work.account, None)
            self._paths.on_end(work.account, answered=result is CallResult.OK)
        self._forget(work)
        self._apply(self._gate.finish(work.token, result, self._process.now))
        return spare

    def _forget(self, work: SimulatedWork) -> None:
        work.state = InboundCallState.DONE
        self._works.pop(work.token, None)
        self._by_call.pop((work.message.epoch, work.message.call), None)
        self._sessions.answered(work)

    def _reply(
        self, link: SimulatedAcceptedLink, message: CallMessage, outcome: Outcome, spare: int
    ) -> None:
        digest = digest_of(outcome.body) if isinstance(outcome, Answered) else ""
        link.reply(
            Reply(
                epoch=message.epoch,
                call=message.call,
                outcome=outcome,
                spare_attempts=spare,
                load=self.load_report(),
                digest=digest,
                revision=self._revision(),
            )
        )

    def _refused(self, reason: RefusalReason) -> Refused:
        return Refused(reason, self._retry_after())

    def _retry_after(self) -> float:
        return retry_after(0.0, self._random)
