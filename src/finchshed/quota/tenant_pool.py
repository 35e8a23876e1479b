"""Leader's accounting for one tenant: totals of the daemons' holdings, and the reserve. No I/O."""

import msgspec

from finchshed.common.token_bucket import TokenBucket
from finchshed.quota.limits import TenantLimit

REBALANCE_FRACTION = 0.5
"""Fraction of a bucket's shortfall against the reserve's fill that is granted with each report.

Rebalancing keeps some daemons from refusing requests while others hold unused tokens. With
rebalancing, 0.07 in place of 1.5 in 100 requests were refused where all tenants sent 1.5 times
their usual rate (docs/design/quotas.md)."""


class Holding(msgspec.Struct):
    """Rate, capacity and demand counted for one daemon and tenant."""

    rate: float
    capacity: float
    demand: float


class TenantPool:
    """One tenant's limit, the totals over its holdings, and the reserve."""

    def __init__(self, limit: TenantLimit, now: float) -> None:
        self.limit = limit
        self.rate = 0.0
        self.capacity = 0.0
        self.demand = 0.0
        self.reserve = TokenBucket(limit.reserve_rate, limit.reserve_capacity, now)

    def set_limit(self, limit: TenantLimit, now: float) -> None:
        """Replace the limit and shrink the reserve to its minimum share of it."""
        self.limit = limit
        self.resize_reserve(now, shares_known=False)

    def resize_reserve(self, now: float, *, shares_known: bool) -> None:
        """Size the reserve to its minimum share, or to all unheld budget if that is larger.

        Unheld budget is only assigned when ``shares_known``, so that shares granted by an earlier
        leader aren't assigned twice.
        """
        limit = self.limit
        rate, capacity = limit.reserve_rate, limit.reserve_capacity
        if shares_known:
            rate = max(rate, limit.rate - self.rate)
            capacity = max(capacity, limit.capacity - self.capacity)
        self.reserve.resize(rate, capacity, now)

    def add(self, holding: Holding) -> None:
        """Add a holding to the totals."""
        self.rate += holding.rate
        self.capacity += holding.capacity
        self.demand += holding.demand

    def subtract(self, holding: Holding) -> None:
        """Subtract a holding from the totals."""
        self.rate -= holding.rate
        self.capacity -= holding.capacity
        self.demand -= holding.demand

    def fill(self, now: float) -> float:
        """Return the filled fraction of the reserve's capacity."""
        capacity = self.reserve.capacity
        return self.reserve.level(now) / capacity if capacity > 0.0 else 0.0

    def take_for_bucket(self, capacity: float, level: float, now: float) -> float:
        """Take tokens from the reserve for a bucket that is less full than the reserve."""
        shortfall = self.fill(now) * capacity - level
        return self.reserve.take_fractional(REBALANCE_FRACTION * shortfall, now)
