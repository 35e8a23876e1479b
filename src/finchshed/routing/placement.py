"""Which of a service's endpoints a call goes to.

Two endpoints are drawn at random and the one with the lower expected wait is taken (Mitzenmacher,
*The Power of Two Choices in Randomized Load Balancing*, 2001), first within the caller's zone,
then its region, then anywhere. An endpoint that drains, is ejected or held back, or would refuse
the request's rank is not drawn.

Inputs: rank and route of the call, endpoints already tried, its target latency and the endpoints'
costs (seconds). Pure but for the pool's random draws; the table refuses where nothing is placed.
"""

from collections.abc import Collection

import msgspec

from finchshed.routing.endpoint import EndpointView
from finchshed.routing.pool import TIERS, ServicePool

NEAR_LATENCY_FRACTION = 0.4
"""Fraction of a call's target latency that a near endpoint may be expected to take. Chosen, not
measured."""

FURTHER_LATENCY_FRACTION = 0.8
"""One that is further is taken if it is expected to take less than this fraction of the near one's
time, so that a call leaves its zone for a clear gain only. Chosen, not measured."""


class Wanted(msgspec.Struct, frozen=True, gc=False):
    """What a call asks of an endpoint.

    Attributes
    ----------
    rank
        Its admission rank.
    excluded
        Names of endpoints already tried.
    target_seconds
        Latency it is meant to be answered in; 0: none.
    """

    rank: int
    route: str
    excluded: Collection[str]
    target_seconds: float


class Placed(msgspec.Struct, frozen=True, gc=False):
    """The endpoint chosen, if any, and whether one was passed over as overloaded."""

    view: EndpointView | None
    has_shed: bool


def place(pool: ServicePool, wanted: Wanted, now: float) -> Placed:
    """Choose an endpoint: the nearest that isn't full, else the nearest that takes the call."""
    full: EndpointView | None = None
    has_shed = False
    for tier in range(TIERS):
        drawn = pool.draw(tier, wanted.rank, wanted.route, wanted.excluded, now)
        has_shed = has_shed or drawn.has_shed
        if drawn.view is None:
            continue
        if not drawn.view.is_full(now):
            view = _near_or_better(pool, drawn.view, wanted, now) if tier == 0 else drawn.view
            return Placed(view, has_shed)
        full = full or drawn.view
    return Placed(full, has_shed)


def _near_or_better(
    pool: ServicePool, near: EndpointView, wanted: Wanted, now: float
) -> EndpointView:
    """Return a near endpoint, or one of the region where the call's target is in danger."""
    if _is_good_enough(near, pool.mean_latency, wanted.target_seconds, now):
        return near
    further = pool.draw(1, wanted.rank, wanted.route, wanted.excluded, now).view
    if further is None or further.is_full(now):
        return near
    expected = further.expected_seconds(pool.mean_latency, now)
    near_expected = near.expected_seconds(pool.mean_latency, now)
    return further if expected < FURTHER_LATENCY_FRACTION * near_expected else near


def _is_good_enough(view: EndpointView, usual: float, target_seconds: float, now: float) -> bool:
    """Return whether an endpoint is taken for being near, whatever others offer."""
    if target_seconds <= 0.0:
        return True
    if view.is_failing(now):
        return False
    return view.expected_seconds(usual, now) <= NEAR_LATENCY_FRACTION * target_seconds
