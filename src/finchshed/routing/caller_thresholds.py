"""Limits of the callers of one service, as reported by its endpoints.

Thresholds for the callers of this daemon's back end are averaged over the endpoints that reported
recently. The mean is taken over the cutoffs, because a call may go to any of the endpoints. An
endpoint that doesn't name a caller counts with its common threshold.
"""

from collections.abc import Iterable, Sequence

from finchshed.admission.caller_thresholds import (
    EXCESS_PREFIX,
    NO_CALLER_THRESHOLDS,
    CallerThresholds,
    highest_thresholds,
)
from finchshed.admission.path_thresholds import DECAY_END_SECONDS
from finchshed.admission.rank import admitted_fraction, cutoff_of, rank_of_cutoff
from finchshed.common.importance import Importance
from finchshed.routing.endpoint import EndpointView
from finchshed.routing.offered_rates import OfferedRates


class CallerLimits:
    """Whether endpoints limit callers, and to which callers the limits apply at present."""

    def __init__(self) -> None:
        self._offered = OfferedRates()
        self._reported_until = 0.0

    def on_thresholds(self, now: float) -> None:
        """Record that an endpoint reports thresholds of callers."""
        self._reported_until = now + DECAY_END_SECONDS

    def are_reported(self, now: float) -> bool:
        """Return whether thresholds of callers that were reported may still apply."""
        return now < self._reported_until

    def on_request(self, caller: str, now: float) -> None:
        """Record a new request of a caller."""
        if self.are_reported(now):
            self._offered.on_request(caller, now)

    def limited_caller(self, caller: str) -> str | None:
        """Return the caller whose threshold applies; None if it now sends far less than before."""
        return None if self._offered.has_fallen(caller) else caller


def mean_caller_thresholds(
    views: Sequence[EndpointView], route: str, lowest: float, now: float
) -> CallerThresholds:
    """Return the mean threshold of each caller that an endpoint names.

    Parameters
    ----------
    views
        Endpoints that reported recently.
    lowest
        Least cutoff that counts: the least important class that is sent to the service.
    """
    named: set[str] = set()
    for view in views:
        named |= view.named_callers(route)
    if not named:
        return NO_CALLER_THRESHOLDS
    means = {caller: _mean_threshold(views, caller, route, lowest, now) for caller in named}
    return highest_thresholds({caller: rank for caller, rank in means.items() if rank})


def describe_excess(
    views: Iterable[EndpointView], caller: str, importance: Importance, route: str, now: float
) -> str:
    """Return a caller and the fraction of its requests that its share admits, for a log line.

    Empty if no endpoint limits the caller.
    """
    fractions = [
        admitted_fraction(importance, view.threshold_for(caller, route, now))
        for view in views
        if caller in view.named_callers(route)
    ]
    if not fractions:
        return ""
    mean = sum(fractions) / len(fractions)
    return f"{EXCESS_PREFIX}{caller!r} exceeds its share, {mean:.2f} of it is admitted"


def _mean_threshold(
    views: Sequence[EndpointView], caller: str, route: str, lowest: float, now: float
) -> int:
    cutoffs = (cutoff_of(view.threshold_for(caller, route, now)) for view in views)
    return rank_of_cutoff(sum(max(cutoff, lowest) for cutoff in cutoffs) / len(views))
