"""One call at the caller's side: performs the effects of the call's state machine.

Several requests may wait for one call: a repeat of a request in progress joins it. The call is
given up once nobody waits for it any more.
"""

import asyncio
from collections.abc import Callable

from finchshed.common.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.common.units import MILLISECONDS
from finchshed.daemon import metrics
from finchshed.daemon.calling.attempt import Attempt
from finchshed.daemon.calling.daemon_links import DaemonLinks
from finchshed.daemon.calling.pins import mixes_editions, with_session_endpoint
from finchshed.daemon.decision_log import (
    is_logged,
    name_of,
)
from finchshed.daemon.request import Request
from finchshed.link.digests import digest_of
from finchshed.link.messages import Reply
from finchshed.observability.decisions import AttemptRecord
from finchshed.quarantine.messages import CrashRecord
from finchshed.routing.caller import CallStateMachine
from finchshed.routing.caller_effects import (
    CallerEffect,
    CancelAttempt,
    Finish,
    SendAttempt,
    SetTimer,
)
from finchshed.runtime import clock


class OutgoingCall:
    """A call in progress.

    Parameters
    ----------
    logic
        Decides about choice, retries and the end.
    on_finish
        Called once with the outcome and the spare attempts left.
    retry_after
        Draws the time after which a client may come back, seconds.
    on_crash_record
        Called with what an answer tells of back ends that ended under the request.
    """

    def __init__(
        self,
        request: Request,
        logic: CallStateMachine,
        links: DaemonLinks,
        on_finish: Callable[["OutgoingCall", Outcome, int], None],
        retry_after: Callable[[], float],
        *,
        on_crash_record: Callable[[CrashRecord], None],
    ) -> None:
        self.request = request
        self.endpoint = ""
        self._logic = logic
        self._links = links
        self._on_finish = on_finish
        self._retry_after = retry_after
        self._on_crash_record = on_crash_record
        self._waiters: list[Callable[[Outcome], None]] = []
        self._attempt: Attempt | None = None
        self._deadline = 0.0
        self._loop = links.loop
        self._timer: asyncio.TimerHandle | None = None
        self._outcome: Outcome | None = None
        self._began = clock.now()
        self._sent_at = 0.0
        self._sent = 0
        self._noted = 0
        self._report_age = -1.0
        self._in_flight = 0
        self.attempts: list[AttemptRecord] = []

    @property
    def seconds(self) -> float:
        """Time since the call began."""
        return clock.now() - self._began

    @property
    def is_over(self) -> bool:
        """Whether the outcome is known."""
        return self._outcome is not None

    def begin(self) -> None:
        """Start the call."""
        now = clock.now()
        self._deadline = now + self.request.context.remaining_seconds
        self._perform(self._logic.begin(now))

    def wait(self, on_outcome: Callable[[Outcome], None]) -> Callable[[], None]:
        """Have ``on_outcome`` called once, now if the call is over; return what leaves it.

        The call is given up when the last one that waits for it leaves.
        """
        if self._outcome is not None:
            on_outcome(self._outcome)
        else:
            self._waiters.append(on_outcome)
        return lambda: self._leave(on_outcome)

    def _leave(self, on_outcome: Callable[[Outcome], None]) -> None:
        if on_outcome not in self._waiters:
            return
        self._waiters.remove(on_outcome)
        if not self._waiters and self._outcome is None:
            self._perform(self._logic.cancel(clock.now()))

    def _perform(self, effects: list[CallerEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self._send(effect)
            elif isinstance(effect, SetTimer):
                self._set_timer(effect.at)
            elif isinstance(effect, Finish):
                self._finish(effect)
            elif isinstance(effect, CancelAttempt) and self._attempt is not None:
                self._links.withdraw(self._attempt)

    def _send(self, effect: SendAttempt) -> None:
        number = effect.attempt
        self._sent = number
        if number > 1:
            metrics.RETRIES.labels(self.request.service).inc()
        attempt = Attempt(
            request=self.request,
            lent_attempts=effect.lent_attempts,
            admitted_fraction=effect.admitted_fraction,
            deadline=self._deadline,
            on_reply=lambda reply: self._on_reply(number, reply),
            on_unsent=lambda reason, detail: self._on_unsent(
                number, effect.lent_attempts, reason, detail
            ),
        )
        self._attempt = attempt
        self.endpoint = effect.endpoint.name
        self._sent_at = clock.now()
        self._report_age = effect.report_age
        self._in_flight = effect.in_flight
        self._links.send(effect.endpoint, attempt)

    def _on_reply(self, number: int, reply: Reply | None) -> None:
        if reply is None:
            broken = Failed(FailureReason.LINK_BROKEN, self._retry_after())
            self._report(number, broken, 0, None)
            return
        if reply.crash_record is not None:
            # Before the outcome: whether it is tried again hangs on it.
            self._on_crash_record(reply.crash_record)
        outcome = reply.outcome
        if isinstance(outcome, Answered) and digest_of(outcome.body) != reply.digest:
            outcome = Failed(FailureReason.ANSWER_CORRUPT, self._retry_after())
        elif isinstance(outcome, Answered) and mixes_editions(self.request, outcome):
            detail = "a part of another edition than asked for"
            outcome = Failed(FailureReason.ANSWER_CORRUPT, self._retry_after(), detail)
        self._report(number, outcome, reply.spare_attempts, reply)

    def _on_unsent(
        self, number: int, lent_attempts: int, reason: RefusalReason, detail: str
    ) -> None:
        refused = Refused(reason, self._retry_after(), detail)
        # The state machine may still be performing the effects of the send.
        self._loop.call_soon(self._report, number, refused, lent_attempts, None)

    def _report(self, number: int, outcome: Outcome, spare: int, reply: Reply | None) -> None:
        load = None if reply is None else reply.load
        now = clock.now()
        self._note_attempt(outcome, now)
        self._perform(self._logic.on_outcome(number, outcome, spare, load, now))

    def _note_attempt(self, outcome: Outcome, now: float) -> None:
        self._noted = self._sent
        if not is_logged(self.request, outcome):
            return  # an answer, which ends the call: nothing of it is logged
        reason = "" if isinstance(outcome, Answered) else str(outcome.reason)
        self.attempts.append(
            AttemptRecord(
                endpoint=self.endpoint,
                outcome=name_of(outcome),
                ms=round((now - self._sent_at) * MILLISECONDS, 2),
                reason=reason or (str(outcome.status) if isinstance(outcome, Answered) else ""),
                report_ms=round(self._report_age * MILLISECONDS, 1),
                in_flight=self._in_flight,
            )
        )

    def _set_timer(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(0.0, at - clock.now()), self._on_timer, at)

    def _on_timer(self, due: float) -> None:
        # The loop's clock is coarser than the one decisions are made by.
        now = max(due, clock.now())
        self._perform(self._logic.on_timer(now))

    def _finish(self, effect: Finish) -> None:
        if self._noted < self._sent:
            self._note_attempt(effect.outcome, clock.now())
        outcome = with_session_endpoint(self.request, self.endpoint, effect.outcome)
        self._outcome = outcome
        # The attempt refers back to this call: without the cycle it is freed at once.
        self._attempt = None
        if self._timer is not None:
            self._timer.cancel()
        waiters = self._waiters
        self._waiters = []
        for on_outcome in waiters:
            on_outcome(outcome)
        self._on_finish(self, outcome, effect.spare_returned)
