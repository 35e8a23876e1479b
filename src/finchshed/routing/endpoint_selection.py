"""Selects the endpoint of a service to which a call is sent.

Two endpoints are drawn at random and the one with the lower expected wait is chosen (Mitzenmacher,
*The Power of Two Choices in Randomized Load Balancing*, 2001), first in the caller's zone, then in
its region, then anywhere. Endpoints that are draining, ejected, in link backoff, that would refuse
the request's rank, or whose rate limit is used up are skipped.

Where back ends report their slowdown, a call also leaves its zone if the near endpoint is slow or
would queue it, and another one of the region is expected to finish clearly sooner.
"""

from collections.abc import Collection

import msgspec

from finchshed.routing.endpoint import EndpointView
from finchshed.routing.expected_finish import would_queue
from finchshed.routing.pool import TIERS, DrawResult, ServicePool

NEAR_LATENCY_FRACTION = 0.4
"""A near endpoint is used if its expected time is within this fraction of the target latency."""

REMOTE_LATENCY_FRACTION = 0.8
"""An endpoint elsewhere in the region is used instead if its expected time is below this fraction
of the near one's, so that a call leaves its zone only for a clear gain."""


class SelectionCriteria(msgspec.Struct, frozen=True, gc=False):
    """Properties of a call that determine its endpoint.

    Attributes
    ----------
    rank
        Admission rank of the call.
    excluded
        Names of endpoints already tried.
    target_seconds
        Target latency of the call; 0 if it has none.
    caller
        Identity of the external caller whose threshold applies; None if none does.
    """

    rank: int
    route: str
    excluded: Collection[str]
    target_seconds: float
    caller: str | None = None


class Selection(msgspec.Struct, frozen=True, gc=False):
    """The selected endpoint, if any, and why others were skipped."""

    view: EndpointView | None
    skipped_overloaded: bool
    skipped_rate_limited: bool


def select_endpoint(pool: ServicePool, criteria: SelectionCriteria, now: float) -> Selection:
    """Select the nearest endpoint with a free slot, else the nearest that admits the call."""
    full: EndpointView | None = None
    skipped_overloaded = False
    skipped_rate_limited = False
    for tier in range(TIERS):
        drawn = _draw(pool, tier, criteria, now)
        skipped_overloaded = skipped_overloaded or drawn.skipped_overloaded
        skipped_rate_limited = skipped_rate_limited or drawn.skipped_rate_limited
        if drawn.view is None:
            continue
        if not drawn.view.is_full(now):
            view = _near_or_faster(pool, drawn.view, criteria, now) if tier == 0 else drawn.view
            return Selection(view, skipped_overloaded, skipped_rate_limited)
        full = full or drawn.view
    return Selection(full, skipped_overloaded, skipped_rate_limited)


def _draw(pool: ServicePool, tier: int, criteria: SelectionCriteria, now: float) -> DrawResult:
    return pool.draw(
        tier, criteria.rank, criteria.route, criteria.excluded, now, caller=criteria.caller
    )


def _near_or_faster(
    pool: ServicePool, near: EndpointView, criteria: SelectionCriteria, now: float
) -> EndpointView:
    """Return the near endpoint, or a faster one of the region if the target may be missed."""
    if near.is_slow(now) or would_queue(near, now):
        return _sooner(pool, near, criteria, now)
    if _meets_target(near, pool.mean_latency, criteria.target_seconds, now):
        return near
    remote = _draw(pool, 1, criteria, now).view
    if remote is None or remote.is_full(now):
        return near
    expected = remote.expected_seconds(pool.mean_latency, now)
    near_expected = near.expected_seconds(pool.mean_latency, now)
    return remote if expected < REMOTE_LATENCY_FRACTION * near_expected else near


def _sooner(
    pool: ServicePool, near: EndpointView, criteria: SelectionCriteria, now: float
) -> EndpointView:
    """Return the near endpoint, or one of the region that is expected to finish sooner."""
    remote = _draw(pool, 1, criteria, now).view
    if remote is None:
        return near
    chosen = pool.avoided_endpoints.sooner(
        near, remote, pool.mean_latency, now, margin=REMOTE_LATENCY_FRACTION
    )
    pool.avoided_endpoints.left_zone += chosen is remote
    return chosen


def _meets_target(
    view: EndpointView, service_latency: float, target_seconds: float, now: float
) -> bool:
    """Return whether a near endpoint is expected to meet the target latency."""
    if target_seconds <= 0.0:
        return True
    if view.is_failing(now):
        return False
    return view.expected_seconds(service_latency, now) <= NEAR_LATENCY_FRACTION * target_seconds
