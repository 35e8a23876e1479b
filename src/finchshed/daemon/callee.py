"""The daemon beside a back end: takes calls from links, admits them, runs them, answers them.

Decisions are the gate's; what runs at most once is the ledger's. This module moves each call
from one step to the next and answers it exactly once.
"""

import asyncio
import random
import time
from collections.abc import Callable

import msgspec

from finchshed.admission.effects import GateEffect, Start
from finchshed.admission.gate import Gate
from finchshed.admission.paths import PathThresholds
from finchshed.common.context import (
    CallContext,
)
from finchshed.common.outcomes import (
    Answered,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.common.results import CallResult, result_of
from finchshed.daemon import metrics
from finchshed.daemon.accounts import ServedRequests
from finchshed.daemon.backend import (
    Backend,
    BackendAnswer,
    BackendRequest,
    BackendResult,
)
from finchshed.daemon.backend_call import backend_headers, outcome_of
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.guarded import GuardedRuns
from finchshed.daemon.ledger_port import scoped_key
from finchshed.daemon.settings import DaemonSettings
from finchshed.daemon.work import Work, WorkState
from finchshed.link.digests import digest_of
from finchshed.link.listener import AcceptedLink
from finchshed.link.messages import Call, LoadReport, Reply
from finchshed.retry.policy import retry_after
from finchshed.session.table import NotOpened, SessionTable

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
    on_backend_leaving
        Called when the back end says that it is leaving.
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
        on_backend_leaving: Callable[[], None],
        revision: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._backend = backend
        self._guarded = guarded
        self._served = served
        self._paths = paths
        self._rng = rng
        self._on_backend_leaving = on_backend_leaving
        self._revision = revision
        self._gate = Gate(1, rng, time.monotonic())
        self._sessions = SessionTable()
        self._catalogue = Catalogue()
        self._works: dict[int, Work] = {}
        self._by_call: dict[tuple[str, int], Work] = {}
        self._next_token = 1
        self._ticker: asyncio.TimerHandle | None = None
        self.may_serve = False
        self.draining = False

    @property
    def in_progress(self) -> int:
        """Calls not answered yet."""
        return len(self._works)

    @property
    def sessions(self) -> int:
        """Sessions pinned to this back end."""
        return len(self._sessions)

    def end_sessions(self) -> None:
        """Send the sessions away: their requests are refused as draining from now on."""
        self._sessions = SessionTable()

    def configure(self, catalogue: Catalogue) -> None:
        """Act on a new configuration."""
        self._catalogue = catalogue
        endpoint = catalogue.endpoints.get(self._settings.endpoint)
        if endpoint is not None:
            self._gate.set_slots(endpoint.slots)

    def load_report(self) -> LoadReport:
        """Return the load as callers are told."""
        now = time.monotonic()
        report = self._gate.load_report(now, self._paths.report(now))
        if self.draining and not report.draining:
            return msgspec.structs.replace(report, draining=True)
        return report

    def expire_sessions(self) -> None:
        """End the sessions that have been idle for long."""
        self._sessions.expire(time.monotonic())

    def _arm_tick(self) -> None:
        """Look after the queue and the threshold for as long as there is either."""
        if self._ticker is None:
            loop = asyncio.get_running_loop()
            self._ticker = loop.call_later(TICK_SECONDS, self._on_tick)

    def _on_tick(self) -> None:
        self._ticker = None
        now = time.monotonic()
        self._apply(self._gate.tick(now))
        if self._gate.queued or self._gate.load_report(now).threshold:
            self._arm_tick()

    def take(self, link: AcceptedLink, call: Call) -> None:
        """Take a call that came in."""
        now = time.monotonic()
        work = self._admit(link, call, now)
        if isinstance(work, Refused):
            self._send_reply(link, call, work, call.context.spare_attempts)
            return
        self._works[work.token] = work
        self._by_call[call.epoch, call.call] = work
        floor = self._paths.floor(work.route, now)
        self._apply(self._gate.arrive(work.token, _rank_context(work), now, floor))
        if self._gate.queued:
            self._arm_tick()

    def give_up(self, link: AcceptedLink, call_identity: int) -> None:
        """Drop a call whose caller has given up or is gone."""
        work = self._by_call.get((link.epoch, call_identity))
        if work is None:
            return
        work.abandoned = True
        if work.state is WorkState.QUEUED:
            effects = self._gate.cancel(work.token, time.monotonic())
            self._forget(work)
            self._apply(effects)
        elif work.state is WorkState.AT_BACKEND and work.repeatable:
            if work.cancel_backend is not None:
                work.cancel_backend()
            self._end(work, CallResult.CANCELLED)

    def _admit(self, link: AcceptedLink, call: Call, now: float) -> Work | Refused:
        if not self.may_serve:
            return self._refused(RefusalReason.NO_CONFIGURATION)
        matched = self._catalogue.match(call.service, call.path)
        if matched is None or call.service != self._settings.service:
            return self._refused(RefusalReason.UNKNOWN_ROUTE)
        route, service = matched.route, matched.service
        if len(call.body) > service.max_body_bytes:
            return self._refused(RefusalReason.REQUEST_TOO_LARGE)
        ledger_key = "" if route.repeatable else scoped_key(call.context.key, service.name)
        if ledger_key is None:
            return self._refused(RefusalReason.KEY_INVALID, "a UUID of version 7 is needed")
        session = call.context.session if route.session else ""
        opens_session = False
        if self.draining and not (session and self._sessions.get(session)):
            return self._refused(RefusalReason.DRAINING)
        if session:
            if self._sessions.get(session) is None:
                self._sessions.expire(now)
            opened = self._sessions.open(
                session,
                service.name,
                self._settings.endpoint,
                max_sessions=service.max_sessions,
                idle_seconds=service.session_idle_seconds,
                now=now,
            )
            if isinstance(opened, NotOpened):
                return self._refused(opened.reason)
            opens_session = opened.is_new
            self._sessions.on_request(session, now)
        token = self._next_token
        self._next_token += 1
        return Work(
            token=token,
            link=link,
            call=call,
            arrived=now,
            deadline=now + call.context.remaining_seconds,
            route=route.prefix,
            repeatable=route.repeatable,
            in_session=bool(session),
            opens_session=opens_session,
            max_body_bytes=service.max_body_bytes,
            ledger_key=ledger_key,
        )

    def _apply(self, effects: list[GateEffect]) -> None:
        for effect in effects:
            work = self._works.get(effect.token)
            if work is None:
                continue
            if isinstance(effect, Start):
                if work.in_session:
                    self._sessions.admit(work.call.context.session)
                self._start(work)
            else:
                refused = Refused(effect.reason, effect.retry_after)
                self._answer(work, refused)

    def _start(self, work: Work) -> None:
        metrics.QUEUE_DELAY.observe(time.monotonic() - work.arrived)
        if work.repeatable:
            self._send_to_backend(work)
        else:
            work.state = WorkState.ASKING_LEDGER
            self._guarded.begin(work, self._send_to_backend, self._finish)

    def _send_to_backend(self, work: Work) -> None:
        call = work.call
        work.state = WorkState.AT_BACKEND
        work.served = self._served.open(_rank_context(work), work.deadline)
        self._paths.on_start(work.served.account, work.route)
        remaining = work.deadline - time.monotonic()
        request = BackendRequest(
            method=call.method,
            path=call.path,
            headers=backend_headers(work, remaining),
            body=call.body,
            timeout_seconds=remaining,
            max_answer_bytes=work.max_body_bytes,
            is_repeatable=work.repeatable,
            account=work.served.account,
        )
        work.cancel_backend = self._backend.send(
            request, lambda result: self._on_backend_result(work, result)
        )

    def _on_backend_result(self, work: Work, result: BackendResult) -> None:
        if work.state is not WorkState.AT_BACKEND:
            return
        if isinstance(result, BackendAnswer) and result.draining:
            self._on_backend_leaving()
        outcome = outcome_of(result, retry_after(0.0, self._rng))
        if work.repeatable:
            self._finish(work, outcome)
            return
        work.state = WorkState.RECORDING
        # The back end is done with the request; waiting for the ledger must not hold its slot.
        self._apply(self._gate.finish(work.token, result_of(outcome), time.monotonic()))
        self._guarded.settle(work, outcome, self._finish)

    def _finish(self, work: Work, outcome: Outcome) -> None:
        """Answer a call that was started, and free its slot."""
        if work.state is WorkState.DONE:
            return
        spare = self._end(work, result_of(outcome))
        self._send_reply(work.link, work.call, outcome, spare)

    def _answer(self, work: Work, outcome: Refused) -> None:
        """Answer a call that was never started."""
        self._forget(work)
        if work.opens_session:
            self._sessions.refuse(work.call.context.session)
        self._send_reply(work.link, work.call, outcome, work.call.context.spare_attempts)

    def _end(self, work: Work, result: CallResult) -> int:
        """Forget a started call and free its slot; return the spare attempts left."""
        spare = work.call.context.spare_attempts
        if work.served is not None:
            spare = self._served.close(work.served.account)
            self._paths.on_end(work.served.account, answered=result is CallResult.OK)
        self._forget(work)
        self._apply(self._gate.finish(work.token, result, time.monotonic()))
        return spare

    def _forget(self, work: Work) -> None:
        work.state = WorkState.DONE
        work.cancel_backend = None
        self._works.pop(work.token, None)
        self._by_call.pop((work.call.epoch, work.call.call), None)
        if work.in_session:
            self._sessions.on_answer(work.call.context.session, time.monotonic())

    def _send_reply(self, link: AcceptedLink, call: Call, outcome: Outcome, spare: int) -> None:
        digest = digest_of(outcome.body) if isinstance(outcome, Answered) else ""
        link.reply(
            Reply(
                epoch=call.epoch,
                call=call.call,
                outcome=outcome,
                spare_attempts=spare,
                load=self.load_report(),
                digest=digest,
                revision=self._revision(),
            )
        )
        metrics.count_served(call.service, call.context.importance, outcome)

    def _refused(self, reason: RefusalReason, detail: str = "") -> Refused:
        return Refused(reason, retry_after(0.0, self._rng), detail)


def _rank_context(work: Work) -> CallContext:
    """Return the context a call is ranked by: a session that it opens is not running yet."""
    if work.opens_session:
        return msgspec.structs.replace(work.call.context, session="")
    return work.call.context
