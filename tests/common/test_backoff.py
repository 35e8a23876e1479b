"""Backoff waits double up to their bound for any number of failures."""

import random

import pytest

from finchshed.common.backoff import Backoff

BACKOFF = Backoff(first_seconds=0.5, longest_seconds=4.0)


def test_bound_doubles_up_to_the_maximum() -> None:
    assert [BACKOFF.bound(failures) for failures in range(5)] == [0.5, 1.0, 2.0, 4.0, 4.0]


@pytest.mark.parametrize("failures", [1_023, 1_024, 10_000])
def test_many_failures_do_not_overflow(failures: int) -> None:
    assert BACKOFF.bound(failures) == 4.0


def test_full_jitter_ranges_from_zero_to_the_bound() -> None:
    rng = random.Random(1)
    waits = [BACKOFF.full_jitter(1, rng) for _ in range(2_000)]
    assert 0.0 <= min(waits) < 0.02
    assert 0.98 < max(waits) <= 1.0


def test_half_jitter_ranges_from_half_the_bound_to_the_bound() -> None:
    rng = random.Random(1)
    waits = [BACKOFF.half_jitter(1, rng) for _ in range(2_000)]
    assert 0.5 <= min(waits) < 0.51
    assert 0.98 < max(waits) <= 1.0
