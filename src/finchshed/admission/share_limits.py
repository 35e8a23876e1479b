"""Limits of the callers beyond their share: fractions of their demand to refuse, and thresholds.

The capacity that is left for the marginal class is shared by weighted max-min fairness. A caller
that demands more than its share is limited, unless the requests that it has at the gate show that
it no longer does.
"""

import math
from collections.abc import Callable, Sequence

from finchshed.admission.caller_demand import CallerDemands, CallerEstimate
from finchshed.admission.caller_thresholds import (
    MAX_REPORTED_CALLERS,
    NO_CALLER_THRESHOLDS,
    CallerThresholds,
)
from finchshed.admission.demand_threshold import MarginalClass
from finchshed.admission.max_min import WeightedDemand, max_min_level
from finchshed.admission.rank import rank_of_cutoff
from finchshed.admission.start_tags import Flow, StartTags
from finchshed.common.importance import Importance

MIN_SHED_FRACTION = 0.01
"""A caller whose excess is a smaller fraction of its demand isn't limited by a threshold."""

WITHIN_SHARE_FRACTION = 0.5
"""A caller whose requests at the gate use at most this fraction of its share isn't limited."""

DOUBTFUL_EXCESS = 1.25
"""Demand, as a multiple of the share, up to which a caller is limited only if its requests wait,
because estimates of few requests are noisy."""

WAITING_PER_SHARE_SLOT = 1.0
"""Requests of a caller that may wait for each slot of its share, whatever its threshold is.

They fill the slots while arrivals vary, and wait behind those of callers within their share.
"""

BACKLOG_SECONDS = 0.1
"""Time within which a longer queue of a caller above its share is drained."""


class ShareLimits:
    """Level of the shares, and the limits of callers above it.

    Parameters
    ----------
    tags
        Knows how many requests of each caller are at the gate.
    weight_of
        Returns the weight of a caller.

    Attributes
    ----------
    marginal
        The class whose callers are limited, or None.
    level
        Share per unit of weight in that class, slots.
    thresholds
        Ranks below which requests of a caller are refused, for the callers to report.
    base_threshold
        Rank below which requests of every other caller are refused.
    callers_above
        Number of callers above their share, those counted together as one.
    """

    def __init__(self, tags: StartTags, weight_of: Callable[[str], float]) -> None:
        self._tags = tags
        self._weight_of = weight_of
        self.marginal: Importance | None = None
        self.level = math.inf
        self.thresholds: CallerThresholds = NO_CALLER_THRESHOLDS
        self.base_threshold = 0
        self.callers_above = 0

    def update(
        self, marginal: MarginalClass | None, classes: Sequence[CallerDemands], now: float
    ) -> None:
        """Set the fraction of each caller's demand beyond its share, and the thresholds."""
        self.marginal = None if marginal is None else marginal.importance
        for importance, demands in zip(Importance, classes, strict=True):
            if importance is not self.marginal:
                demands.lift_limits()
        if marginal is None:
            self.level = math.inf
            self.thresholds = NO_CALLER_THRESHOLDS
            self.base_threshold = 0
            self.callers_above = 0
            return
        self._limit(classes[marginal.importance], marginal, now)
        self._set_thresholds(classes[marginal.importance], marginal.importance)

    def share_of(self, flow: Flow, demand: float) -> float:
        """Return the slots that a caller may use: its demand, or its share if that is less."""
        if flow.importance is not self.marginal:
            return demand
        return min(demand, self.level * self._weight_of(flow.caller))

    def may_wait(self, flow: Flow) -> bool:
        """Return whether one more request of a caller would start within about a service time."""
        share = self.level * self._weight_of(flow.caller)
        return self._tags.queued(flow) + 1 <= WAITING_PER_SHARE_SLOT * share

    def _limit(self, demands: CallerDemands, marginal: MarginalClass, now: float) -> None:
        others = demands.weighted_others()
        listed = [] if others is None else [others]
        for caller, estimate in demands.tracked.items():
            listed.append(WeightedDemand(estimate.demand, self._weight_of(caller)))
        self.level = max_min_level(listed, marginal.available)
        for caller, estimate in demands.tracked.items():
            flow = Flow(marginal.importance, caller)
            seconds = demands.seconds_of(estimate)
            estimate.limit(self._fraction_beyond_share(flow, estimate, seconds), now)
        beyond = 0.0
        if others is not None:
            tracked = (Flow(marginal.importance, caller) for caller in demands.tracked)
            queued = self._tags.queued_of_class(marginal.importance)
            queued -= sum(self._tags.queued(flow) for flow in tracked)
            seconds = demands.seconds_of(demands.others)
            beyond = _excess(others.demand, self.level * others.weight, queued, seconds)
        demands.others.limit(beyond, now)

    def _fraction_beyond_share(self, flow: Flow, estimate: CallerEstimate, seconds: float) -> float:
        """Return the fraction of a caller's demand to refuse."""
        share = self.level * self._weight_of(flow.caller)
        if self._is_clearly_within_share(flow):
            return 0.0
        is_doubtful = estimate.shed_fraction <= 0.0 or estimate.demand <= DOUBTFUL_EXCESS * share
        if is_doubtful and share >= 1.0 and self.may_wait(flow):
            # A caller that exceeds its share has requests waiting.
            return 0.0
        return _excess(estimate.demand, share, self._tags.queued(flow), seconds)

    def _is_clearly_within_share(self, flow: Flow) -> bool:
        """Return whether one more request would still use at most half of the caller's share.

        Unlike the estimates, this holds at once when a caller stops sending too much.
        """
        share = self.level * self._weight_of(flow.caller)
        return self._tags.in_progress(flow) + 1 <= WITHIN_SHARE_FRACTION * share

    def _set_thresholds(self, demands: CallerDemands, importance: Importance) -> None:
        """Report the callers with the highest excess; what all others exceed applies to all.

        The second holds where the capacity is too small for many small callers, none of which can
        be reported by name.
        """
        above = [
            (estimate.demand * estimate.shed_fraction, caller)
            for caller, estimate in demands.tracked.items()
            if estimate.shed_fraction > 0.0
        ]
        above.sort(reverse=True)
        reported = {caller for _, caller in above[:MAX_REPORTED_CALLERS]}
        unreported = [
            estimate.shed_fraction
            for caller, estimate in demands.tracked.items()
            if caller not in reported
        ]
        if demands.others.demand > 0.0:
            unreported.append(demands.others.shed_fraction)
        common = min(unreported, default=0.0)
        self.base_threshold = rank_of_cutoff(importance + common)
        self.thresholds = {
            caller: rank_of_cutoff(importance + demands.tracked[caller].shed_fraction)
            for caller in reported
        }
        self.callers_above = len(above) + (demands.others.shed_fraction > 0.0)


def _excess(demand: float, share: float, queued: int, seconds: float) -> float:
    """Return the fraction of a demand beyond a share, more of it while a long queue is drained."""
    if demand <= share or 1.0 - share / demand < MIN_SHED_FRACTION:
        return 0.0
    backlog = max(0.0, queued - WAITING_PER_SHARE_SLOT * share) * seconds
    return 1.0 - max(0.0, share - backlog / BACKLOG_SECONDS) / demand
