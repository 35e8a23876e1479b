"""Quota messages exchanged between daemons and the control group's leader, as JSON lines."""

from typing import Annotated, TypeAlias

import msgspec

from finchshed.configuration.resources import TenantName

Tokens: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
MessageNumber: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


TOKEN_DECIMALS = 3
"""Decimal places of token counts and rates in messages.

Full-precision floats would make up most of the bytes of a report."""


def round_tokens(value: float) -> float:
    """Return a token count or rate rounded to the precision used in messages."""
    return round(value, TOKEN_DECIMALS)


class HeldShare(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's bucket for one tenant and the demand on it.

    Attributes
    ----------
    demand
        Moving average of the tenant's requests per second to this daemon.
    rate, capacity
        Rate and capacity of the bucket when the report is made.
    level
        Tokens in the bucket.
    returned
        Tokens that the daemon removed from its bucket and returns to the reserve.
    """

    tenant: TenantName
    demand: Tokens
    rate: Tokens
    capacity: Tokens
    level: Tokens = 0.0
    returned: Tokens = 0.0


class QuotaReport(msgspec.Struct, frozen=True, tag="quota_report"):
    """All buckets that a daemon holds; it holds none for tenants that are not listed.

    ``incarnation`` identifies one run of the daemon process and ``number`` increases with each of
    its messages. ``started_ms`` orders the incarnations by start time, in Unix milliseconds of the
    daemon's clock.
    """

    incarnation: str
    number: MessageNumber
    shares: tuple[HeldShare, ...]
    started_ms: int = 0


class QuotaAsk(msgspec.Struct, frozen=True, tag="quota_ask"):
    """Requests tokens from the leader's reserve because the daemon's bucket is empty."""

    incarnation: str
    number: MessageNumber
    tenant: TenantName
    tokens: Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class GrantedShare(msgspec.Struct, frozen=True, array_like=True):
    """Rate and capacity granted to a daemon's bucket for one tenant.

    Attributes
    ----------
    tokens
        Tokens moved from the reserve to the bucket.
    fill
        Fraction of the reserve's capacity that is filled. The daemon keeps its bucket about as
        full.
    """

    tenant: str
    rate: float
    capacity: float
    tokens: float = 0.0
    fill: float = 1.0


class QuotaShares(msgspec.Struct, frozen=True, tag="quota_shares"):
    """Answers the report with the same ``number``."""

    incarnation: str
    number: int
    shares: tuple[GrantedShare, ...]


class QuotaTokens(msgspec.Struct, frozen=True, omit_defaults=True, tag="quota_tokens"):
    """Answers a :class:`QuotaAsk` with tokens from the reserve and the wait until more arrive.

    ``is_settling`` is set while a new leader doesn't know yet which shares are in use: that it
    grants no token then doesn't mean that the tenant is above its limit.
    """

    incarnation: str
    number: int
    tokens: int
    seconds_until_more: float
    is_settling: bool = False


QuotaRequest: TypeAlias = QuotaReport | QuotaAsk
QuotaAnswer: TypeAlias = QuotaShares | QuotaTokens
