"""Estimates the demand of each caller of one importance class, in slots.

An arrival is weighted by the inverse of the fraction of its caller's requests that was admitted
with it, as in :mod:`finchshed.admission.demand_threshold`, so the estimate does not depend on how
much of the caller is refused. A caller whose recent arrivals fall below half of its longer average
is estimated by the recent ones: one that stops sending too much is no longer limited soon after.

Memory is bounded: the callers with the lowest demand are counted together. Each of them demands at
most as much as the smallest caller that is tracked.
"""

import math

import msgspec

from finchshed.admission.max_min import WeightedDemand
from finchshed.common.moving_average import moving_average

MAX_CALLERS = 256
"""Maximum number of callers estimated individually per class."""

KEPT_CALLERS = 240
"""Callers kept when the table is nearly full; the rest is room for callers that are new or have
begun to send more."""

ESTIMATE_SECONDS = 0.5
"""Time constant of the demand estimates."""

RECENT_SECONDS = 0.08
"""Time constant of the estimates by which a fall in demand is noticed."""

FALL_FRACTION = 0.5
"""Fraction of the longer average below which the recent estimate applies."""

MIN_ADMITTED_FRACTION = 0.04
"""Lower bound of the admitted fraction, so that one arrival counts as at most 25."""

SERVICE_TIME_WEIGHT = 0.02
"""Weight of one finished request in the mean service time of its caller."""

MIN_ARRIVALS = 1e-3
"""Weighted arrivals below which a caller is forgotten."""


class CallerEstimate(msgspec.Struct, gc=False):
    """Estimates of one caller.

    Attributes
    ----------
    arrivals, recent
        Weighted arrivals, decayed with the longer and the shorter time constant.
    started, refused
        Requests started and refused, decayed with the longer time constant.
    seconds
        Mean service time; 0 until one request has finished.
    demand
        Slots that the caller would use if all of its requests were admitted.
    shed_fraction
        Fraction of the demand beyond the caller's share.
    limited_since
        Time since which that fraction is above 0, seconds; infinite if it isn't.
    """

    arrivals: float = 0.0
    recent: float = 0.0
    started: float = 0.0
    refused: float = 0.0
    seconds: float = 0.0
    demand: float = 0.0
    shed_fraction: float = 0.0
    limited_since: float = math.inf

    def limit(self, shed_fraction: float, now: float) -> None:
        """Set the fraction beyond the caller's share."""
        self.shed_fraction = shed_fraction
        if shed_fraction <= 0.0:
            self.limited_since = math.inf
        elif math.isinf(self.limited_since):
            self.limited_since = now

    def decay(self, elapsed: float) -> None:
        """Reduce the decayed counts after ``elapsed`` seconds."""
        kept = math.exp(-elapsed / ESTIMATE_SECONDS)
        kept_recent = math.exp(-elapsed / RECENT_SECONDS)
        has_fallen = self.recent / RECENT_SECONDS < FALL_FRACTION * self.arrivals / ESTIMATE_SECONDS
        self.arrivals *= kept_recent if has_fallen else kept
        self.recent *= kept_recent
        self.started *= kept
        self.refused *= kept

    def absorb(self, other: "CallerEstimate") -> None:
        """Add the counts of a caller that is no longer tracked."""
        self.arrivals += other.arrivals
        self.recent += other.recent
        self.started += other.started
        self.refused += other.refused

    def rate_of(self, decayed: float) -> float:
        """Return the events per second of a count with the longer time constant."""
        return decayed / ESTIMATE_SECONDS

    def arrival_rate(self, age: float) -> float:
        """Return the estimated arrivals per second, given the age of the estimate, seconds."""
        # Corrects the bias towards 0 while the estimate is younger than its time constant.
        filled = max(1e-3, 1.0 - math.exp(-age / ESTIMATE_SECONDS))
        usual = self.arrivals / (ESTIMATE_SECONDS * filled)
        recent = self.recent / RECENT_SECONDS
        return recent if recent < FALL_FRACTION * usual else usual


class CallerDemands:
    """Estimates of the callers of one class.

    Parameters
    ----------
    now
        Time of creation, seconds.
    """

    def __init__(self, now: float) -> None:
        self._created_at = now
        self._stepped_at = now
        self.tracked: dict[str, CallerEstimate] = {}
        self.others = CallerEstimate()
        self._mean_seconds = 0.0

    def of(self, caller: str) -> CallerEstimate:
        """Return the estimate of a caller, which is the common one if it isn't tracked."""
        return self.tracked.get(caller, self.others)

    def seconds_of(self, estimate: CallerEstimate) -> float:
        """Return a caller's mean service time, or the mean of its class; 0 if unknown."""
        return estimate.seconds or self._mean_seconds

    def on_arrival(self, caller: str, admitted_fraction: float, calls: float) -> None:
        """Count a request that stands for ``calls`` calls."""
        estimate = self.tracked.get(caller)
        if estimate is None:
            estimate = self._track(caller)
        weight = calls / max(admitted_fraction, MIN_ADMITTED_FRACTION)
        estimate.arrivals += weight
        estimate.recent += weight

    def on_finish(self, caller: str, seconds: float) -> None:
        """Record the time that one request took at the back end."""
        self._mean_seconds = _next_mean(self._mean_seconds, seconds)
        estimate = self.tracked.get(caller)
        if estimate is not None:
            estimate.seconds = _next_mean(estimate.seconds, seconds)

    def lift_limits(self) -> None:
        """Limit no caller."""
        for estimate in (*self.tracked.values(), self.others):
            estimate.shed_fraction = 0.0
            estimate.limited_since = math.inf

    def step(self, now: float) -> None:
        """Update the demands, forget idle callers and make room for new ones."""
        elapsed = now - self._stepped_at
        self._stepped_at = now
        age = now - self._created_at
        for estimate in (*self.tracked.values(), self.others):
            estimate.demand = estimate.arrival_rate(age) * self.seconds_of(estimate)
            estimate.decay(elapsed)
        self._forget_idle()
        if len(self.tracked) > KEPT_CALLERS:
            self._count_lowest_together()

    def weighted_others(self) -> WeightedDemand | None:
        """Return the demand of the callers counted together, weighted by their least number."""
        if self.others.demand <= 0.0:
            return None
        smallest = min((item.demand for item in self.tracked.values()), default=0.0)
        number = self.others.demand / smallest if smallest > 0.0 else 1.0
        return WeightedDemand(self.others.demand, max(1.0, number))

    def _track(self, caller: str) -> CallerEstimate:
        if len(self.tracked) >= MAX_CALLERS:
            return self.others
        # A caller that may have been counted with the others is limited as they are.
        estimate = CallerEstimate(shed_fraction=self.others.shed_fraction)
        self.tracked[caller] = estimate
        return estimate

    def _forget_idle(self) -> None:
        idle = [name for name, item in self.tracked.items() if item.arrivals < MIN_ARRIVALS]
        for name in idle:
            del self.tracked[name]
        if self.others.arrivals < MIN_ARRIVALS:
            self.others = CallerEstimate()

    def _count_lowest_together(self) -> None:
        names = sorted(self.tracked, key=lambda name: self.tracked[name].arrivals)
        for name in names[: len(names) - KEPT_CALLERS]:
            self.others.absorb(self.tracked.pop(name))


def _next_mean(mean: float, seconds: float) -> float:
    return seconds if mean == 0.0 else moving_average(mean, seconds, SERVICE_TIME_WEIGHT)
