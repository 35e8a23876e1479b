"""How a call ended, as far as routing, limits and retry budgets care."""

import enum

from finchshed.common.outcomes import Answered, Outcome, Refused

SERVER_ERROR = 500
"""Lowest HTTP status that counts as an error of the back end (RFC 9110, 15.6)."""


class CallResult(enum.IntEnum):
    """Result of one attempt."""

    OK = 0
    """A whole answer that is no server error."""

    ERROR = 1
    """A whole answer with a server error (5xx)."""

    REFUSED = 2
    """The attempt did not run."""

    FAILED = 3
    """It is unknown whether the attempt ran."""

    CANCELLED = 4
    """The caller gave up; this says nothing about the back end."""


def result_of(outcome: Outcome) -> CallResult:
    """Return the result class of ``outcome``."""
    if isinstance(outcome, Answered):
        return CallResult.ERROR if outcome.status >= SERVER_ERROR else CallResult.OK
    if isinstance(outcome, Refused):
        return CallResult.REFUSED
    return CallResult.FAILED
