"""The retry buckets of a daemon follow the policy in force."""

from finchshed.configuration.resources import Policy
from finchshed.retry.bucket import RetryBucket
from finchshed.retry.buckets import RetryBuckets

LONG_SECONDS = 10_000.0
"""Time in which any steady inflow fills a bucket."""


def taken(bucket: RetryBucket, now: float) -> int:
    count = 0
    while bucket.take(now):
        count += 1
    return count


def filled(bucket: RetryBucket) -> RetryBucket:
    for _ in range(1000):
        bucket.on_success()
    return bucket


def test_a_shared_burst_is_divided_between_the_daemons() -> None:
    budgets = RetryBuckets(Policy(retry_burst=12.0))
    budgets.set_daemon_count(4)
    assert taken(filled(budgets.bucket("sales", 0.0)), 0.0) == 3
    budgets.set_daemon_count(100)
    assert taken(filled(budgets.bucket("sales", 0.0)), 0.0) == 1


def test_a_burst_that_is_no_longer_shared_is_each_daemons_own_again() -> None:
    budgets = RetryBuckets(Policy(retry_burst=12.0))
    budgets.set_daemon_count(4)
    bucket = budgets.bucket("sales", 0.0)
    budgets.configure(Policy())
    assert budgets.bucket("sales", 0.0) is bucket
    assert taken(bucket, LONG_SECONDS) == taken(
        RetryBuckets(Policy()).bucket("b", 0.0), LONG_SECONDS
    )


def test_another_ratio_begins_with_new_buckets() -> None:
    budgets = RetryBuckets(Policy())
    bucket = budgets.bucket("sales", 0.0)
    budgets.configure(Policy(retry_ratio=0.2))
    assert budgets.bucket("sales", 0.0) is not bucket
