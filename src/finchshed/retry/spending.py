"""Decides which retries may take the tokens of a service's retry bucket.

Addresses back ends that refuse a fixed fraction of their requests whatever the load, so that far
more retries are requested than the bucket allows. The tokens go to the most valuable retries
(:mod:`finchshed.retry.value`): the demand of each value level and the tokens earned are estimated
as decayed counts, and the tokens are allotted from the most valuable level down (water-filling, as
:mod:`finchshed.admission.demand_threshold` does for requests). Retries below the lowest level that
gets tokens are refused. At that level, which may get only part of what it asks for, retries leave
half of the bucket to more valuable ones. While the tokens cover all levels, every retry may take
one.
"""

import math
from collections.abc import Mapping

import msgspec

from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Outcome
from finchshed.retry.bucket import RetryBucket
from finchshed.retry.value import LEVELS, Acceptance, level_of, value_of

ESTIMATE_SECONDS = 1.0
"""Time constant of the decayed counts."""

STEP_SECONDS = 0.02
"""Minimum interval between two computations of the lowest level."""

RESERVED_FRACTION = 0.5
"""Fraction of the bucket, beyond one token, that retries of the lowest level leave to others."""


class RetryFigures(msgspec.Struct, frozen=True):
    """Present state of the retries to one service, for display.

    Attributes
    ----------
    tokens, capacity
        Tokens held, and their maximum.
    earned_per_second
        Tokens added by requests, averaged over the last second.
    lowest_level
        Lowest value level whose retries may take a token, from 0 to ``LEVELS`` - 1; 0 while the
        tokens cover all retries.
    acceptance
        Fraction of the attempts that the back ends did not refuse.
    granted, denied
        Retries that took a token, and that were refused one, since the start by importance class.
    estimate_seconds
        Time constant of the counts that the level is computed from.
    """

    tokens: float
    capacity: float
    earned_per_second: float
    lowest_level: int
    acceptance: float
    granted: Mapping[str, int]
    denied: Mapping[str, int]
    estimate_seconds: float = ESTIMATE_SECONDS


class RetrySpending:
    """Spends the retry tokens of one service. Times are in monotonic seconds.

    Parameters
    ----------
    bucket
        Tokens; refilled by requests only.
    now
        Time of creation.
    """

    marks_repeats = True
    reuses_endpoints = True

    def __init__(self, bucket: RetryBucket, now: float) -> None:
        self._bucket = bucket
        self._stepped_at = now
        self._acceptance = Acceptance()
        self._earned = 0.0
        self._requested = [0.0] * LEVELS
        self._lowest_level = 0
        self._granted = [0] * len(Importance)
        self._denied = [0] * len(Importance)

    def begin_call(self, context: CallContext, now: float, *, is_retry: bool = False) -> bool:
        """Count the first attempt of a call; return whether it may be sent.

        A call that the caller repeats is a retry. One made by a repeated execution uses a token as
        well, but is always sent: refusing it would waste the execution that already runs.
        """
        if is_retry:
            return self.take_for(context, now)
        if context.repeated:
            self._bucket.charge(now)
            return self._record(context, granted=True)
        self._bucket.on_request()
        self._earned += self._bucket.ratio
        return True

    def take_for(self, context: CallContext, now: float) -> bool:
        """Take one token for a retry, if its value allows; return whether there was one."""
        self._step(now)
        value = value_of(context.importance, context.remaining_calls, self._acceptance.fraction)
        level = level_of(value)
        self._requested[level] += 1.0
        return self._record(context, granted=self._may_take(level, now) and self._bucket.take(now))

    def give_back(self, context: CallContext) -> None:
        """Return the token of a retry that was not sent."""
        self._bucket.put_back()
        self._granted[context.importance] -= 1

    def on_outcome(self, outcome: Outcome) -> None:
        """Learn from the outcome of an attempt which fraction the service accepts."""
        self._acceptance.on_outcome(outcome)

    def on_success(self, *, is_call: bool = False) -> None:
        """Do nothing: the bucket is refilled by requests."""

    def figures(self, now: float) -> RetryFigures:
        """Return the present state for display."""
        self._step(now)
        return RetryFigures(
            tokens=self._bucket.tokens(now),
            capacity=self._bucket.capacity,
            earned_per_second=self._earned / ESTIMATE_SECONDS,
            lowest_level=self._lowest_level,
            acceptance=self._acceptance.fraction,
            granted=_by_class(self._granted),
            denied=_by_class(self._denied),
        )

    def _record(self, context: CallContext, *, granted: bool) -> bool:
        counts = self._granted if granted else self._denied
        counts[context.importance] += 1
        return granted

    def _may_take(self, level: int, now: float) -> bool:
        if level != self._lowest_level or level == 0:
            return level >= self._lowest_level
        return self._bucket.tokens(now) >= 1.0 + self._reserve()

    def _reserve(self) -> float:
        """Return the tokens that retries of the lowest level leave to more valuable ones."""
        return RESERVED_FRACTION * max(0.0, self._bucket.capacity - 1.0)

    def _step(self, now: float) -> None:
        """Decay the counts and compute the lowest level, if a step is due."""
        elapsed = now - self._stepped_at
        if elapsed < STEP_SECONDS:
            return
        self._stepped_at = now
        kept = math.exp(-elapsed / ESTIMATE_SECONDS)
        self._earned *= kept
        self._requested = [count * kept for count in self._requested]
        surplus = max(0.0, self._bucket.tokens(now) - self._reserve())
        self._lowest_level = self._level_covered_by(self._earned + surplus)

    def _level_covered_by(self, tokens: float) -> int:
        """Return the lowest level that gets tokens, from the most valuable one down."""
        for level in reversed(range(LEVELS)):
            tokens -= self._requested[level]
            if tokens < 0.0:
                return level
        return 0


def _by_class(counts: list[int]) -> dict[str, int]:
    return {importance.name.lower(): counts[importance] for importance in Importance}
