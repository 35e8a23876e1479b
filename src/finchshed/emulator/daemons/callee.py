"""The serving side of a daemon: admission, the ledger, and the back end.

Counterpart of :mod:`finchshed.daemon.serving.callee` and :mod:`finchshed.daemon.serving.guarded`.
"""

import random
from collections.abc import Callable
from typing import Final

import msgspec

from finchshed.admission.effects import GateEffect, Start
from finchshed.admission.gate import Gate
from finchshed.admission.load_report import LoadReport
from finchshed.admission.paths import PathThresholds
from finchshed.common.context import HEADER_DOWNSTREAM, CallContext
from finchshed.common.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.common.results import SERVER_ERROR, CallResult, result_of
from finchshed.emulator.backend import HEADER_DRAINING, BackEnd
from finchshed.emulator.daemons.accepted_link import AcceptedLink, CallMessage
from finchshed.emulator.daemons.ledger_client import LedgerClient
from finchshed.emulator.daemons.outgoing import SHED_REASONS
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.daemons.work import Work, WorkState
from finchshed.emulator.request import Request
from finchshed.ledger.results import Completed, Granted, LedgerResult, OutcomeUnknown
from finchshed.link.digests import digest_of
from finchshed.link.messages import (
    Reply,
)
from finchshed.proof.history import Admission
from finchshed.retry.account import RetryAccounts
from finchshed.retry.policy import retry_after
from finchshed.session.table import NotOpened, SessionTable

TICK_SECONDS: Final = 0.02
IDLE_TICK_SECONDS: Final = 0.25
"""Time between ticks of a gate without work, where production ticks as often as ever."""

LOCAL_DELAY_SECONDS: Final = 0.0002
"""Time to the back end or back over the loopback."""

SESSION_IDLE_SECONDS: Final = 60.0
"""A session unused for this long has ended; the default of a declared service."""

LEDGER_TIMEOUT_SECONDS: Final = 1.0
GRANT_LEASE_SECONDS: Final = 2.0


class Callee:
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
        self._works: dict[int, Work] = {}
        self._by_call: dict[tuple[str, int], Work] = {}
        self._deadlines: dict[str, float] = {}
        self._ranked_by: dict[str, CallContext] = {}
        self._failed_downstream: set[str] = set()
        self._sessions = SessionTable()
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
        self._sessions = SessionTable()

    def deadline_of(self, account: str) -> float | None:
        """Return the deadline of a request being served, by its account."""
        return self._deadlines.get(account)

    def ranked_by(self, account: str) -> CallContext | None:
        """Return the context that a request being served is ranked by."""
        return self._ranked_by.get(account)

    def call_on_began(self, account: str, request: Request) -> None:
        """Take note of a call that the back end makes for a request it serves."""
        self._paths.on_call(account, request.hop.service, request.kind)

    def call_on_failed(self, account: str) -> None:
        """Take note that a call which the back end made for this request was not answered."""
        if account in self._deadlines:
            self._failed_downstream.add(account)

    def take(self, link: AcceptedLink, message: CallMessage) -> None:
        """Take a call."""
        now = self._process.now
        token = self._next_token
        self._next_token += 1
        work = Work(token, link, message, now + message.context.remaining_seconds)
        reason = self._reason_not_to_take(work)
        if reason is not None:
            self._reply(link, message, self._refused(reason), message.context.spare_attempts)
            return
        self._works[token] = work
        self._by_call[(message.epoch, message.call)] = work
        floor = self._paths.floor(message.request.kind, now)
        self._apply(self._gate.arrive(token, work.rank_context(), now, floor))

    def _reason_not_to_take(self, work: Work) -> RefusalReason | None:
        """Return why a call is refused before the gate; open its session if it isn't."""
        if not self.may_serve:
            return RefusalReason.NO_CONFIGURATION
        session = work.session
        if self.draining and not (session and self._sessions.get(session)):
            return RefusalReason.DRAINING
        if not session:
            return None
        opened = self._sessions.open(
            session,
            self._back_end.service,
            self._back_end.endpoint,
            max_sessions=self._back_end.max_sessions,
            idle_seconds=SESSION_IDLE_SECONDS,
            now=self._process.now,
        )
        if isinstance(opened, NotOpened):
            return opened.reason
        work.opens_session = opened.is_new
        self._sessions.on_request(session, self._process.now)
        return None

    def give_up(self, link: AcceptedLink, call: int) -> None:
        """Drop a call whose caller has given up or is gone."""
        work = self._by_call.get((link.epoch, call))
        if work is None:
            return
        work.abandoned = True
        if work.state is WorkState.QUEUED:
            effects = self._gate.cancel(work.token, self._process.now)
            self._forget(work)
            self._apply(effects)
        elif work.state is WorkState.AT_BACKEND and work.repeatable:
            if work.cancel_back_end is not None:
                work.cancel_back_end()
            self._end(work, CallResult.CANCELLED)

    def abort(self) -> None:
        """Close the connections to the back end, because the process is gone."""
        for work in list(self._works.values()):
            if work.state is WorkState.AT_BACKEND and work.cancel_back_end is not None:
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
                if work.session:
                    self._sessions.admit(work.session)
                self._start(work)
            else:
                self._forget(work)
                if work.opens_session:
                    self._sessions.refuse(work.session)
                refused = Refused(effect.reason, effect.retry_after)
                self._reply(work.link, work.message, refused, work.message.context.spare_attempts)

    def _note_admission(self, work: Work, admitted: bool) -> None:
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

    def _start(self, work: Work) -> None:
        if work.repeatable:
            self._send_to_back_end(work)
            return
        work.state = WorkState.ASKING_LEDGER
        work.asked_at = self._process.now
        work.ledger_attempt = f"{self._process.name}.{self._process.life}.{work.token}"
        timeout = min(LEDGER_TIMEOUT_SECONDS, max(0.0, work.deadline - work.asked_at))
        self._ledger.begin(
            work.message.context.key,
            work.ledger_attempt,
            timeout,
            lambda result: self._ledger_answered(work, result),
        )

    def _ledger_answered(self, work: Work, result: LedgerResult | None) -> None:
        if isinstance(result, Granted):
            reason = self._reason_not_to_send(work)
            if reason is None:
                self._send_to_back_end(work)
                return
            self._ledger.cancel(work.message.context.key, work.ledger_attempt)
            self._finish(work, self._refused(reason))
        elif isinstance(result, Completed):
            self._finish(work, result.answer)
        elif isinstance(result, OutcomeUnknown):
            self._finish(work, Failed(FailureReason.OUTCOME_UNKNOWN, self._retry_after()))
        else:
            self._ledger.cancel(work.message.context.key, work.ledger_attempt)
            self._finish(work, self._refused(RefusalReason.LEDGER_UNAVAILABLE))

    def _reason_not_to_send(self, work: Work) -> RefusalReason | None:
        now = self._process.now
        if work.abandoned:
            return RefusalReason.CANCELLED
        if now >= work.deadline:
            return RefusalReason.DEADLINE
        if now - work.asked_at > GRANT_LEASE_SECONDS:
            return RefusalReason.LEDGER_UNAVAILABLE
        return None

    def _send_to_back_end(self, work: Work) -> None:
        work.state = WorkState.AT_BACKEND
        context = work.message.context
        work.account = f"{self._process.name}.{self._process.life}.{work.token}"
        self._accounts.open(work.account, context.spare_attempts)
        self._deadlines[work.account] = work.deadline
        self._ranked_by[work.account] = work.rank_context()
        self._paths.on_start(work.account, work.message.request.kind)
        request = work.message.request
        served = Request(
            call=request.call,
            root=request.root,
            hop=request.hop,
            kind=request.kind,
            importance=request.importance,
            deadline=work.deadline,
            caller=request.caller,
            key=request.key,
            session=request.session,
            account=work.account,
            repeatable=request.repeatable,
        )
        life = self._process.life

        def returned(outcome: Outcome) -> None:
            self._process.simulation.clock.call_later(
                LOCAL_DELAY_SECONDS, self._process.dispatch, life, self._returned, work, outcome
            )

        work.cancel_back_end = self._back_end.serve(served, returned)

    def _returned(self, work: Work, outcome: Outcome) -> None:
        if work.state is not WorkState.AT_BACKEND:
            return
        if isinstance(outcome, Answered) and (HEADER_DRAINING, "1") in outcome.headers:
            self.drain()
        outcome = self._blaming(work, outcome)
        if work.repeatable:
            self._finish(work, outcome)
            return
        work.state = WorkState.RECORDING
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

    def _blaming(self, work: Work, outcome: Outcome) -> Outcome:
        """Mark a server error that is due to a call the back end made."""
        if not isinstance(outcome, Answered) or outcome.status < SERVER_ERROR:
            return outcome
        if work.account not in self._failed_downstream:
            return outcome
        headers = (*outcome.headers, (HEADER_DOWNSTREAM, "1"))
        return Answered(outcome.status, headers, outcome.body)

    def _finish(self, work: Work, outcome: Outcome) -> None:
        if work.state is WorkState.DONE:
            return
        spare = self._end(work, result_of(outcome))
        self._reply(work.link, work.message, outcome, spare)

    def _end(self, work: Work, result: CallResult) -> int:
        spare = work.message.context.spare_attempts
        if work.account:
            spare = self._accounts.close(work.account)
            self._deadlines.pop(work.account, None)
            self._ranked_by.pop(work.account, None)
            self._paths.on_end(work.account, answered=result is CallResult.OK)
            self._failed_downstream.discard(work.account)
        self._forget(work)
        self._apply(self._gate.finish(work.token, result, self._process.now))
        return spare

    def _forget(self, work: Work) -> None:
        work.state = WorkState.DONE
        self._works.pop(work.token, None)
        self._by_call.pop((work.message.epoch, work.message.call), None)
        if work.session:
            self._sessions.on_answer(work.session, self._process.now)

    def _reply(
        self, link: AcceptedLink, message: CallMessage, outcome: Outcome, spare: int
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
