"""Which of two endpoints drawn takes a call. No I/O.

Endpoints are compared by the cost of one more request. If one of them reports that it is slow, the
expected time to finish decides instead: by the wait alone, a slow idle endpoint would be preferred
to a fast one with a free slot.
"""

import random

from finchshed.routing.avoided_endpoints import AvoidedEndpoints
from finchshed.routing.endpoint import EndpointView

SWITCH_COST_FRACTION = 0.9
"""The second endpoint drawn is chosen if its cost is below this fraction of the first one's.

Costs are estimates; always choosing the lower one would send all calls to one endpoint at low load.
"""


def better_of(
    first: EndpointView,
    second: EndpointView,
    service_latency: float,
    now: float,
    avoided_endpoints: AvoidedEndpoints,
) -> EndpointView:
    """Return the better endpoint; ``service_latency`` is the mean of the service, seconds."""
    if now < first.work.slow_until or now < second.work.slow_until:
        if first is second:
            return first
        return avoided_endpoints.sooner(
            first, second, service_latency, now, margin=SWITCH_COST_FRACTION
        )
    cost = second.cost(service_latency, now)
    return second if cost < SWITCH_COST_FRACTION * first.cost(service_latency, now) else first


def other_than(view: EndpointView, views: list[EndpointView], rng: random.Random) -> EndpointView:
    """Draw another endpoint of the list that ``view`` is in, if there is one."""
    offset = 1 + int(rng.random() * (len(views) - 1))
    return views[(view.pool_index + offset) % len(views)]
