"""Reads the rate limit headers of an answer."""

import re
from collections.abc import Sequence

from finchshed.limit.rate_notice import NO_LIMIT_NAMED, RateLimitNotice

DECIMAL_PATTERN = re.compile(rb"^\d{1,9}(\.\d{1,9})?$")
"""A readable limit, in requests per second."""

MAX_QUOTED_BYTES = 40
"""Bytes of an unreadable value that are kept for the log."""


def read_rate_limit(values: Sequence[bytes]) -> RateLimitNotice:
    """Return the notice in the values of an answer's rate limit headers."""
    if not values:
        return NO_LIMIT_NAMED
    text = b", ".join(values).strip()
    if DECIMAL_PATTERN.match(text):
        return RateLimitNotice(float(text))
    return RateLimitNotice(unreadable=ascii(text[:MAX_QUOTED_BYTES].decode("latin-1")))
