"""Weighted max-min fairness (Bertsekas, Gallager, *Data Networks*, 1992, section 6.5.2)."""

import math
from collections.abc import Iterable
from itertools import accumulate

import msgspec


class WeightedDemand(msgspec.Struct, frozen=True, gc=False):
    """Demand of one participant, and its weight, above 0."""

    demand: float
    weight: float


def max_min_level(demands: Iterable[WeightedDemand], available: float) -> float:
    """Return the share per unit of weight, infinite if all demands fit into ``available``.

    A participant gets its demand, or the level times its weight if that is less.
    """
    ordered = sorted(demands, key=lambda item: item.demand / item.weight)
    # Sums from the end: subtracting from the total could leave 0 by rounding.
    remaining_weights = list(accumulate(item.weight for item in reversed(ordered)))[::-1]
    for item, weight in zip(ordered, remaining_weights, strict=True):
        level = max(0.0, available) / weight
        if item.demand > level * item.weight:
            return level
        available -= item.demand
    return math.inf
