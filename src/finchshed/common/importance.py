"""Importance classes of requests, as declared for their routes.

A higher value is shed later. The classes follow the four criticality levels of the overload
chapter of *Site Reliability Engineering* (Beyer et al., 2016).
"""

import enum


class Importance(enum.IntEnum):
    """Importance class of a request; lower values are shed first under overload."""

    SHEDDABLE = 0
    """Requests that may fail temporarily, such as browsing."""

    NORMAL = 1
    """Interactive look-ups by the public."""

    HIGH = 2
    """Requests that change state, such as a purchase."""

    CRITICAL = 3
    """Requests that field staff wait for, such as an officer's licence check."""
