"""What a daemon and the leader of the control group tell each other of quotas (JSON lines)."""

from typing import Annotated, TypeAlias

import msgspec

from finchshed.configuration.resources import TenantName

Tokens: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
MessageNumber: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


TOKEN_DECIMALS = 3
"""Digits behind the point of what is sent: a report names each tenant that sends to the daemon, and
whole floating-point numbers made up most of its bytes. Chosen, not measured."""


def round_tokens(value: float) -> float:
    """Return a number of tokens, or of them a second, as it is sent."""
    return round(value, TOKEN_DECIMALS)


class HeldShare(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's bucket for a tenant, and what was asked of it.

    Attributes
    ----------
    demand
        Requests a second that the tenant sent to this daemon of late.
    rate, capacity
        The bucket as the daemon holds it when it tells.
    level
        Tokens that the bucket holds.
    returned
        Tokens that the daemon took out of its bucket for the reserve.
    """

    tenant: TenantName
    demand: Tokens
    rate: Tokens
    capacity: Tokens
    level: Tokens = 0.0
    returned: Tokens = 0.0


class QuotaReport(msgspec.Struct, frozen=True, tag="quota_report"):
    """All buckets that a daemon holds; it holds none for a tenant that isn't named.

    ``number`` rises with each message of one life of the daemon, ``incarnation`` names that life
    and ``started_ms`` tells lives apart by age: Unix milliseconds, by the daemon's clock.
    """

    incarnation: str
    number: MessageNumber
    shares: tuple[HeldShare, ...]
    started_ms: int = 0


class QuotaAsk(msgspec.Struct, frozen=True, tag="quota_ask"):
    """The daemon's bucket is empty: it asks for tokens of the reserve."""

    incarnation: str
    number: MessageNumber
    tenant: TenantName
    tokens: Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class GrantedShare(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's bucket from now on.

    Attributes
    ----------
    tokens
        Tokens of the reserve for the bucket.
    fill
        Part of its size that the reserve holds: buckets are kept about as full as it is.
    """

    tenant: str
    rate: float
    capacity: float
    tokens: float = 0.0
    fill: float = 1.0


class QuotaShares(msgspec.Struct, frozen=True, tag="quota_shares"):
    """The answer to the report of this number."""

    incarnation: str
    number: int
    shares: tuple[GrantedShare, ...]


class QuotaTokens(msgspec.Struct, frozen=True, tag="quota_tokens"):
    """The answer to an ask: tokens of the reserve, and when it may have more, seconds."""

    incarnation: str
    number: int
    tokens: int
    seconds_until_more: float


QuotaRequest: TypeAlias = QuotaReport | QuotaAsk
QuotaAnswer: TypeAlias = QuotaShares | QuotaTokens
