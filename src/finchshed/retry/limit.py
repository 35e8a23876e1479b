"""Interface of the service-wide bound on retries, as used by the state machine of a call."""

from typing import Protocol

from finchshed.common.context import CallContext
from finchshed.common.outcomes import Outcome


class RetryLimit(Protocol):
    """Bounds the retries of all calls from one daemon to one service.

    Attributes
    ----------
    marks_repeats
        Whether attempts tell the callee that they may repeat an execution.
    reuses_endpoints
        Whether a request that every back end refused may be sent to one of them again.
    """

    marks_repeats: bool
    reuses_endpoints: bool

    def begin_call(self, context: CallContext, now: float, *, is_retry: bool = False) -> bool:
        """Return whether the first attempt of a call may be sent.

        ``is_retry`` tells whether the caller repeats an earlier call that failed.
        """

    def take_for(self, context: CallContext, now: float) -> bool:
        """Take one token for a retry; return whether it may be sent."""

    def give_back(self, context: CallContext) -> None:
        """Return the token of a retry that was not sent."""

    def on_outcome(self, outcome: Outcome) -> None:
        """Handle the outcome of an attempt."""

    def on_success(self, *, is_call: bool = False) -> None:
        """Handle the answer to a call."""
