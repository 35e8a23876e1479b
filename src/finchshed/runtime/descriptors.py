"""How many descriptors a process may have open, and which part of them callers may use."""

import resource

MAX_DESCRIPTORS = 1 << 20
"""Upper bound if the system sets none."""

CALLERS_DIVISOR = 2
"""Part for connections of callers; links, back ends, control and files have the rest."""

AUXILIARY_DIVISOR = 16
"""Part for connections to each auxiliary endpoint."""

MIN_CONNECTIONS = 8
"""Connections that are taken whatever the limit."""


def descriptor_limit(configured: int) -> int:
    """Return the number of descriptors: ``configured``, or what the system allows if it is 0."""
    if configured:
        return configured
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if allowed == resource.RLIM_INFINITY else min(allowed, MAX_DESCRIPTORS)


def max_caller_connections(descriptors: int) -> int:
    """Return the number of connections that callers may have open together."""
    return max(MIN_CONNECTIONS, descriptors // CALLERS_DIVISOR)


def max_auxiliary_connections(descriptors: int) -> int:
    """Return the number of connections to one auxiliary endpoint."""
    return max(MIN_CONNECTIONS, descriptors // AUXILIARY_DIVISOR)
