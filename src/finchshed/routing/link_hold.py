"""For how long no call is placed at an endpoint whose link broke.

Counts the failures of its own; :mod:`finchshed.daemon.calling.daemon_links` has a wait for dials
besides. See "Two waits after a broken link" in docs/DECISIONS.md. No refusal comes of it while
another endpoint takes the call; else the table refuses, ``no_backend``.
"""

from finchshed.common.backoff import Backoff
from finchshed.routing.endpoint import EndpointView
from finchshed.routing.pool import ServicePool

LINK_RETRY_SECONDS = 0.5
"""An endpoint whose link broke is left alone for this long unless it comes up before. Chosen, not
measured."""

LINK_RETRY_MAX_SECONDS = 4.0
"""Longest time an endpoint is left alone; it doubles each time the link can't be opened. Chosen,
not measured."""

LINK_BACKOFF = Backoff(LINK_RETRY_SECONDS, LINK_RETRY_MAX_SECONDS)


def hold_back(view: EndpointView, pool: ServicePool, now: float) -> None:
    """Place no call at an endpoint for a time, by how often its link has failed."""
    view.link_down_until = now + LINK_BACKOFF.bound(view.link_failures)
    pool.refresh(view, now)


def release(view: EndpointView, pool: ServicePool, now: float) -> None:
    """Place calls again: the link is up."""
    view.link_failures = 0
    view.link_down_until = 0.0
    pool.refresh(view, now)
