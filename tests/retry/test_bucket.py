"""Retry token bucket of a service, and retry-after times."""

import random

from hypothesis import given
from hypothesis import strategies as st

from finchshed.retry.bucket import DEFAULT_CAPACITY, DEFAULT_REFILL_PER_SECOND, RetryBucket
from finchshed.retry.policy import (
    RETRY_AFTER_BASE_SECONDS,
    RETRY_AFTER_MAX_SECONDS,
    RETRY_AFTER_SPREAD,
    retry_after,
)


@given(
    st.floats(0.0, 1.0),
    st.lists(st.tuples(st.booleans(), st.floats(0.0, 0.5)), max_size=300),
)
def test_retries_stay_below_a_fraction_of_successes(
    ratio: float, steps: list[tuple[bool, float]]
) -> None:
    bucket = RetryBucket(ratio, 0.0)
    now = 0.0
    successes = 0
    retries = 0
    for is_success, pause in steps:
        now += pause
        if is_success:
            successes += 1
            bucket.on_success()
        else:
            retries += bucket.take(now)
    refill = DEFAULT_REFILL_PER_SECOND * now
    assert retries <= DEFAULT_CAPACITY / 2 + ratio * successes + refill + 1e-6


def test_retry_after_times_are_spread_evenly() -> None:
    rng = random.Random(3)
    times = sorted(retry_after(0.0, rng) for _ in range(1000))
    low = RETRY_AFTER_BASE_SECONDS * (1.0 - RETRY_AFTER_SPREAD)
    high = RETRY_AFTER_BASE_SECONDS * (1.0 + RETRY_AFTER_SPREAD)
    assert low <= times[0] < times[-1] <= high
    tenth = (high - low) / 10
    for part in range(10):
        begin = low + part * tenth
        assert 50 <= sum(begin <= time < begin + tenth for time in times) <= 160


def test_retry_after_grows_with_overload_and_is_bounded() -> None:
    rng = random.Random(3)
    mild = max(retry_after(0.0, rng) for _ in range(100))
    assert min(retry_after(10.0, rng) for _ in range(100)) > mild
    bound = RETRY_AFTER_MAX_SECONDS * (1.0 + RETRY_AFTER_SPREAD)
    assert max(retry_after(1e9, rng) for _ in range(100)) <= bound


def test_changed_bounds_apply_immediately() -> None:
    bucket = RetryBucket(0.1, 0.0)
    bucket.set_bounds(3.0, 0.0)
    assert [bucket.take(100.0) for _ in range(5)] == [True, True, True, False, False]


def test_success_of_a_call_adds_a_fifth_of_that_of_a_root_request() -> None:
    bucket = RetryBucket(0.1, 0.0)
    bucket.set_bounds(3.0, 0.0)
    while bucket.take(0.0):
        pass
    for _ in range(51):
        bucket.on_success(is_call=True)
    assert [bucket.take(0.0), bucket.take(0.0)] == [True, False]
    for _ in range(11):
        bucket.on_success()
    assert bucket.take(0.0)
