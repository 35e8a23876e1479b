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

Inputs: reports of daemons (demand in requests a second, rate and tokens held), the daemons noted in
the log, the limits in force and the time in seconds. Owns the division for as long as its node
leads; relies on its caller not to answer once a read from a quorum is older than the overlap.
"""

from collections.abc import Iterable

import msgspec

from finchshed.configuration.resources import Policy, Tenant
from finchshed.quota.incarnations import Incarnation, IncarnationTable
from finchshed.quota.lease import (
    DAEMON_EXPIRY_SECONDS,
    LEADER_LEASE_SECONDS,
    LEADER_OVERLAP_SECONDS,
    SETTLE_SECONDS,
)
from finchshed.quota.limits import limit_of
from finchshed.quota.messages import (
    GrantedShare,
    HeldShare,
    QuotaAsk,
    QuotaReport,
    QuotaShares,
    QuotaTokens,
    round_tokens,
)
from finchshed.quota.tenant_pool import Holding, TenantPool

CAPACITY_MIN = 1.0
"""A bucket holds at least this: a request takes a whole token.

Where a tenant's stock isn't enough for a token at each daemon, some of them have one and the others
none, which serves some of its requests while control is away."""

DEMAND_MIN = 0.05
"""Requests a second that a daemon with a bucket is counted with at least. Chosen, not
measured."""

RATE_TO_DEMAND_MAX = 2.0
"""A share's rate is at most so many times the daemon's demand. Chosen, not measured.

Without this and the two below the first daemons that report take the whole of a limit, and the
others wait a second for them to give it up."""

CAPACITY_SECONDS_OF_DEMAND = 4.0
"""A share's tokens are at most for so many seconds of the daemon's demand, and a few more. Chosen,
not measured."""

CAPACITY_HEADROOM = 2.0
"""Those few more tokens. Chosen, not measured."""

CHANGE_TOLERANCE = 0.25
"""A share is changed when it is off by more than this part of it.

Of the limits, about 8 in 100 were tied up in changes where shares followed demand without it."""

RETRY_SECONDS_MAX = 30.0
"""Longest time, seconds, until a daemon is told to ask again. Chosen, not measured."""


class QuotaAllocator:
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
        self._tenants: dict[str, TenantPool] = {}
        self._lives = IncarnationTable(self._tenants)

    def configure(self, tenants: Iterable[Tenant], policy: Policy, now: float) -> None:
        """Take the limits of a configuration. Lower ones reach the daemons with their next report.

        A tenant without a limit is forgotten, and so is what daemons hold for it.
        """
        limits = {tenant.name: limit_of(tenant, policy) for tenant in tenants}
        for name in [name for name in self._tenants if limits.get(name) is None]:
            del self._tenants[name]
            self._lives.forget_tenant(name)
        for name, limit in limits.items():
            if limit is None:
                continue
            held = self._tenants.get(name)
            if held is None:
                self._tenants[name] = TenantPool(limit, now)
            elif held.limit != limit:
                held.set_limit(limit, now)

    def on_report(self, daemon: str, report: QuotaReport, now: float) -> QuotaShares | None:
        """Take a daemon's report and return its shares from now on; None: nothing to be told.

        A daemon that started anew holds nothing; what its former life held is free again. Lines of
        a former life may come late: they don't count against the later one.
        """
        self._lives.forget_ended(now)
        self._on_heard(daemon, now)
        known = self._lives.get(daemon, report.incarnation)
        if known is not None and report.number <= known.number:
            return None
        if known is None and self._is_settled(now):
            # What a daemon holds that isn't counted here has ended, and may be another's by now.
            report = _without_claims(report)
        self._lives.forget(daemon, report.incarnation)
        self._lives.forget_before(daemon, report.started_ms)
        held = {share.tenant: share for share in report.shares if share.tenant in self._tenants}
        may_grow = daemon in self._noted and self._is_settled(now)
        granted = {name: self._grant(share, now, may_grow) for name, share in held.items()}
        holdings = {name: _counted(share, granted[name]) for name, share in held.items()}
        for name, holding in holdings.items():
            self._tenants[name].add(holding)
            self._tenants[name].resize_reserve(now, is_settled=self._is_settled(now))
        ends_at = now + LEADER_LEASE_SECONDS
        life = Incarnation(report.started_ms, report.number, ends_at, holdings)
        self._lives.put(daemon, report.incarnation, life)
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
        self._lives.forget_ended(now)
        is_settled = self._is_settled(now)
        for tenant in self._tenants.values():
            tenant.resize_reserve(now, is_settled=is_settled)

    def unrecorded_daemons(self) -> tuple[str, ...]:
        """Return daemons that reported and aren't noted: they get shares once they are."""
        return tuple(sorted(self._heard_at.keys() - self._noted))

    def expired_daemons(self, now: float) -> tuple[str, ...]:
        """Return noted daemons that have told nothing for long."""
        since = now - DAEMON_EXPIRY_SECONDS
        return tuple(sorted(name for name in self._noted if self._heard_at[name] < since))

    def on_recorded(self, added: Iterable[str], removed: Iterable[str]) -> None:
        """Take note of what the replicated log holds now."""
        self._noted.update(added)
        for name in removed:
            self._noted.discard(name)
            self._unheard.discard(name)
            self._heard_at.pop(name, None)

    def held_total(self, name: str) -> tuple[float, float]:
        """Return the rate and the size of all shares of a tenant that may be in use."""
        tenant = self._tenants[name]
        return tenant.rate, tenant.capacity

    def _grant(self, share: HeldShare, now: float, may_grow: bool) -> GrantedShare:
        """Return the share of a daemon whose holding is not among the sums."""
        tenant = self._tenants[share.tenant]
        limit = tenant.limit
        tenant.reserve.put(share.returned, now)
        demand = max(share.demand, DEMAND_MIN)
        part = demand / (tenant.demand + demand)
        rate_free = limit.daemon_rate - tenant.rate
        capacity_free = limit.daemon_capacity - tenant.capacity
        if not may_grow:
            rate_free = capacity_free = 0.0
        wanted_rate = min(part * limit.daemon_rate, RATE_TO_DEMAND_MAX * demand)
        wanted_capacity = min(
            part * limit.daemon_capacity, CAPACITY_SECONDS_OF_DEMAND * demand + CAPACITY_HEADROOM
        )
        wanted_capacity = max(CAPACITY_MIN, wanted_capacity)
        rate = round_tokens(_next(wanted_rate, share.rate, rate_free))
        capacity = round_tokens(_next(wanted_capacity, share.capacity, capacity_free))
        if capacity < CAPACITY_MIN:
            rate = capacity = 0.0
        tokens = tenant.take_for_bucket(capacity, share.level, now)
        return GrantedShare(
            share.tenant, rate, capacity, round_tokens(tokens), round_tokens(tenant.fill(now))
        )

    def _on_heard(self, daemon: str, now: float) -> None:
        self._heard_at[daemon] = now
        if now >= self._began_at + LEADER_OVERLAP_SECONDS:
            self._unheard.discard(daemon)

    def _is_settled(self, now: float) -> bool:
        """Return whether no share is in use that isn't counted here."""
        if now < self._began_at + LEADER_OVERLAP_SECONDS:
            return False
        return not self._unheard or now >= self._began_at + SETTLE_SECONDS


def _next(wanted: float, held: float, free: float) -> float:
    """Return a daemon's next share: what it is to have, but for growth beyond what is free.

    A share that is about right stays: each change is counted twice until the daemon has told of it.
    """
    if (1.0 - CHANGE_TOLERANCE) * held <= wanted <= (1.0 + CHANGE_TOLERANCE) * held:
        return held
    return wanted if wanted <= held else max(held, min(wanted, free))


def _without_claims(report: QuotaReport) -> QuotaReport:
    shares = tuple(
        msgspec.structs.replace(share, rate=0.0, capacity=0.0, level=0.0) for share in report.shares
    )
    return msgspec.structs.replace(report, shares=shares)


def _counted(held: HeldShare, granted: GrantedShare) -> Holding:
    """Return what is counted until the daemon tells that it has taken its grant."""
    return Holding(
        rate=max(held.rate, granted.rate),
        capacity=max(held.capacity, granted.capacity),
        demand=max(held.demand, DEMAND_MIN),
    )
