"""Tests of the token bucket: refill, overflow, resizing and fractional transfers."""

from finchshed.common.token_bucket import TokenBucket


def test_bucket_starts_empty_and_refills_to_its_capacity() -> None:
    bucket = TokenBucket(2.0, 3.0, 10.0)
    assert bucket.take(1, 10.0) == 0
    assert bucket.level(11.0) == 2.0
    assert bucket.level(20.0) == 3.0
    assert bucket.take(5, 20.0) == 3
    assert bucket.take(1, 20.4) == 0


def test_backward_time_adds_no_tokens() -> None:
    bucket = TokenBucket(1.0, 10.0, 10.0)
    assert bucket.level(12.0) == 2.0
    assert bucket.level(11.0) == 2.0
    assert bucket.level(12.0) == 2.0


def test_excess_tokens_are_discarded_or_returned() -> None:
    bucket = TokenBucket(0.0, 3.0, 0.0)
    bucket.put(9.0, 0.0)
    assert bucket.level(0.0) == 3.0
    assert bucket.resize(0.0, 1.5, 0.0) == 1.5
    assert bucket.resize(0.0, 9.0, 0.0) == 0.0
    assert bucket.level(0.0) == 1.5


def test_fractional_tokens_can_be_moved() -> None:
    bucket = TokenBucket(0.0, 3.0, 0.0)
    bucket.put(2.5, 0.0)
    assert bucket.remove_above(2.0, 0.0) == 0.5
    assert bucket.remove_above(2.0, 0.0) == 0.0
    assert bucket.take_fractional(0.75, 0.0) == 0.75
    assert bucket.take_fractional(-1.0, 0.0) == 0.0
    assert bucket.take_fractional(9.0, 0.0) == 1.25


def test_wait_until_tokens_are_available() -> None:
    bucket = TokenBucket(4.0, 8.0, 0.0)
    assert bucket.seconds_until(2.0, 0.0) == 0.5
    assert bucket.seconds_until(1.0, 1.0) == 0.0
    assert TokenBucket(0.0, 8.0, 0.0).seconds_until(1.0, 0.0) == float("inf")
