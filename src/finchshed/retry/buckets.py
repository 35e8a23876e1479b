"""Retry buckets of all services that one daemon calls, configured by the policy."""

import msgspec

from finchshed.configuration.resources import Policy, RetryRefill
from finchshed.retry.bucket import DEFAULT_CAPACITY, DEFAULT_REFILL_PER_SECOND, RetryBucket
from finchshed.retry.limit import RetryLimit
from finchshed.retry.spending import RetryFigures, RetrySpending

MIN_CAPACITY = 1.0
"""Each daemon may make one retry after an idle period, however many share the burst."""

INITIAL_FRACTION = 1.0 / 3.0
"""Fraction of its share of the burst that a daemon begins with when requests refill the buckets.

It may hold the rest of the share, twice as much. The share then covers what the daemon held before
a restart and what it begins with after it.
"""


class RetryTokens(msgspec.Struct, frozen=True):
    """Tokens for retries at one service, for operators."""

    service: str
    tokens: float
    capacity: float


class RetryBuckets:
    """Keeps one bucket per service, updated when the policy changes.

    Parameters
    ----------
    policy
        Policy to use until the first configuration.
    """

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._daemons: int | None = None
        self._buckets: dict[str, RetryBucket] = {}
        self._spending: dict[str, RetrySpending] = {}

    @property
    def is_refilled_by_requests(self) -> bool:
        """Whether requests add the tokens, rather than successes."""
        return self._policy.retry_refill is RetryRefill.REQUESTS

    def configure(self, policy: Policy) -> None:
        """Apply a policy; a changed ratio or refill rule discards all buckets."""
        previous = self._policy
        if (policy.retry_ratio, policy.retry_refill) != (
            previous.retry_ratio,
            previous.retry_refill,
        ):
            self._buckets.clear()
            self._spending.clear()
        self._policy = policy
        self._apply_all_bounds()

    def set_daemon_count(self, daemons: int) -> None:
        """Set the number of daemons that share the burst, this one included."""
        self._daemons = max(1, daemons)
        self._apply_all_bounds()

    def limit(self, service: str, now: float) -> RetryLimit:
        """Return the bound on retries to a service; ``now`` is monotonic seconds."""
        bucket = self.bucket(service, now)
        if not self.is_refilled_by_requests:
            return bucket
        spending = self._spending.get(service)
        if spending is None:
            spending = self._spending[service] = RetrySpending(bucket, now)
        return spending

    def bucket(self, service: str, now: float) -> RetryBucket:
        """Return the bucket of a service; ``now`` is monotonic seconds."""
        bucket = self._buckets.get(service)
        if bucket is None:
            initial = self._initial_tokens()
            # A bucket begins half full.
            bucket = RetryBucket(self._policy.retry_ratio, now, capacity=2.0 * initial)
            self._buckets[service] = bucket
            self._apply_bounds(bucket)
        return bucket

    def figures(self, now: float) -> dict[str, RetryFigures]:
        """Return the present state by service; empty while successes add the tokens."""
        return {service: spending.figures(now) for service, spending in self._spending.items()}

    def figures_of(self, service: str, now: float) -> RetryFigures | None:
        """Return the present state of one service, or None."""
        spending = self._spending.get(service)
        return None if spending is None else spending.figures(now)

    def tokens(self, now: float) -> tuple[RetryTokens, ...]:
        """Return the tokens of each service that has been called, by name."""
        return tuple(
            RetryTokens(service, bucket.tokens(now), bucket.capacity)
            for service, bucket in sorted(self._buckets.items())
        )

    def _apply_all_bounds(self) -> None:
        for bucket in self._buckets.values():
            self._apply_bounds(bucket)

    def _apply_bounds(self, bucket: RetryBucket) -> None:
        """Give a bucket this daemon's share of the configured burst, or else the defaults."""
        burst = self._policy.retry_burst
        if burst <= 0.0:
            bucket.set_bounds(DEFAULT_CAPACITY, DEFAULT_REFILL_PER_SECOND)
            return
        capacity = burst / (self._daemons or 1)
        if self.is_refilled_by_requests:
            capacity = self._share() - self._initial_tokens()
        bucket.set_bounds(max(MIN_CAPACITY, capacity), 0.0)

    def _initial_tokens(self) -> float:
        """Return the tokens that a new bucket holds, before its bounds apply."""
        if self._policy.retry_burst <= 0.0 or not self.is_refilled_by_requests:
            return DEFAULT_CAPACITY / 2.0
        return max(MIN_CAPACITY, INITIAL_FRACTION * self._share())

    def _share(self) -> float:
        """Return this daemon's share of the burst; nothing until it knows who else has one."""
        return 0.0 if self._daemons is None else self._policy.retry_burst / self._daemons
