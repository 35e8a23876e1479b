"""Service-wide bound on retries: a token bucket filled by successes.

Each success adds ``ratio`` tokens and each retry takes one, so in sum retries stay below a fraction
of recent successes (*Site Reliability Engineering*, Beyer et al., 2016, chapter 21: retry budgets).
A small steady inflow lets services with little traffic retry at all. Owns the tokens of one service
at one daemon; a token is a retry.
"""

DEFAULT_CAPACITY = 20.0
"""Tokens kept at most: the burst of retries allowed after a quiet time. Chosen, not measured."""

DEFAULT_INFLOW_PER_SECOND = 0.5
"""Tokens added each second regardless of successes. Chosen, not measured."""

CALL_SUCCESS_FRACTION = 0.2
"""Tokens that the success of a call brings, as a fraction of those of a request. Chosen, not
measured alone: ten times as much, tried with another change, raised failures from 0.072 to 0.149
(docs/design/compared-policies.md)."""


class RetryBucket:
    """Bounds the retries of all calls from one daemon to one service.

    Parameters
    ----------
    ratio
        Tokens added by one success.
    now
        Time of creation, seconds.
    capacity
        Tokens kept at most.
    inflow_per_second
        Tokens added each second.
    """

    def __init__(
        self,
        ratio: float,
        now: float,
        capacity: float = DEFAULT_CAPACITY,
        inflow_per_second: float = DEFAULT_INFLOW_PER_SECOND,
    ) -> None:
        self.ratio = ratio
        self._capacity = capacity
        self._inflow = inflow_per_second
        self._tokens = capacity / 2
        self._updated = now

    def set_bounds(self, capacity: float, inflow_per_second: float) -> None:
        """Act on changed bounds; tokens past them are lost."""
        self._capacity = capacity
        self._inflow = inflow_per_second
        self._tokens = min(self._tokens, capacity)

    def on_success(self, *, is_call: bool = False) -> None:
        """Count a success.

        A call made for a request brings less: when a request is repeated all of its calls are made
        again, and count as repeats where they arrive.
        """
        fraction = CALL_SUCCESS_FRACTION if is_call else 1.0
        self._tokens = min(self._capacity, self._tokens + fraction * self.ratio)

    def take(self, now: float) -> bool:
        """Take one token for a retry; return whether there was one."""
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        self._tokens = min(self._capacity, self._tokens + elapsed * self._inflow)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
