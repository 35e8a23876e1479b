"""One call at the caller's side: choice, retries within the budget, and the final outcome.

Inputs: the call's context (seconds left, spare attempts), outcomes of its attempts, what is held
against the request (crashes) and the time. Owns the state of the call; the table chooses endpoints,
:mod:`finchshed.retry.policy` says what may be tried again and the bucket bounds it. Reasons given:
``deadline``, ``cancelled`` and ``quarantined`` as refusals, ``deadline`` and ``aborted`` as
failures; others are passed on.

Its runner sends what the effects ask for and reports outcomes by attempt number. The last effect of
a call is always one :class:`~finchshed.routing.caller_effects.Finish`, at once when the call is
given up on.
"""

import random
from collections.abc import Callable

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
from finchshed.common.results import CallResult, result_of
from finchshed.configuration.resources import Endpoint
from finchshed.quarantine.register import FREE, LAST_OWN_RETRY_CRASHES, Assessment, Suspicion
from finchshed.retry.account import allocated_attempts
from finchshed.retry.bucket import RetryBucket
from finchshed.retry.policy import (
    ERROR_RETRY_TIME_FACTOR,
    backoff,
    is_redirect,
    may_retry,
    retry_after,
)
from finchshed.routing.caller_effects import (
    CallerEffect,
    CancelAttempt,
    Finish,
    SendAttempt,
    SetTimer,
)
from finchshed.routing.table import RoutingTable

MAX_REDIRECTS = 2
"""Times a call is sent elsewhere, free of the budget, because an endpoint took no work at all.
Chosen, not measured."""

DEADLINE_OVERLOAD = 1.0
"""Overload that the time to come back is computed with after a deadline: 0.5 s in the mean. Chosen,
not measured."""


def _always_free() -> Assessment:
    """Stand in where no request is ever a suspect."""
    return FREE


class CallStateMachine:
    """State machine of one call.

    Parameters
    ----------
    table
        Endpoints to choose from.
    bucket
        Service-wide bound on retries.
    service
        Service that is called.
    context
        Context of the call; its ``spare_attempts`` are what the call was lent.
    repeatable
        Whether the request may run more than once.
    rng
        Source of jitter.
    pinned
        Name of the endpoint that serves the request's session, or empty. Another one is taken
        only if this one is lost or sends the session away, never because it is busy.
    route
        Route of the service that the request falls under.
    target_seconds
        Latency it is meant to be answered in; 0: none.
    signature
        Returns the request's signature; asked for only if it is a suspect.
    assess
        Returns what may be done with the request, by the ends of back ends under it.
    """

    def __init__(
        self,
        table: RoutingTable,
        bucket: RetryBucket,
        service: str,
        context: CallContext,
        *,
        repeatable: bool,
        rng: random.Random,
        pinned: str = "",
        route: str = "",
        target_seconds: float = 0.0,
        signature: Callable[[], str] = str,
        assess: Callable[[], Assessment] = _always_free,
    ) -> None:
        self._signature = signature
        self._assess = assess
        self._table = table
        self._bucket = bucket
        self.service = service
        self._context = context
        self._repeatable = repeatable
        self._rng = rng
        self._pinned = pinned
        self._is_pinned = bool(pinned)
        self._route = route
        self._target_seconds = target_seconds
        self._spare = context.spare_attempts
        self._deadline = 0.0
        self._attempt = 0
        self._redirects = 0
        self._lent = 0
        self._sent_at = 0.0
        self._current: Endpoint | None = None
        self._tried: set[str] = set()
        self._last: Outcome | None = None
        self._failed: Failed | None = None
        self._answer: Answered | None = None
        self.finished = False

    def begin(self, now: float) -> list[CallerEffect]:
        """Start the call; its deadline is ``remaining_seconds`` of the context from ``now``."""
        self._deadline = now + self._context.remaining_seconds
        if self._context.remaining_seconds <= 0.0:
            return self._refuse(RefusalReason.DEADLINE)
        return self._send(now)

    def on_outcome(
        self,
        attempt: int,
        outcome: Outcome,
        spare_returned: int,
        load: LoadReport | None,
        now: float,
    ) -> list[CallerEffect]:
        """Act on the outcome of an attempt.

        Parameters
        ----------
        spare_returned
            Spare attempts the answer returns; 0 where no answer came.
        load
            Report that came with the answer, or None.
        """
        if self.finished or attempt != self._attempt or self._current is None:
            return []
        result = result_of(outcome)
        self._table.on_reply(self._current.name, load, result, now - self._sent_at, now)
        self._current = None
        self._spare += max(0, min(spare_returned, self._lent))
        self._lent = 0
        self._last = outcome
        if isinstance(outcome, Failed):
            self._failed = outcome
        if isinstance(outcome, Failed) or _lacks_session(outcome):
            self._is_pinned = False
        if isinstance(outcome, Answered):
            self._answer = outcome
        if not self._is_worth_another(outcome, now) or not self._pay_for_another(outcome, now):
            return self._finish(outcome)
        if is_redirect(outcome):
            return self._send(now)
        wait = backoff(self._attempt - 1, self._rng)
        if now + wait >= self._deadline:
            return self._finish(outcome)
        return [SetTimer(now + wait)]

    def on_timer(self, now: float) -> list[CallerEffect]:
        """Act on the timer: time for a retry, or the deadline."""
        if self.finished:
            return []
        if now < self._deadline:
            return [] if self._current is not None else self._send(now)
        if self._current is None:
            return self._finish(self._last or self._refused(RefusalReason.DEADLINE))
        effects = self._withdraw(CallResult.FAILED, now)
        failed = Failed(FailureReason.DEADLINE, retry_after(DEADLINE_OVERLOAD, self._rng))
        return effects + self._finish(failed)

    def cancel(self, now: float) -> list[CallerEffect]:
        """Give up on behalf of the caller."""
        if self.finished:
            return []
        effects: list[CallerEffect] = []
        outcome: Outcome
        if self._current is None and isinstance(self._last, Refused | None):
            outcome = self._refused(RefusalReason.CANCELLED)
        else:
            outcome = Failed(FailureReason.ABORTED, retry_after(0.0, self._rng))
        if self._current is not None:
            effects = self._withdraw(CallResult.CANCELLED, now)
        return effects + self._finish(outcome)

    def _is_worth_another(self, outcome: Outcome, now: float) -> bool:
        """Whether the outcome allows another attempt, and there is time for it."""
        if not may_retry(outcome, self._repeatable):
            return False
        if isinstance(outcome, Failed) and self._assess().crashes > LAST_OWN_RETRY_CRASHES:
            return False
        if not isinstance(outcome, Answered):
            return True
        return self._deadline - now >= ERROR_RETRY_TIME_FACTOR * (now - self._sent_at)

    def _send(self, now: float) -> list[CallerEffect]:
        chosen = self._choose(now)
        if isinstance(chosen, Refused):
            return self._finish(self._last or chosen)
        self._attempt += 1
        self._current = chosen
        self._tried.add(chosen.name)
        self._lent = allocated_attempts(self._spare)
        self._spare -= self._lent
        self._sent_at = now
        report_age, in_flight = self._table.report_age_and_in_flight(chosen.name, now)
        self._table.on_sent(chosen.name, now)
        fraction = self._table.admitted_fraction(chosen.name, self._context, self._route, now)
        send = SendAttempt(
            attempt=self._attempt,
            endpoint=chosen,
            allocated_attempts=self._lent,
            report_age=report_age,
            in_flight=in_flight,
            admitted_fraction=fraction,
        )
        return [send, SetTimer(self._deadline)]

    def _choose(self, now: float) -> Endpoint | Refused:
        judgement = self._assess()
        if judgement.suspicion is Suspicion.QUARANTINED:
            detail = f"{judgement.crashes} back ends ended under it"
            return Refused(RefusalReason.QUARANTINED, judgement.seconds, detail)
        if judgement.suspicion is Suspicion.SUSPECT:
            return self._table.choose_designated(self.service, self._signature(), now)
        if self._is_pinned:
            chosen = self._table.choose_pinned(self._pinned, (), now)
            if not isinstance(chosen, Refused):
                return chosen
            self._is_pinned = False
        return self._table.choose(
            self.service,
            self._context,
            self._tried,
            now,
            self._route,
            target_seconds=self._target_seconds,
        )

    def _pay_for_another(self, outcome: Outcome, now: float) -> bool:
        if is_redirect(outcome) and self._redirects < MAX_REDIRECTS:
            self._redirects += 1
            return True
        if self._spare < 1 or not self._bucket.take(now):
            return False
        self._spare -= 1
        return True

    def _withdraw(self, result: CallResult, now: float) -> list[CallerEffect]:
        endpoint = self._current
        assert endpoint is not None
        self._table.on_reply(endpoint.name, None, result, now - self._sent_at, now)
        self._current = None
        self._lent = 0
        return [CancelAttempt(self._attempt, endpoint)]

    def _refused(self, reason: RefusalReason) -> Refused:
        return Refused(reason, retry_after(0.0, self._rng))

    def _refuse(self, reason: RefusalReason) -> list[CallerEffect]:
        return self._finish(self._refused(reason))

    def _finish(self, outcome: Outcome) -> list[CallerEffect]:
        """End the call. A refusal of its last attempt doesn't mean that no earlier one ran.

        An error answer that waited for another attempt is the outcome if that gave no answer.
        """
        if self._answer is not None:
            outcome = self._answer
            self._bucket.on_success(is_call=self._context.is_call)
        elif isinstance(outcome, Refused) and self._failed is not None:
            outcome = Failed(self._failed.reason, outcome.retry_after, self._failed.detail)
        self.finished = True
        return [Finish(outcome, self._spare)]


def _lacks_session(outcome: Outcome) -> bool:
    """Return whether the pinned endpoint said that it doesn't have the session.

    It counts a running session as admitted, and never refuses it for the bound on sessions.
    """
    if is_redirect(outcome):
        return True
    return isinstance(outcome, Refused) and outcome.reason is RefusalReason.SESSION_LIMIT
