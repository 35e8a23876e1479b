"""Retry policy: which outcomes are retried, the backoff before a retry, and retry-after times.

Whether the budget allows a retry is decided by the account of the root request and by the token
bucket of the service.
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
"""Upper bound of the wait before the first retry; it doubles with each further one."""

BACKOFF_MAX_SECONDS = 0.1
"""Upper bound of the wait before any retry."""

RETRY_BACKOFF = Backoff(BACKOFF_BASE_SECONDS, BACKOFF_MAX_SECONDS)

RETRY_AFTER_BASE_SECONDS = 0.25
"""Mean retry-after time without overload."""

RETRY_AFTER_MAX_SECONDS = 30.0
"""Maximum mean retry-after time."""

RETRY_AFTER_SPREAD = 0.5
"""Jitter of retry-after times, as a fraction of the mean in both directions, so that clients don't
return at the same time."""

REDIRECT_REASONS = frozenset({RefusalReason.DRAINING, RefusalReason.CONNECT_FAILED})
"""Refusals that only ask to use another endpoint."""

FREE_RETRY_REASONS = REDIRECT_REASONS | {RefusalReason.RATE_LIMITED}
"""Refusals after which the request is sent to another endpoint without using the retry budget."""

RETRIED_REFUSALS = frozenset(
    {
        RefusalReason.OVERLOAD,
        RefusalReason.QUEUE_FULL,
        RefusalReason.BACKEND_REFUSED,
        RefusalReason.NO_CONFIGURATION,
        RefusalReason.SESSION_LIMIT,
    }
)
"""Refusals after which another endpoint may accept the request."""

RETRIED_FAILURES = frozenset(
    {FailureReason.LINK_BROKEN, FailureReason.BACKEND_BROKEN, FailureReason.ANSWER_CORRUPT}
)
"""Failures after which a repeatable request may be retried."""


ERROR_RETRY_TIME_FACTOR = 2.0
"""An error answer is retried only if this multiple of its own duration is left until the deadline.

Another attempt is likely to take as long, and delays the error answer meanwhile.
"""


def may_retry(outcome: Outcome, repeatable: bool) -> bool:
    """Return whether ``outcome`` may be retried at another endpoint.

    A request that did not run may always be retried. One that may have run, or that ended in an
    error of the back end itself, is retried only if it is repeatable. An error caused by a failed
    downstream call is not retried, because that would repeat all calls of the request.
    """
    if isinstance(outcome, Answered):
        is_own_error = result_of(outcome) is CallResult.ERROR
        return repeatable and is_own_error and outcome.status != GATEWAY_TIMEOUT
    if isinstance(outcome, Refused):
        return outcome.reason in RETRIED_REFUSALS or outcome.reason in FREE_RETRY_REASONS
    if isinstance(outcome, Failed):
        return repeatable and outcome.reason in RETRIED_FAILURES
    return False


def is_redirect(outcome: Outcome) -> bool:
    """Return whether ``outcome`` only asks to use another endpoint."""
    return isinstance(outcome, Refused) and outcome.reason in REDIRECT_REASONS


def is_free_retry(outcome: Outcome) -> bool:
    """Return whether a retry after ``outcome`` uses no retry budget."""
    return isinstance(outcome, Refused) and outcome.reason in FREE_RETRY_REASONS


def backoff(retry: int, rng: random.Random) -> float:
    """Return the wait before retry number ``retry`` (from 0), seconds, with full jitter."""
    return RETRY_BACKOFF.full_jitter(retry, rng)


def retry_after(overload: float, rng: random.Random) -> float:
    """Return the retry-after time for a refused client, seconds.

    Parameters
    ----------
    overload
        Ratio of refused to admitted demand; 0 if nothing is refused.
    rng
        Source of the jitter.
    """
    mean = min(RETRY_AFTER_MAX_SECONDS, RETRY_AFTER_BASE_SECONDS * (1.0 + max(0.0, overload)))
    jitter = 1.0 - RETRY_AFTER_SPREAD + 2.0 * RETRY_AFTER_SPREAD * rng.random()
    return mean * jitter
