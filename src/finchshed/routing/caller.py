"""State machine of one outgoing call: endpoint choice, retries within the budget, final outcome.

The routing table chooses endpoints, :mod:`finchshed.retry.policy` decides which outcomes may be
retried, and the retry limit of the service bounds the retries. Refusal reasons set here:
``deadline``, ``cancelled``, ``draining``, ``retries_spent``; failure reasons: ``deadline``,
``aborted``. Others are passed on.

The runner carries out the effects and reports outcomes by attempt number. The last effect of a call
is always one :class:`~finchshed.routing.caller_effects.Finish`.
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
from finchshed.quarantine.register import FREE, MAX_CRASHES_FOR_RETRY, Assessment
from finchshed.retry.account import allocated_attempts
from finchshed.retry.limit import RetryLimit
from finchshed.retry.policy import (
    ERROR_RETRY_TIME_FACTOR,
    backoff,
    is_free_retry,
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
from finchshed.routing.endpoint_choice import EndpointChoice
from finchshed.routing.retry_grants import RetryGrants
from finchshed.routing.table import RoutingTable

MAX_REDIRECTS = 2
"""How often a call may move to another endpoint without using its retry budget.

A redirect means that the endpoint took no work at all."""

DEADLINE_OVERLOAD = 1.0
"""Overload used for the retry-after time after a missed deadline; a mean of 0.5 s."""

STOP_DETAIL = "the daemon that took the request was stopped"


def _assess_as_free() -> Assessment:
    """Default assessment, for callers without a quarantine register."""
    return FREE


class CallStateMachine:
    """State machine of one call.

    Parameters
    ----------
    table
        Endpoints to choose from.
    limit
        Service-wide bound on retries.
    service
        Service that is called.
    context
        Context of the call, with the spare attempts allocated to it.
    repeatable
        Whether the request may be executed more than once.
    rng
        Source of jitter.
    pinned
        Name of the endpoint that serves the request's session, or empty. Another endpoint is used
        only if this one is lost or doesn't have the session, never because it is busy.
    route
        Route of the service that the request belongs to.
    target_seconds
        Target latency of the call; 0 if it has none.
    signature
        Returns the request's signature; called only if the request is a suspect.
    assess
        Returns the quarantine assessment of the request.
    is_retry
        Whether the caller repeats an earlier call that failed.

    Attributes
    ----------
    retries
        Retries that the limit granted or denied.
    """

    def __init__(
        self,
        table: RoutingTable,
        limit: RetryLimit,
        service: str,
        context: CallContext,
        *,
        repeatable: bool,
        rng: random.Random,
        pinned: str = "",
        route: str = "",
        target_seconds: float = 0.0,
        signature: Callable[[], str] = str,
        assess: Callable[[], Assessment] = _assess_as_free,
        is_retry: bool = False,
    ) -> None:
        self._choice = EndpointChoice(
            table,
            service,
            context,
            pinned=pinned,
            route=route,
            target_seconds=target_seconds,
            signature=signature,
            assess=assess,
        )
        self._assess = assess
        self._table = table
        self.retries = RetryGrants(limit, context, is_retry=is_retry)
        self.service = service
        self._context = context
        self._repeatable = repeatable
        self._rng = rng
        self._route = route
        self._spare = context.spare_attempts
        self._deadline = 0.0
        self._attempt = 0
        self._redirects = 0
        self._allocated = 0
        self._sent_at = 0.0
        self._current: Endpoint | None = None
        self._last_outcome: Outcome | None = None
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
        """Handle the outcome of an attempt.

        Parameters
        ----------
        spare_returned
            Unused spare attempts returned with the answer; 0 if there was no answer.
        load
            Load report received with the answer, or None.
        """
        if self.finished or attempt != self._attempt or self._current is None:
            return []
        result = result_of(outcome)
        self._table.on_reply(self._current.name, load, result, now - self._sent_at, now)
        self._current = None
        self._spare += max(0, min(spare_returned, self._allocated))
        self._allocated = 0
        self._last_outcome = outcome
        self.retries.on_outcome(outcome)
        if isinstance(outcome, Failed):
            self._failed = outcome
        self._choice.on_outcome(outcome)
        if isinstance(outcome, Answered):
            self._answer = outcome
        if not self._allows_retry(outcome, now) or not self._consume_retry_budget(outcome, now):
            return self._finish(outcome)
        if is_free_retry(outcome):
            return self._send(now)
        wait = backoff(self._attempt - 1, self._rng)
        if now + wait >= self._deadline:
            return self._finish(outcome)
        return [SetTimer(now + wait)]

    def on_timer(self, now: float) -> list[CallerEffect]:
        """Handle the timer: a retry is due, or the deadline has passed."""
        if self.finished:
            return []
        if now < self._deadline:
            return [] if self._current is not None else self._send(now)
        if self._current is None:
            return self._finish(self._last_outcome or self._refused(RefusalReason.DEADLINE))
        effects = self._cancel_attempt(CallResult.FAILED, now)
        failed = Failed(FailureReason.DEADLINE, retry_after(DEADLINE_OVERLOAD, self._rng))
        return effects + self._finish(failed)

    def cancel(self, now: float) -> list[CallerEffect]:
        """Cancel the call on behalf of its caller."""
        failed = Failed(FailureReason.ABORTED, retry_after(0.0, self._rng))
        return self._end_early(RefusalReason.CANCELLED, failed, now)

    def stop(self, now: float) -> list[CallerEffect]:
        """End the call because this process ends."""
        failed = Failed(FailureReason.DEADLINE, retry_after(0.0, self._rng), STOP_DETAIL)
        return self._end_early(RefusalReason.DRAINING, failed, now)

    def _end_early(self, refusal: RefusalReason, failed: Failed, now: float) -> list[CallerEffect]:
        """End the call as refused if it hasn't run for certain, otherwise as failed."""
        if self.finished:
            return []
        effects: list[CallerEffect] = []
        outcome: Outcome
        if self._current is None and isinstance(self._last_outcome, Refused | None):
            outcome = self._refused(refusal)
        else:
            outcome = failed
        if self._current is not None:
            effects = self._cancel_attempt(CallResult.CANCELLED, now)
        return effects + self._finish(outcome)

    def _allows_retry(self, outcome: Outcome, now: float) -> bool:
        """Return whether the outcome allows another attempt and enough time is left for it."""
        if not may_retry(outcome, self._repeatable):
            return False
        if isinstance(outcome, Failed) and self._assess().crashes > MAX_CRASHES_FOR_RETRY:
            return False
        if _is_rate_limited(outcome) and self._choice.has_only_one:
            return False
        if not isinstance(outcome, Answered):
            return True
        return self._deadline - now >= ERROR_RETRY_TIME_FACTOR * (now - self._sent_at)

    def _send(self, now: float) -> list[CallerEffect]:
        may_reuse = self._attempt > 0 and self.retries.may_reuse_endpoints(self._last_outcome)
        chosen = self._choice.choose(now, may_reuse=may_reuse)
        if isinstance(chosen, Refused):
            return self._finish(self._last_outcome or chosen)
        if self._attempt == 0 and not self.retries.may_begin(now):
            return self._refuse(RefusalReason.RETRIES_SPENT)
        self.retries.on_sent()
        self._attempt += 1
        self._current = chosen
        self._choice.on_sent(chosen.name)
        self._allocated = allocated_attempts(self._spare)
        self._spare -= self._allocated
        self._sent_at = now
        report_age, in_flight = self._table.report_age_and_in_flight(chosen.name, now)
        self._table.on_sent(chosen.name, now)
        fraction = self._table.admitted_fraction(chosen.name, self._context, self._route, now)
        send = SendAttempt(
            attempt=self._attempt,
            endpoint=chosen,
            allocated_attempts=self._allocated,
            report_age=report_age,
            in_flight=in_flight,
            admitted_fraction=fraction,
            repeated=self.retries.marks_repeat,
        )
        return [send, SetTimer(self._deadline)]

    def _consume_retry_budget(self, outcome: Outcome, now: float) -> bool:
        if is_free_retry(outcome) and self._redirects < MAX_REDIRECTS:
            self._redirects += 1
            return True
        if self._spare < 1 or not self.retries.take(now):
            return False
        self._spare -= 1
        return True

    def _cancel_attempt(self, result: CallResult, now: float) -> list[CallerEffect]:
        endpoint = self._current
        assert endpoint is not None
        self._table.on_reply(endpoint.name, None, result, now - self._sent_at, now)
        self._current = None
        self._allocated = 0
        return [CancelAttempt(self._attempt, endpoint)]

    def _refused(self, reason: RefusalReason) -> Refused:
        return Refused(reason, retry_after(0.0, self._rng))

    def _refuse(self, reason: RefusalReason) -> list[CallerEffect]:
        return self._finish(self._refused(reason))

    def _finish(self, outcome: Outcome) -> list[CallerEffect]:
        """End the call.

        If an earlier attempt failed, a refused last attempt doesn't mean that the request did not
        run, so the outcome is the failure. An error answer is the outcome if its retry wasn't
        answered.
        """
        if self._answer is not None:
            outcome = self._answer
            self.retries.on_success()
        elif isinstance(outcome, Refused) and self._failed is not None:
            outcome = Failed(self._failed.reason, outcome.retry_after, self._failed.detail)
        self.retries.on_finish()
        self.finished = True
        return [Finish(outcome, self._spare)]


def _is_rate_limited(outcome: Outcome) -> bool:
    return isinstance(outcome, Refused) and outcome.reason is RefusalReason.RATE_LIMITED
