"""Reads the load header of a back end: requests running, requests waiting, slots, slowdown.

The fourth field is optional and in percent; 100 means that work takes as long as usual, and so
does 0.
"""

from finchshed.limit.backend_load import BackendLoad
from finchshed.limit.slowdown_history import USUAL_SLOWDOWN

FIELDS_WITHOUT_SLOWDOWN = 3
FIELDS_WITH_SLOWDOWN = 4

PERCENT = 100

MAX_FIELD_DIGITS = 9
"""Longer numbers make a header malformed; this also bounds the cost of reading one."""


def read_load(value: str) -> BackendLoad | None:
    """Return the load in a header's value, or None if it is malformed."""
    fields = [field.strip() for field in value.split(",")]
    if len(fields) not in (FIELDS_WITHOUT_SLOWDOWN, FIELDS_WITH_SLOWDOWN):
        return None
    if not all(_is_count(field) for field in fields):
        return None
    running, waiting, slots = (int(field) for field in fields[:FIELDS_WITHOUT_SLOWDOWN])
    if slots == 0:
        return None
    if len(fields) == FIELDS_WITHOUT_SLOWDOWN:
        return BackendLoad(running, waiting, slots)
    slowdown = int(fields[-1]) / PERCENT
    return BackendLoad(running, waiting, slots, slowdown or USUAL_SLOWDOWN)


def _is_count(field: str) -> bool:
    return field.isascii() and field.isdecimal() and len(field) <= MAX_FIELD_DIGITS
