"""Weighted round robin over the services of a route."""

import random
from collections import Counter

import pytest

from finchshed.configuration.resources import Destination
from finchshed.routing.weighted_round_robin import WeightedRoundRobin


def weighted(seed: int = 1, **weights: float) -> WeightedRoundRobin:
    destinations = [Destination(name, weight) for name, weight in weights.items()]
    return WeightedRoundRobin(destinations, random.Random(seed))


@pytest.mark.parametrize("draws", [10, 33, 200])
def test_each_service_is_close_to_its_share(draws: int) -> None:
    for seed in range(20):
        round_robin = weighted(seed, a=70, b=20, c=10)
        drawn = Counter(round_robin.draw() for _ in range(draws))
        for name, fraction in (("a", 0.7), ("b", 0.2), ("c", 0.1)):
            assert abs(drawn[name] - fraction * draws) <= 1.5


def test_service_of_weight_zero_is_never_chosen() -> None:
    round_robin = weighted(a=1, b=0)
    assert {round_robin.draw() for _ in range(50)} == {"a"}


def test_first_choices_of_many_daemons_follow_the_weights() -> None:
    drawn = Counter(weighted(seed, a=90, b=10).draw() for seed in range(400))
    assert 0.05 < drawn["b"] / 400 < 0.15
