"""What one answer says about the rate limit of its back end.

A back end in need names the requests per second that it accepts from all callers together. The
limit holds until an answer names none.
"""

import msgspec


class RateLimitNotice(msgspec.Struct, frozen=True):
    """Rate limit in an answer.

    Attributes
    ----------
    requests_per_second
        The limit; None if the answer names none or it is unreadable.
    unreadable
        Beginning of a value that isn't a decimal number; empty otherwise. Such an answer says
        nothing about the limit.
    """

    requests_per_second: float | None = None
    unreadable: str = ""


NO_LIMIT_NAMED = RateLimitNotice()
