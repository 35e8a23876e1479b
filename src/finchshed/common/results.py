"""Result of an attempt, as used by routing, concurrency limits and retry budgets."""

import enum

from finchshed.common.context import HEADER_DOWNSTREAM
from finchshed.common.outcomes import Answered, Outcome, Refused

SERVER_ERROR = 500
"""Lowest HTTP status that counts as an error of the back end (RFC 9110, 15.6)."""

GATEWAY_TIMEOUT = 504
"""HTTP status Gateway Timeout (RFC 9110, 15.6.5)."""


class CallResult(enum.IntEnum):
    """Result of one attempt."""

    OK = 0
    """A complete answer other than a server error."""

    ERROR = 1
    """A complete answer with a server error (5xx)."""

    REFUSED = 2
    """The attempt did not run."""

    FAILED = 3
    """It is unknown whether the attempt ran."""

    CANCELLED = 4
    """The caller cancelled the attempt; the back end is not at fault."""

    DOWNSTREAM = 5
    """A server error caused by an unanswered downstream call; the back end is not at fault."""


def result_of(outcome: Outcome) -> CallResult:
    """Return the result that corresponds to ``outcome``."""
    if isinstance(outcome, Answered):
        return _result_of_status(outcome)
    if isinstance(outcome, Refused):
        return CallResult.REFUSED
    return CallResult.FAILED


def _result_of_status(answer: Answered) -> CallResult:
    if answer.status < SERVER_ERROR:
        return CallResult.OK
    if any(name == HEADER_DOWNSTREAM for name, _ in answer.headers):
        return CallResult.DOWNSTREAM
    return CallResult.ERROR
