"""Calling side of an emulated daemon: carries out the effects of the call state machines.

Counterpart of :mod:`finchshed.daemon.calling.caller` and
:mod:`finchshed.daemon.calling.outgoing_call`.
"""

import random
from collections.abc import Callable
from typing import Final

from finchshed.admission.load_report import LoadReport
from finchshed.common.context import CallContext
from finchshed.common.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.emulator.clock import Timer
from finchshed.emulator.daemons.link import DaemonLink, SimulatedAttempt
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.request import SimulatedRequest
from finchshed.link.digests import digest_of
from finchshed.link.messages import (
    Reply,
)
from finchshed.proof.history import Admission, AttemptSent
from finchshed.retry.policy import retry_after
from finchshed.routing.caller import CallStateMachine
from finchshed.routing.caller_effects import (
    CallerEffect,
    CancelAttempt,
    Finish,
    SendAttempt,
    SetTimer,
)

SHED_REASONS: Final = frozenset(
    {RefusalReason.OVERLOAD, RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE}
)
"""Refusal reasons that indicate load shedding."""

OnFinish = Callable[[Outcome, int], None]


class CallingProcess(Process):
    """A process that calls endpoints over links."""

    random: random.Random

    def link_to(self, endpoint: str) -> DaemonLink:
        """Return the link to an endpoint."""
        raise NotImplementedError


class SimulatedOutgoingCall:
    """An outgoing call, which carries out the effects of its state machine.

    Attributes
    ----------
    endpoint
        The endpoint of the latest attempt, or empty.
    """

    def __init__(
        self,
        daemon: CallingProcess,
        logic: CallStateMachine,
        request: SimulatedRequest,
        context: CallContext,
        on_finish: OnFinish,
    ) -> None:
        self._process = daemon
        self._logic = logic
        self._request = request
        self._context = context
        self._deadline = daemon.now + context.remaining_seconds
        self._on_finish = on_finish
        self._timer: Timer | None = None
        self._attempts: dict[int, tuple[SimulatedAttempt, DaemonLink]] = {}
        self._was_sent = False
        self.endpoint = ""
        self._recorder = daemon.simulation.recorder

    def begin(self) -> None:
        """Start the call."""
        self._apply(self._logic.begin(self._process.now))

    def cancel(self) -> None:
        """Cancel the call on behalf of the caller."""
        self._apply(self._logic.cancel(self._process.now))

    def _apply(self, effects: list[CallerEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self._send(effect)
            elif isinstance(effect, SetTimer):
                self._set_timer(effect.at)
            elif isinstance(effect, CancelAttempt):
                self._withdraw(effect)
            else:
                self._finish(effect)

    def _send(self, effect: SendAttempt) -> None:
        number = effect.attempt
        self._was_sent = True
        self.endpoint = effect.endpoint.name
        remaining = self._deadline - self._process.now
        context = self._context.for_attempt(remaining, effect.allocated_attempts)
        attempt = SimulatedAttempt(
            self._request,
            context,
            self._deadline,
            lambda reply: self._replied(number, reply),
            lambda reason: self._unsent(number, effect.allocated_attempts, reason),
        )
        self._recorder.record(
            AttemptSent(
                self._process.now, self._request.call, self._request.root, effect.endpoint.name
            )
        )
        link = self._process.link_to(effect.endpoint.name)
        self._attempts[number] = (attempt, link)
        link.send(attempt)

    def _withdraw(self, effect: CancelAttempt) -> None:
        held = self._attempts.pop(effect.attempt, None)
        # A missing entry is an unsent attempt, whose outcome is already scheduled.
        if held is not None:
            attempt, link = held
            link.withdraw(attempt)

    def _replied(self, number: int, reply: Reply | None) -> None:
        self._attempts.pop(number, None)
        outcome: Outcome
        spare = 0
        load: LoadReport | None = None
        if reply is None:
            outcome = Failed(FailureReason.LINK_BROKEN, self._retry_after())
        else:
            outcome, spare, load = reply.outcome, reply.spare_attempts, reply.load
            if isinstance(outcome, Answered) and digest_of(outcome.body) != reply.digest:
                outcome = Failed(FailureReason.ANSWER_CORRUPT, self._retry_after())
        self._apply(self._logic.on_outcome(number, outcome, spare, load, self._process.now))

    def _unsent(self, number: int, allocated_attempts: int, reason: RefusalReason) -> None:
        self._attempts.pop(number, None)
        refused = Refused(reason, self._retry_after())
        # Deferred, because _apply may still be processing the effects that started this attempt.
        self._process.call_later(
            0.0,
            lambda: self._apply(
                self._logic.on_outcome(number, refused, allocated_attempts, None, self._process.now)
            ),
        )

    def _set_timer(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._process.call_later(at - self._process.now, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._apply(self._logic.on_timer(self._process.now))

    def _finish(self, effect: Finish) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._was_sent:
            self._record_shed(effect.outcome)
        self._on_finish(effect.outcome, effect.spare_returned)

    def _record_shed(self, outcome: Outcome) -> None:
        """Record a call that this daemon refused early because the service is overloaded."""
        if not isinstance(outcome, Refused) or outcome.reason not in SHED_REASONS:
            return
        context = self._context
        service = self._request.hop.service
        session = bool(context.session)
        self._recorder.record(
            Admission(
                self._process.now, "", service, context.root, context.importance, False, session
            )
        )

    def _retry_after(self) -> float:
        return retry_after(0.0, self._process.random)
