"""One outgoing call: executes the effects of its state machine.

Several requests may wait for the same call. It is cancelled when the last of them leaves.
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
from finchshed.daemon.calling.session_pins import is_version_mismatch, with_session_endpoint
from finchshed.daemon.decision_log import (
    is_logged,
    outcome_name,
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
from finchshed.routing.retry_grants import RetryGrants
from finchshed.runtime import clock


class OutgoingCall:
    """A call in progress.

    Parameters
    ----------
    logic
        State machine that selects endpoints, retries and ends the call.
    on_finish
        Called once with the outcome and the number of unused retries.
    retry_after
        Returns a randomized retry delay for the client, in seconds.
    on_crash_record
        Called with the crash record attached to a reply: back ends that crashed while running the
        request.
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
        self.calls_below = 0
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
        self._sent_attempts = 0
        self._recorded_attempts = 0
        self._report_age = -1.0
        self._in_flight = 0
        self.attempts: list[AttemptRecord] = []

    @property
    def seconds(self) -> float:
        """Time since the call started."""
        return clock.now() - self._began

    @property
    def retries(self) -> RetryGrants:
        """Retries that the retry limit granted or denied."""
        return self._logic.retries

    @property
    def is_over(self) -> bool:
        """Whether the outcome is known."""
        return self._outcome is not None

    def start(self) -> None:
        """Start the call."""
        now = clock.now()
        self._deadline = now + self.request.context.remaining_seconds
        self._apply_effects(self._logic.begin(now))

    def stop(self) -> None:
        """End the call because the daemon ends; its waiters are told what is certain."""
        self._apply_effects(self._logic.stop(clock.now()))

    def add_waiter(self, on_outcome: Callable[[Outcome], None]) -> Callable[[], None]:
        """Call ``on_outcome`` once, now if the call is over; return a function that stops waiting.

        The call is cancelled when its last waiter stops waiting.
        """
        if self._outcome is not None:
            on_outcome(self._outcome)
        else:
            self._waiters.append(on_outcome)
        return lambda: self._remove_waiter(on_outcome)

    def _remove_waiter(self, on_outcome: Callable[[Outcome], None]) -> None:
        if on_outcome not in self._waiters:
            return
        self._waiters.remove(on_outcome)
        if not self._waiters and self._outcome is None:
            self._apply_effects(self._logic.cancel(clock.now()))

    def _apply_effects(self, effects: list[CallerEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self._send(effect)
            elif isinstance(effect, SetTimer):
                self._set_timer(effect.at)
            elif isinstance(effect, Finish):
                self._finish(effect)
            elif isinstance(effect, CancelAttempt) and self._attempt is not None:
                self._links.cancel(self._attempt)

    def _send(self, effect: SendAttempt) -> None:
        number = effect.attempt
        self._sent_attempts = number
        if number > 1:
            metrics.RETRIES.labels(self.request.service).inc()
        attempt = Attempt(
            request=self.request,
            allocated_attempts=effect.allocated_attempts,
            admitted_fraction=effect.admitted_fraction,
            deadline=self._deadline,
            on_reply=lambda reply: self._on_reply(number, reply),
            on_unsent=lambda reason, detail: self._on_unsent(
                number, effect.allocated_attempts, reason, detail
            ),
            repeated=effect.repeated,
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
            # Merged before the outcome, because the retry decision depends on it.
            self._on_crash_record(reply.crash_record)
        self.calls_below = max(0, reply.calls)
        outcome = reply.outcome
        if isinstance(outcome, Answered) and digest_of(outcome.body) != reply.digest:
            outcome = Failed(FailureReason.ANSWER_CORRUPT, self._retry_after())
        elif isinstance(outcome, Answered) and is_version_mismatch(self.request, outcome):
            detail = "a part of another edition than asked for"
            outcome = Failed(FailureReason.ANSWER_CORRUPT, self._retry_after(), detail)
        self._report(number, outcome, reply.spare_attempts, reply)

    def _on_unsent(
        self, number: int, allocated_attempts: int, reason: RefusalReason, detail: str
    ) -> None:
        refused = Refused(reason, self._retry_after(), detail)
        # Deferred, because effects of the state machine may still be executing.
        self._loop.call_soon(self._report, number, refused, allocated_attempts, None)

    def _report(self, number: int, outcome: Outcome, spare: int, reply: Reply | None) -> None:
        load = None if reply is None else reply.load
        now = clock.now()
        self._record_attempt(outcome, now)
        self._apply_effects(self._logic.on_outcome(number, outcome, spare, load, now))

    def _record_attempt(self, outcome: Outcome, now: float) -> None:
        self._recorded_attempts = self._sent_attempts
        if not is_logged(self.request, outcome):
            return  # successful and not sampled
        reason = "" if isinstance(outcome, Answered) else str(outcome.reason)
        self.attempts.append(
            AttemptRecord(
                endpoint=self.endpoint,
                outcome=outcome_name(outcome),
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
        # The loop may fire slightly early by the clock that the state machine uses.
        now = max(due, clock.now())
        self._apply_effects(self._logic.on_timer(now))

    def _finish(self, effect: Finish) -> None:
        if self._recorded_attempts < self._sent_attempts:
            self._record_attempt(effect.outcome, clock.now())
        outcome = with_session_endpoint(self.request, self.endpoint, effect.outcome)
        self._outcome = outcome
        # Breaks the reference cycle through the attempt's callbacks, so no collection is needed.
        self._attempt = None
        if self._timer is not None:
            self._timer.cancel()
        waiters = self._waiters
        self._waiters = []
        for on_outcome in waiters:
            on_outcome(outcome)
        self._on_finish(self, outcome, effect.spare_returned)
