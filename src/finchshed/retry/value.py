"""Value of a retry: how much it contributes to requests that complete.

Addresses back ends that refuse a fixed fraction of their requests whatever the load. A request that
needs several more calls there will probably be refused later in its call tree, so that a retry
helps it less than one whose last call was refused. The value of a retry is the weight of the class
times the probability that the remaining calls are accepted.

Values are compared by level, a logarithmic scale with a fixed number of steps, so that the state
that is kept per level is bounded.
"""

import math

from finchshed.common.importance import Importance
from finchshed.common.moving_average import moving_average
from finchshed.common.outcomes import Outcome, Refused
from finchshed.retry.policy import RETRIED_REFUSALS

ACCEPTANCE_WEIGHT = 0.02
"""Weight of one attempt in the acceptance of a service."""

MIN_ACCEPTANCE = 0.05
"""Lower bound of the acceptance, so that a service that refuses everything still has an order of
values."""

LEVELS_PER_OCTAVE = 2
"""Steps by which a doubling of the value raises the level."""

LEVELS = 64
"""Number of levels."""

CLASS_OCTAVES = max(Importance) + 1
"""Doublings of the value above 1, the value of the last call of the lowest class."""

MIN_VALUE = 2.0 ** (CLASS_OCTAVES - LEVELS / LEVELS_PER_OCTAVE)
"""Values below have the lowest level."""


class Acceptance:
    """Moving average of the fraction of attempts at a service that its back ends did not refuse."""

    def __init__(self) -> None:
        self.fraction = 1.0

    def on_outcome(self, outcome: Outcome) -> None:
        """Record the outcome of one attempt; requests to use another endpoint don't count."""
        if not isinstance(outcome, Refused):
            sample = 1.0
        elif outcome.reason in RETRIED_REFUSALS:
            sample = 0.0
        else:
            return
        self.fraction = moving_average(self.fraction, sample, ACCEPTANCE_WEIGHT)


def value_of(importance: Importance, remaining_calls: int, acceptance: float) -> float:
    """Return the value of a retry.

    Parameters
    ----------
    remaining_calls
        Number of calls that the root request is still expected to make after this one.
    acceptance
        Probability that such a call is accepted.
    """
    probability = min(1.0, max(MIN_ACCEPTANCE, acceptance))
    return float(2.0**importance * probability ** max(0, remaining_calls))


def level_of(value: float) -> int:
    """Return the level of a value, from 0 to ``LEVELS`` - 1."""
    octaves = math.log2(max(value, MIN_VALUE) / MIN_VALUE)
    return min(LEVELS - 1, round(octaves * LEVELS_PER_OCTAVE))
