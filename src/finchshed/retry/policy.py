"""When to retry, how long to wait before it, and when to tell a client to come back.

Inputs: the outcome of an attempt, whether the request is repeatable, how often it was retried, and
how overloaded the refusing part is. Pure; whether a retry is paid for is decided by the account of
the root request and the bucket of the service.
"""

import random

from finchshed.common.backoff import Backoff
from finchshed.common.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.common.results import GATEWAY_TIMEOUT, CallResult, result_of

BACKOFF_BASE_SECONDS = 0.005
"""Upper bound of the first wait before a retry; it doubles with each retry. Chosen, not
measured."""

BACKOFF_MAX_SECONDS = 0.1
"""Upper bound of any wait before a retry. Chosen, not measured."""

RETRY_BACKOFF = Backoff(BACKOFF_BASE_SECONDS, BACKOFF_MAX_SECONDS)

RETRY_AFTER_BASE_SECONDS = 0.25
"""Mean time until a client is told to come back when nothing is overloaded. Chosen, not
measured."""

RETRY_AFTER_MAX_SECONDS = 30.0
"""Longest mean time a client is told to stay away. Chosen, not measured."""

RETRY_AFTER_SPREAD = 0.5
"""The time told is spread evenly over this fraction of its mean below and above it, so that clients
don't return together. Chosen, not measured."""

REDIRECT_REASONS = frozenset({RefusalReason.DRAINING, RefusalReason.CONNECT_FAILED})
"""Refusals that say the request should go elsewhere; nothing was done for it there."""

RETRIED_REFUSALS = frozenset(
    {
        RefusalReason.OVERLOAD,
        RefusalReason.QUEUE_FULL,
        RefusalReason.BACKEND_REFUSED,
        RefusalReason.NO_CONFIGURATION,
        RefusalReason.SESSION_LIMIT,
    }
)
"""Refusals that another endpoint may not give."""

RETRIED_FAILURES = frozenset(
    {FailureReason.LINK_BROKEN, FailureReason.BACKEND_BROKEN, FailureReason.ANSWER_CORRUPT}
)
"""Failures after which a repeatable request may be sent again."""


ERROR_RETRY_TIME_FACTOR = 2.0
"""An error answer is tried again only if so many times what it took are left.

Another attempt is likely to take as long, and what it answers must still be of use; the error
answer itself waits meanwhile. Chosen, not measured."""


def may_retry(outcome: Outcome, repeatable: bool) -> bool:
    """Return whether another attempt at another endpoint makes sense after ``outcome``.

    A request that did not run may always be sent again; one that may have run, or ended in an
    error of the back end's own, only where it is declared repeatable. After an error that came of
    a call further down none is made: all calls of the request would be made again.
    """
    if isinstance(outcome, Answered):
        is_own_error = result_of(outcome) is CallResult.ERROR
        return repeatable and is_own_error and outcome.status != GATEWAY_TIMEOUT
    if isinstance(outcome, Refused):
        return outcome.reason in RETRIED_REFUSALS or outcome.reason in REDIRECT_REASONS
    if isinstance(outcome, Failed):
        return repeatable and outcome.reason in RETRIED_FAILURES
    return False


def is_redirect(outcome: Outcome) -> bool:
    """Return whether ``outcome`` only says to go elsewhere."""
    return isinstance(outcome, Refused) and outcome.reason in REDIRECT_REASONS


def backoff(retry: int, rng: random.Random) -> float:
    """Return the wait before retry number ``retry`` (from 0), seconds, with full jitter."""
    return RETRY_BACKOFF.full_jitter(retry, rng)


def retry_after(overload: float, rng: random.Random) -> float:
    """Return when a client should come back, seconds.

    Parameters
    ----------
    overload
        Demand that is refused, as a multiple of what is admitted; 0 when nothing is refused.
    rng
        Spreads the clients evenly, so that they don't return together.
    """
    mean = min(RETRY_AFTER_MAX_SECONDS, RETRY_AFTER_BASE_SECONDS * (1.0 + max(0.0, overload)))
    spread = 1.0 - RETRY_AFTER_SPREAD + 2.0 * RETRY_AFTER_SPREAD * rng.random()
    return mean * spread
