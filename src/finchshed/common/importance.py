"""Importance classes of requests, from declarations.

A higher value is shed later. The classes follow the four criticality levels of the overload
chapter of *Site Reliability Engineering* (Beyer et al., 2016).
"""

import enum


class Importance(enum.IntEnum):
    """How late a request is shed under overload."""

    SHEDDABLE = 0
    """Browsing that may fail for a while, such as booklet pages."""

    NORMAL = 1
    """Interactive look-ups by the public."""

    HIGH = 2
    """Requests that change state, such as a purchase."""

    CRITICAL = 3
    """Requests someone in the field waits for, such as an officer's licence check."""
