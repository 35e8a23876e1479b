"""Requests of a route shared between services by weight."""

import random
from collections import Counter

import pytest

from finchshed.configuration.resources import Destination
from finchshed.routing.weighted_round_robin import WeightedRoundRobin


def choice(seed: int = 1, **weights: float) -> WeightedRoundRobin:
    destinations = [Destination(name, weight) for name, weight in weights.items()]
    return WeightedRoundRobin(destinations, random.Random(seed))


@pytest.mark.parametrize("draws", [10, 33, 200])
def test_each_part_is_within_one_request_of_its_share(draws: int) -> None:
    for seed in range(20):
        shared = choice(seed, a=70, b=20, c=10)
        drawn = Counter(shared.draw() for _ in range(draws))
        for name, share in (("a", 0.7), ("b", 0.2), ("c", 0.1)):
            assert abs(drawn[name] - share * draws) <= 1.5


def test_a_weight_of_zero_gets_nothing() -> None:
    shared = choice(a=1, b=0)
    assert {shared.draw() for _ in range(50)} == {"a"}


def test_many_daemons_with_one_request_each_hold_the_shares_together() -> None:
    drawn = Counter(choice(seed, a=90, b=10).draw() for seed in range(400))
    assert 0.05 < drawn["b"] / 400 < 0.15
