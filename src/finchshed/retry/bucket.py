"""Retry limit per service: a token bucket that is refilled by successes or by requests.

Each success or request adds ``ratio`` tokens and each retry takes one, so retries stay below a
fraction of the recent ones (*Site Reliability Engineering*, Beyer et al., 2016, chapter 21: retry
budgets). A small constant refill lets services with little traffic retry too.

Refilled by successes, the bucket is used as it is and grants every retry while it holds a token.
Refilled by requests, it keeps its rate while many attempts are refused;
:mod:`finchshed.retry.spending` then decides which retries may take its tokens.
"""

from finchshed.common.context import CallContext
from finchshed.common.outcomes import Outcome

DEFAULT_CAPACITY = 20.0
"""Maximum number of tokens: the burst of retries allowed after an idle period."""

DEFAULT_REFILL_PER_SECOND = 0.5
"""Tokens added each second regardless of successes."""

MAX_DEBT = 20.0
"""Maximum number of tokens owed for calls of repeated executions. Bounds how long other retries are
denied after many of them: without it, the debt of one overload would outlast it by far."""

CALL_SUCCESS_FRACTION = 0.2
"""Tokens added by the success of a call made for a request, relative to those of a root request.

Ten times as much raised failures from 0.072 to 0.149 (docs/design/compared-policies.md)."""


class RetryBucket:
    """Limits the retries of all calls from one daemon to one service.

    Parameters
    ----------
    ratio
        Tokens added by one success or one request.
    now
        Time of creation, seconds.
    capacity
        Maximum number of tokens.
    refill_per_second
        Tokens added each second.
    """

    marks_repeats = False
    reuses_endpoints = False

    def __init__(
        self,
        ratio: float,
        now: float,
        capacity: float = DEFAULT_CAPACITY,
        refill_per_second: float = DEFAULT_REFILL_PER_SECOND,
    ) -> None:
        self.ratio = ratio
        self._capacity = capacity
        self._refill = refill_per_second
        self._tokens = capacity / 2
        self._updated = now

    @property
    def capacity(self) -> float:
        """Maximum number of tokens."""
        return self._capacity

    def tokens(self, now: float) -> float:
        """Return the number of tokens held."""
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        self._tokens = min(self._capacity, self._tokens + elapsed * self._refill)
        return self._tokens

    def set_bounds(self, capacity: float, refill_per_second: float) -> None:
        """Apply changed bounds; excess tokens are lost."""
        self._capacity = capacity
        self._refill = refill_per_second
        self._tokens = min(self._tokens, capacity)

    def on_success(self, *, is_call: bool = False) -> None:
        """Add tokens for a success.

        A call made for a request adds fewer tokens, because a retry of the root request repeats all
        of its calls.
        """
        fraction = CALL_SUCCESS_FRACTION if is_call else 1.0
        self._tokens = min(self._capacity, self._tokens + fraction * self.ratio)

    def on_request(self) -> None:
        """Add tokens for the first attempt of a call or root request, whatever its outcome."""
        self._tokens = min(self._capacity, self._tokens + self.ratio)

    def put_back(self) -> None:
        """Return one token that was taken."""
        self._tokens = min(self._capacity, self._tokens + 1.0)

    def take(self, now: float) -> bool:
        """Take one token for a retry; return whether there was one."""
        if self.tokens(now) < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def charge(self, now: float) -> None:
        """Use one token for an attempt that is sent in any case; the bucket may go into debt."""
        self._tokens = max(-MAX_DEBT, self.tokens(now) - 1.0)

    def begin_call(self, context: CallContext, now: float, *, is_retry: bool = False) -> bool:
        """Return True: first attempts are not limited."""
        return True

    def take_for(self, context: CallContext, now: float) -> bool:
        """Take one token for a retry of any value."""
        return self.take(now)

    def give_back(self, context: CallContext) -> None:
        """Do nothing: the token of a retry that is not sent is lost."""

    def on_outcome(self, outcome: Outcome) -> None:
        """Do nothing: :meth:`on_success` receives the answers."""
