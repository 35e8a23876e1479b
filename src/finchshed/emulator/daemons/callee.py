"""Serving side of an emulated daemon: admission, the ledger and the back end.

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
from finchshed.emulator.daemons.at_most_once import LEDGER_TIMEOUT_SECONDS, AtMostOnceStart
from finchshed.emulator.daemons.inbound_call import SimulatedInboundCall
from finchshed.emulator.daemons.ledger_client import LedgerClient
from finchshed.emulator.daemons.outgoing import SHED_REASONS
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.daemons.serving_sessions import ServingSessions
from finchshed.emulator.request import SimulatedRequest
from finchshed.link.digests import digest_of
from finchshed.link.messages import Reply
from finchshed.proof.history import Admission
from finchshed.retry.account import RetryAccounts
from finchshed.retry.policy import retry_after

TICK_SECONDS: Final = 0.02
"""Interval between ticks of a gate with calls in progress; same as in production."""

IDLE_TICK_SECONDS: Final = 0.25
"""Interval between ticks of an idle gate, longer than in production to save events."""

LOCAL_DELAY_SECONDS: Final = 0.0002
"""One-way delay over the loopback interface."""


class SimulatedCallee:
    """Admits calls and runs them on the local back end."""

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
        self._path_thresholds = paths
        self._back_end = back_end
        self._ledger = ledger
        self._accounts = accounts
        self._random = rng
        self._revision = revision
        self._recorder = process.simulation.recorder
        self._gate = Gate(back_end.slots, rng, process.now)
        self._inbound_calls: dict[int, SimulatedInboundCall] = {}
        self._by_call: dict[tuple[str, int], SimulatedInboundCall] = {}
        self._served: dict[str, ServedRequest] = {}
        self._sessions = ServingSessions(process, back_end)
        self._at_most_once = AtMostOnceStart(
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
        """Number of calls without a reply."""
        return len(self._inbound_calls)

    def load_report(self) -> LoadReport:
        """Return the load report for callers."""
        now = self._process.now
        report = self._gate.load_report(now, self._path_thresholds.report(now))
        return msgspec.structs.replace(report, draining=True) if self.draining else report

    def drain(self) -> None:
        """Stop accepting new calls, except those of running sessions."""
        self.draining = True

    def end_sessions(self) -> None:
        """End all sessions; their requests are refused as draining from now on."""
        self._sessions.end_all()

    def served(self, account: str) -> ServedRequest | None:
        """Return the request being served under ``account``, or None."""
        return self._served.get(account)

    def on_nested_call(self, account: str, request: SimulatedRequest) -> None:
        """Record a nested call that the back end makes for a request it serves."""
        self._path_thresholds.on_call(account, request.hop.service, request.kind)

    def handle_call(self, link: SimulatedAcceptedLink, message: CallMessage) -> None:
        """Queue a call for admission, or refuse it."""
        now = self._process.now
        token = self._next_token
        self._next_token += 1
        inbound = SimulatedInboundCall(
            token, link, message, now + message.context.remaining_seconds
        )
        reason = self._open_session_or_refuse(inbound)
        if reason is not None:
            self._reply(link, message, self._refused(reason), message.context.spare_attempts)
            return
        self._inbound_calls[token] = inbound
        self._by_call[(message.epoch, message.call)] = inbound
        path_threshold = self._path_thresholds.threshold(message.request.kind, now)
        self._apply(self._gate.arrive(token, inbound.rank_context(), now, path_threshold))

    def _open_session_or_refuse(self, inbound: SimulatedInboundCall) -> RefusalReason | None:
        """Return why a call is refused before admission, or open its session and return None."""
        if not self.may_serve:
            return RefusalReason.NO_CONFIGURATION
        if self.draining and not self._sessions.is_running(inbound):
            return RefusalReason.DRAINING
        return self._sessions.open_for(inbound)

    def cancel_call(self, link: SimulatedAcceptedLink, call: int) -> None:
        """Cancel a call whose caller cancelled it or disconnected."""
        inbound = self._by_call.get((link.epoch, call))
        if inbound is None:
            return
        inbound.is_cancelled = True
        if inbound.state is InboundCallState.QUEUED:
            effects = self._gate.cancel(inbound.token, self._process.now)
            self._remove(inbound)
            self._apply(effects)
        elif inbound.state is InboundCallState.AT_BACKEND and inbound.repeatable:
            if inbound.cancel_back_end is not None:
                inbound.cancel_back_end()
            self._release(inbound, CallResult.CANCELLED)

    def abort(self) -> None:
        """Cancel all requests at the back end after a crash of this process."""
        for inbound in list(self._inbound_calls.values()):
            if inbound.state is InboundCallState.AT_BACKEND and inbound.cancel_back_end is not None:
                inbound.cancel_back_end()

    def _tick(self) -> None:
        self._apply(self._gate.tick(self._process.now))
        delay = TICK_SECONDS if self._inbound_calls else IDLE_TICK_SECONDS
        self._process.call_later(delay, self._tick)

    def _apply(self, effects: list[GateEffect]) -> None:
        for effect in effects:
            inbound = self._inbound_calls.get(effect.token)
            if inbound is None:
                continue
            admitted = isinstance(effect, Start)
            if admitted or effect.reason in SHED_REASONS:  # type: ignore[union-attr]
                self._record_admission(inbound, admitted)
            if isinstance(effect, Start):
                self._sessions.admitted(inbound)
                self._start(inbound)
            else:
                self._remove(inbound)
                self._sessions.refused(inbound)
                refused = Refused(effect.reason, effect.retry_after)
                self._reply(
                    inbound.link, inbound.message, refused, inbound.message.context.spare_attempts
                )

    def _record_admission(self, inbound: SimulatedInboundCall, admitted: bool) -> None:
        context = inbound.message.context
        self._recorder.record(
            Admission(
                self._process.now,
                self._back_end.endpoint,
                self._back_end.service,
                context.root,
                context.importance,
                admitted,
                bool(inbound.rank_context().session),
            )
        )

    def _start(self, inbound: SimulatedInboundCall) -> None:
        if inbound.repeatable:
            self._send_to_back_end(inbound)
            return
        self._at_most_once.request_grant(inbound)

    def _send_to_back_end(self, inbound: SimulatedInboundCall) -> None:
        inbound.state = InboundCallState.AT_BACKEND
        context = inbound.message.context
        inbound.account = f"{self._process.name}.{self._process.generation}.{inbound.token}"
        self._accounts.open(inbound.account, context.spare_attempts)
        self._served[inbound.account] = ServedRequest(
            inbound.account, inbound.rank_context(), inbound.deadline
        )
        self._path_thresholds.on_start(inbound.account, inbound.message.request.kind)
        request = inbound.message.request
        served = replace(request, deadline=inbound.deadline, parent="", account=inbound.account)
        generation = self._process.generation

        def returned(outcome: Outcome) -> None:
            self._process.simulation.clock.call_later(
                LOCAL_DELAY_SECONDS,
                self._process.dispatch,
                generation,
                self._returned,
                inbound,
                outcome,
            )

        inbound.cancel_back_end = self._back_end.serve(served, returned)

    def _returned(self, inbound: SimulatedInboundCall, outcome: Outcome) -> None:
        if inbound.state is not InboundCallState.AT_BACKEND:
            return
        if isinstance(outcome, Answered) and (HEADER_DRAINING, "1") in outcome.headers:
            self.drain()
        outcome = self._mark_downstream_error(inbound, outcome)
        if inbound.repeatable:
            self._finish(inbound, outcome)
            return
        inbound.state = InboundCallState.RECORDING
        self._apply(self._gate.finish(inbound.token, result_of(outcome), self._process.now))
        key = inbound.message.context.key
        if isinstance(outcome, Answered):
            self._ledger.complete(
                key,
                inbound.ledger_attempt,
                outcome,
                LEDGER_TIMEOUT_SECONDS,
                lambda: self._finish(inbound, outcome),
            )
            return
        if isinstance(outcome, Refused):
            self._ledger.cancel(key, inbound.ledger_attempt)
        self._finish(inbound, outcome)

    def _mark_downstream_error(self, inbound: SimulatedInboundCall, outcome: Outcome) -> Outcome:
        """Add the downstream header to a server error caused by a nested call."""
        if not isinstance(outcome, Answered) or outcome.status < SERVER_ERROR:
            return outcome
        if not self._accounts.has_failed_call(inbound.account):
            return outcome
        headers = (*outcome.headers, (HEADER_DOWNSTREAM, "1"))
        return Answered(outcome.status, headers, outcome.body)

    def _finish(self, inbound: SimulatedInboundCall, outcome: Outcome) -> None:
        if inbound.state is InboundCallState.DONE:
            return
        spare = self._release(inbound, result_of(outcome))
        self._reply(inbound.link, inbound.message, outcome, spare)

    def _release(self, inbound: SimulatedInboundCall, result: CallResult) -> int:
        spare = inbound.message.context.spare_attempts
        if inbound.account:
            spare = self._accounts.close(inbound.account)
            self._served.pop(inbound.account, None)
            self._path_thresholds.on_end(inbound.account, answered=result is CallResult.OK)
        self._remove(inbound)
        self._apply(self._gate.finish(inbound.token, result, self._process.now))
        return spare

    def _remove(self, inbound: SimulatedInboundCall) -> None:
        inbound.state = InboundCallState.DONE
        self._inbound_calls.pop(inbound.token, None)
        self._by_call.pop((inbound.message.epoch, inbound.message.call), None)
        self._sessions.answered(inbound)

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
