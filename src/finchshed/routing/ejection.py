"""When an endpoint that fails is left out, and for how long.

Inputs: failures in a row of the own attempts (server errors of its own and ends without an answer),
ejections so far, endpoints of the service and how many of them are ejected. No refusal comes of it
while another endpoint takes the call; else the table refuses, ``no_backend``.
"""

from finchshed.common.backoff import Backoff
from finchshed.routing.endpoint import EndpointView
from finchshed.routing.pool import ServicePool

EJECT_AFTER_FAILURES = 5
"""Failures in a row after which an endpoint is ejected. Chosen, not measured."""

EJECTION_SECONDS = 1.0
"""First ejection; it doubles with each further one. Chosen, not measured."""

EJECTION_MAX_SECONDS = 30.0
"""Longest ejection. Chosen, not measured."""

EJECTION_BACKOFF = Backoff(EJECTION_SECONDS, EJECTION_MAX_SECONDS)

EJECTED_FRACTION_MAX = 0.34
"""Largest fraction of a service's endpoints that may be ejected at a time, so that failures that
come of something else don't close the service. Chosen, not measured; of nine endpoints that fail
six stay in use (tests/routing/test_table.py)."""


def eject_if_failing(view: EndpointView, pool: ServicePool, now: float) -> None:
    """Leave an endpoint out of ``pool`` for a time if it has failed often enough."""
    if view.consecutive_failures < EJECT_AFTER_FAILURES:
        return
    view.consecutive_failures = 0
    allowed = max(1, int(len(pool) * EJECTED_FRACTION_MAX)) if len(pool) > 1 else 0
    if pool.ejected(now) >= allowed:
        return
    duration = EJECTION_BACKOFF.bound(view.ejections)
    view.ejections += 1
    view.ejected_until = now + duration
    pool.refresh(view, now)
