"""The leader's side of quotas: each tenant's limit divided among the daemons. Pure.

A daemon's share is a token bucket: a rate and a size. Shares are held under a lease, so a daemon
that nothing reaches goes on for a while within its share, and the shares of all that may still be
used are never more than the limit:

- a share is counted as the larger of what the daemon holds and what it was last granted, until the
  daemon has told what it holds, or its lease must have ended;
- a share grows only into what no other share holds;
- a new leader knows none of the shares. It takes in what daemons show, and lets none grow until
  all daemons that may hold one have shown it, or those granted before it must have ended. Which
  daemons these are is kept in the replicated log: no daemon gets a share before it is noted there.

Shares follow demand. What a daemon's bucket lacks it asks of the reserve, a bucket of the leader's
own; what it holds beyond its need it returns there. Tokens only move, so both are safe whatever is
lost on the way.
"""

import itertools
from collections.abc import Iterable, Iterator

import msgspec

from finchshed.configuration.resources import Policy, Tenant
from finchshed.quota.bucket import TokenBucket
from finchshed.quota.limits import TenantLimit, limit_of
from finchshed.quota.messages import (
    GrantedShare,
    HeldShare,
    QuotaAsk,
    QuotaReport,
    QuotaShares,
    QuotaTokens,
    told,
)

SHARE_SECONDS = 4.6
"""A daemon uses a share for this long after the report that it was granted for.

Longer than a change of the leader takes, so that daemons are served meanwhile."""

ANSWER_SECONDS = 1.0
"""A daemon takes no answer that comes later than this after its report: what the report told of
shares in use then still holds when the leader reads it."""

COUNTED_SECONDS = SHARE_SECONDS + ANSWER_SECONDS
"""The leader counts a share for this long after the last report that told of it."""

OVERLAP_SECONDS = 1.0
"""The leader before may have granted until so long after the new one was chosen (see
:mod:`finchshed.control.daemons.quota_service`)."""

SETTLE_SECONDS = COUNTED_SECONDS + OVERLAP_SECONDS
"""After this time none of the shares is left that were granted before a new leader."""

GONE_SECONDS = 30.0
"""A daemon that has told nothing for this long is no longer noted as one that may hold a share."""

LEAST_CAPACITY = 1.0
"""A bucket holds at least this: a request takes a whole token.

Where a tenant's stock isn't enough for a token at each daemon, some of them have one and the others
none, which serves some of its requests while control is away."""

LEAST_DEMAND = 0.05
"""Requests a second that a daemon with a bucket is counted with at least."""

RATE_OF_DEMAND = 2.0
STOCK_SECONDS = 4.0
STOCK_LEAST = 2.0
"""A share is at most a rate of so many times the daemon's demand, and tokens for so many seconds of
it and a few more.

Without it the first daemons that report take the whole of a limit, and the others wait a second for
them to give it up."""

TOLERANCE = 0.25
"""A share is changed when it is off by more than this part of it.

Of the limits, about 8 in 100 were tied up in changes where shares followed demand without it."""

LEVELLED_PART = 0.5
"""Part of what a bucket holds less than others, for its size, that it is given with each report."""

RETRY_SECONDS_MAX = 30.0


class _Holding(msgspec.Struct):
    """What is counted for one daemon and tenant."""

    rate: float
    capacity: float
    demand: float


class _Life(msgspec.Struct):
    """One life of a daemon that reported, and what it may hold."""

    started_ms: int
    number: int
    ends_at: float
    holdings: dict[str, _Holding]


class _Tenant:
    """One tenant's limit, the sums over its holdings, and the reserve."""

    def __init__(self, limit: TenantLimit, now: float) -> None:
        self.limit = limit
        self.rate = 0.0
        self.capacity = 0.0
        self.demand = 0.0
        self.reserve = TokenBucket(limit.reserve_rate, limit.reserve_stock, now)

    def change(self, limit: TenantLimit, now: float) -> None:
        """Take another limit."""
        self.limit = limit
        self.resize_reserve(now, is_settled=False)

    def resize_reserve(self, now: float, *, is_settled: bool) -> None:
        """Give the reserve what no daemon holds, at least its own part."""
        limit = self.limit
        rate, capacity = limit.reserve_rate, limit.reserve_stock
        if is_settled:
            rate = max(rate, limit.rate - self.rate)
            capacity = max(capacity, limit.stock - self.capacity)
        self.reserve.resize(rate, capacity, now)

    def add(self, holding: _Holding) -> None:
        """Count a holding."""
        self.rate += holding.rate
        self.capacity += holding.capacity
        self.demand += holding.demand

    def subtract(self, holding: _Holding) -> None:
        """Count a holding no more."""
        self.rate -= holding.rate
        self.capacity -= holding.capacity
        self.demand -= holding.demand

    def fill(self, now: float) -> float:
        """Return which part of its size the reserve holds."""
        capacity = self.reserve.capacity
        return self.reserve.level(now) / capacity if capacity > 0.0 else 0.0

    def tokens_for(self, capacity: float, level: float, now: float) -> float:
        """Take tokens of the reserve for a bucket that is less full than it."""
        missing = self.fill(now) * capacity - level
        return self.reserve.take_part(LEVELLED_PART * missing, now)


class QuotaDivision:
    """Divides the limits for as long as one node leads.

    Parameters
    ----------
    now
        When the node began to lead, monotonic seconds.
    noted
        The daemons that may hold a share.
    """

    def __init__(self, now: float, noted: Iterable[str] = ()) -> None:
        self._began_at = now
        self._noted = set(noted)
        self._unheard = set(self._noted)
        self._heard_at = dict.fromkeys(self._noted, now)
        self._tenants: dict[str, _Tenant] = {}
        self._lives: dict[str, dict[str, _Life]] = {}

    def configure(self, tenants: Iterable[Tenant], policy: Policy, now: float) -> None:
        """Take the limits of a configuration. Lower ones reach the daemons with their next report.

        A tenant without a limit is forgotten, and so is what daemons hold for it.
        """
        limits = {tenant.name: limit_of(tenant, policy) for tenant in tenants}
        for name in [name for name in self._tenants if limits.get(name) is None]:
            del self._tenants[name]
            for life in self._all_lives():
                life.holdings.pop(name, None)
        for name, limit in limits.items():
            if limit is None:
                continue
            held = self._tenants.get(name)
            if held is None:
                self._tenants[name] = _Tenant(limit, now)
            elif held.limit != limit:
                held.change(limit, now)

    def on_report(self, daemon: str, report: QuotaReport, now: float) -> QuotaShares | None:
        """Take a daemon's report and return its shares from now on; None: nothing to be told.

        A daemon that started anew holds nothing; what its former life held is free again. Lines of
        a former life may come late: they don't count against the later one.
        """
        self._forget_ended(now)
        self._hear(daemon, now)
        known = self._lives.get(daemon, {}).get(report.incarnation)
        if known is not None and report.number <= known.number:
            return None
        if known is None and self._is_settled(now):
            # What a daemon holds that isn't counted here has ended, and may be another's by now.
            report = _without_claims(report)
        self._forget_life(daemon, report.incarnation)
        self._forget_before(daemon, report.started_ms)
        held = {share.tenant: share for share in report.shares if share.tenant in self._tenants}
        may_grow = daemon in self._noted and self._is_settled(now)
        granted = {name: self._grant(share, now, may_grow) for name, share in held.items()}
        holdings = {name: _counted(share, granted[name]) for name, share in held.items()}
        for name, holding in holdings.items():
            self._tenants[name].add(holding)
            self._tenants[name].resize_reserve(now, is_settled=self._is_settled(now))
        ends_at = now + COUNTED_SECONDS
        life = _Life(report.started_ms, report.number, ends_at, holdings)
        self._lives.setdefault(daemon, {})[report.incarnation] = life
        if not report.shares:
            return None
        return QuotaShares(report.incarnation, report.number, tuple(granted.values()))

    def on_ask(self, ask: QuotaAsk, now: float) -> QuotaTokens:
        """Grant tokens of the reserve."""
        tenant = self._tenants.get(ask.tenant)
        if tenant is None:
            return QuotaTokens(ask.incarnation, ask.number, 0, 0.0)
        tokens = tenant.reserve.take(ask.tokens, now)
        wait = tenant.reserve.seconds_until(ask.tokens - tokens, now)
        wait = min(wait, RETRY_SECONDS_MAX)
        return QuotaTokens(ask.incarnation, ask.number, tokens, wait)

    def tick(self, now: float) -> None:
        """Give the reserves what no daemon holds any more. Call a few times a second."""
        self._forget_ended(now)
        is_settled = self._is_settled(now)
        for tenant in self._tenants.values():
            tenant.resize_reserve(now, is_settled=is_settled)

    def to_note(self) -> tuple[str, ...]:
        """Return daemons that reported and aren't noted: they get shares once they are."""
        return tuple(sorted(self._heard_at.keys() - self._noted))

    def gone(self, now: float) -> tuple[str, ...]:
        """Return noted daemons that have told nothing for long."""
        since = now - GONE_SECONDS
        return tuple(sorted(name for name in self._noted if self._heard_at[name] < since))

    def on_noted(self, added: Iterable[str], removed: Iterable[str]) -> None:
        """Take note of what the replicated log holds now."""
        self._noted.update(added)
        for name in removed:
            self._noted.discard(name)
            self._unheard.discard(name)
            self._heard_at.pop(name, None)

    def held(self, name: str) -> tuple[float, float]:
        """Return the rate and the size of all shares of a tenant that may be in use."""
        tenant = self._tenants[name]
        return tenant.rate, tenant.capacity

    def _grant(self, share: HeldShare, now: float, may_grow: bool) -> GrantedShare:
        """Return the share of a daemon whose holding is not among the sums."""
        tenant = self._tenants[share.tenant]
        limit = tenant.limit
        tenant.reserve.put(share.returned, now)
        demand = max(share.demand, LEAST_DEMAND)
        part = demand / (tenant.demand + demand)
        rate_free = limit.daemon_rate - tenant.rate
        capacity_free = limit.daemon_stock - tenant.capacity
        if not may_grow:
            rate_free = capacity_free = 0.0
        wanted_rate = min(part * limit.daemon_rate, RATE_OF_DEMAND * demand)
        wanted_capacity = min(part * limit.daemon_stock, STOCK_SECONDS * demand + STOCK_LEAST)
        wanted_capacity = max(LEAST_CAPACITY, wanted_capacity)
        rate = told(_next(wanted_rate, share.rate, rate_free))
        capacity = told(_next(wanted_capacity, share.capacity, capacity_free))
        if capacity < LEAST_CAPACITY:
            rate = capacity = 0.0
        tokens = tenant.tokens_for(capacity, share.level, now)
        return GrantedShare(share.tenant, rate, capacity, told(tokens), told(tenant.fill(now)))

    def _hear(self, daemon: str, now: float) -> None:
        self._heard_at[daemon] = now
        if now >= self._began_at + OVERLAP_SECONDS:
            self._unheard.discard(daemon)

    def _is_settled(self, now: float) -> bool:
        """Return whether no share is in use that isn't counted here."""
        if now < self._began_at + OVERLAP_SECONDS:
            return False
        return not self._unheard or now >= self._began_at + SETTLE_SECONDS

    def _all_lives(self) -> Iterator[_Life]:
        return itertools.chain.from_iterable(lives.values() for lives in self._lives.values())

    def _forget_life(self, daemon: str, incarnation: str) -> None:
        """Count no more what a life of a daemon held."""
        lives = self._lives.get(daemon, {})
        life = lives.pop(incarnation, None)
        if life is None:
            return
        for name, holding in life.holdings.items():
            self._tenants[name].subtract(holding)
        if not lives:
            del self._lives[daemon]

    def _forget_before(self, daemon: str, started_ms: int) -> None:
        """Count no more what lives held that began before another of their daemon."""
        lives = self._lives.get(daemon, {})
        former = [name for name, life in lives.items() if life.started_ms < started_ms]
        for incarnation in former:
            self._forget_life(daemon, incarnation)

    def _forget_ended(self, now: float) -> None:
        """Count no more what was held under leases that must have ended."""
        ended = [
            (daemon, incarnation)
            for daemon, lives in self._lives.items()
            for incarnation, life in lives.items()
            if life.ends_at <= now
        ]
        for daemon, incarnation in ended:
            self._forget_life(daemon, incarnation)


def _next(wanted: float, held: float, free: float) -> float:
    """Return a daemon's next share: what it is to have, but for growth beyond what is free.

    A share that is about right stays: each change is counted twice until the daemon has told of it.
    """
    if (1.0 - TOLERANCE) * held <= wanted <= (1.0 + TOLERANCE) * held:
        return held
    return wanted if wanted <= held else max(held, min(wanted, free))


def _without_claims(report: QuotaReport) -> QuotaReport:
    shares = tuple(
        msgspec.structs.replace(share, rate=0.0, capacity=0.0, level=0.0) for share in report.shares
    )
    return msgspec.structs.replace(report, shares=shares)


def _counted(held: HeldShare, granted: GrantedShare) -> _Holding:
    """Return what is counted until the daemon tells that it has taken its grant."""
    return _Holding(
        rate=max(held.rate, granted.rate),
        capacity=max(held.capacity, granted.capacity),
        demand=max(held.demand, LEAST_DEMAND),
    )
