"""The retry buckets of all services that one daemon calls, bounded as the policy says."""

from finchshed.configuration.resources import Policy
from finchshed.retry.bucket import DEFAULT_CAPACITY, DEFAULT_INFLOW_PER_SECOND, RetryBucket

LEAST_CAPACITY = 1.0
"""Tokens: each daemon may make one retry after a quiet time, however many share the burst."""


class RetryBuckets:
    """Keeps one bucket for each service, in step with the policy in force.

    Parameters
    ----------
    policy
        Policy until the first configuration.
    """

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._daemons = 1
        self._buckets: dict[str, RetryBucket] = {}

    def configure(self, policy: Policy) -> None:
        """Act on a policy; another ratio begins with new buckets."""
        if policy.retry_ratio != self._policy.retry_ratio:
            self._buckets.clear()
        self._policy = policy
        self._bound_all()

    def set_daemon_count(self, daemons: int) -> None:
        """Take the number of daemons that share the burst, this one included."""
        self._daemons = max(1, daemons)
        self._bound_all()

    def bucket(self, service: str, now: float) -> RetryBucket:
        """Return the bucket of a service; ``now`` is monotonic seconds."""
        held = self._buckets.get(service)
        if held is None:
            held = self._buckets[service] = RetryBucket(self._policy.retry_ratio, now)
            self._bound(held)
        return held

    def _bound_all(self) -> None:
        for bucket in self._buckets.values():
            self._bound(bucket)

    def _bound(self, bucket: RetryBucket) -> None:
        """Give a bucket this daemon's part of the burst, or a burst of its own."""
        burst = self._policy.retry_burst
        if burst > 0.0:
            bucket.set_bounds(max(LEAST_CAPACITY, burst / self._daemons), 0.0)
        else:
            bucket.set_bounds(DEFAULT_CAPACITY, DEFAULT_INFLOW_PER_SECOND)
