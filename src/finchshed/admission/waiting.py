"""Bound on the time that a request waits at the gate before it is refused.

Load pattern: a gate with a long queue refuses requests after they have waited for a large part of
their latency objective, so that their clients lose this time before they can return. With the
bound, a request is refused either early or only because it can no longer finish in time.
"""

import math

from finchshed.common.context import CallContext

TARGET_FRACTION = 0.125
"""Fraction of the latency objective within which a queued request is refused, if it is. Most of the
objective is left for the return and the work."""


def sheddable_until(context: CallContext, now: float) -> float:
    """Return until when a request that arrives now may be refused in favor of others, seconds."""
    if context.target_seconds <= 0.0:
        return math.inf
    return now + TARGET_FRACTION * context.target_seconds
