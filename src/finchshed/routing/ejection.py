"""Outlier ejection: temporarily excludes an endpoint after consecutive failures.

Failures are server errors of the endpoint itself and attempts that ended without an answer. They
don't cause an ejection during a short period in which the endpoint reports that it is slow.
"""

from finchshed.common.backoff import Backoff
from finchshed.routing.endpoint import EndpointView
from finchshed.routing.pool import ServicePool

EJECT_AFTER_FAILURES = 5
"""Consecutive failures after which an endpoint is ejected."""

EJECTION_SECONDS = 1.0
"""Duration of the first ejection; it doubles with each further one."""

EJECTION_MAX_SECONDS = 30.0
"""Maximum duration of an ejection."""

EJECTION_BACKOFF = Backoff(EJECTION_SECONDS, EJECTION_MAX_SECONDS)

MAX_EJECTED_FRACTION = 0.34
"""Maximum fraction of a service's endpoints ejected at a time, so that failures with a common cause
don't make the whole service unavailable.

Of nine endpoints that fail, six stay in use (tests/routing/test_table.py)."""


def eject_if_failing(view: EndpointView, pool: ServicePool, now: float) -> None:
    """Eject an endpoint from ``pool`` if it has reached the number of consecutive failures."""
    if view.consecutive_failures < EJECT_AFTER_FAILURES or view.work.is_briefly_slow(now):
        return
    view.consecutive_failures = 0
    allowed = max(1, int(len(pool) * MAX_EJECTED_FRACTION)) if len(pool) > 1 else 0
    if pool.count_ejected(now) >= allowed:
        return
    duration = EJECTION_BACKOFF.bound(view.ejections)
    view.ejections += 1
    view.ejected_until = now + duration
    pool.refresh(view, now)
