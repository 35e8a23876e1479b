"""Backoff during which an endpoint with a broken link is sent no calls.

Independent of the backoff between connection attempts in
:mod:`finchshed.daemon.calling.daemon_links`; see "Two waits after a broken link" in
docs/DECISIONS.md.
"""

from finchshed.common.backoff import Backoff
from finchshed.routing.endpoint import EndpointView
from finchshed.routing.pool import ServicePool

LINK_RETRY_SECONDS = 0.5
"""First backoff after a link broke; it ends early if the link comes up."""

LINK_RETRY_MAX_SECONDS = 4.0
"""Maximum backoff; it doubles with each failure to open the link."""

LINK_BACKOFF = Backoff(LINK_RETRY_SECONDS, LINK_RETRY_MAX_SECONDS)


def back_off(view: EndpointView, pool: ServicePool, now: float) -> None:
    """Exclude an endpoint for a time that grows with the number of its link failures."""
    view.link_down_until = now + LINK_BACKOFF.bound(view.link_failures)
    pool.refresh(view, now)


def reset_backoff(view: EndpointView, pool: ServicePool, now: float) -> None:
    """Use an endpoint again because its link is up."""
    view.link_failures = 0
    view.link_down_until = 0.0
    pool.refresh(view, now)
