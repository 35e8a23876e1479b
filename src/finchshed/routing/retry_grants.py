"""Retries of one call that the retry limit of its service grants or denies."""

from finchshed.common.context import CallContext
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.retry.limit import RetryLimit


class RetryGrants:
    """Asks the retry limit on behalf of one call, and counts its answers.

    Parameters
    ----------
    limit
        Service-wide bound on retries.
    context
        Context of the call.
    is_retry
        Whether the caller repeats an earlier call that failed.

    Attributes
    ----------
    granted, denied
        Retries that the limit granted and that were sent, and retries that it denied.
    """

    __slots__ = (
        "_context",
        "_is_retry",
        "_is_unsent",
        "_limit",
        "_may_have_run",
        "denied",
        "granted",
    )

    def __init__(self, limit: RetryLimit, context: CallContext, *, is_retry: bool) -> None:
        self._limit = limit
        self._context = context
        self._is_retry = is_retry
        self._may_have_run = False
        self._is_unsent = False
        self.granted = 0
        self.denied = 0

    @property
    def marks_repeat(self) -> bool:
        """Whether the next attempt has to say that it may repeat an execution."""
        return self._may_have_run and self._limit.marks_repeats

    def may_reuse_endpoints(self, outcome: Outcome | None) -> bool:
        """Return whether an endpoint that was tried may be used again after ``outcome``."""
        if not isinstance(outcome, Refused) or not self._limit.reuses_endpoints:
            return False
        return outcome.reason is RefusalReason.BACKEND_REFUSED

    def may_begin(self, now: float) -> bool:
        """Return whether the first attempt may be sent; a repeat may need a token."""
        may_begin = self._limit.begin_call(self._context, now, is_retry=self._is_retry)
        if not may_begin:
            self.denied += 1
        elif self._limit.marks_repeats and (self._is_retry or self._context.repeated):
            self.granted += 1
        return may_begin

    def take(self, now: float) -> bool:
        """Take a token for a retry; return whether it may be sent."""
        is_granted = self._limit.take_for(self._context, now)
        if is_granted:
            self.granted += 1
            self._is_unsent = True
        else:
            self.denied += 1
        return is_granted

    def on_sent(self) -> None:
        """Record that the attempt for which a token was taken is sent."""
        self._is_unsent = False

    def on_finish(self) -> None:
        """Return the token of a retry that is not sent."""
        if self._is_unsent:
            self._is_unsent = False
            self.granted -= 1
            self._limit.give_back(self._context)

    def on_outcome(self, outcome: Outcome) -> None:
        """Handle the outcome of an attempt."""
        self._limit.on_outcome(outcome)
        if not isinstance(outcome, Refused):
            self._may_have_run = True

    def on_success(self) -> None:
        """Handle the answer to the call."""
        self._limit.on_success(is_call=self._context.is_call)
