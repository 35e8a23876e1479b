"""Leader side of tenant quotas: divides each tenant's limit among the daemons. No I/O.

A daemon's share is a token bucket with a rate and a capacity, held under a lease. A partitioned
daemon keeps using its share until the lease ends. The total of all shares that may be in use never
exceeds the limit:

- A share is counted as the larger of what the daemon holds and what it was last granted, until the
  daemon reports its holding or its lease has ended.
- A share grows only into budget that no other share holds.
- A new leader starts without knowledge of the shares. It accepts reported holdings, but grows none
  until every daemon that may hold a share has reported or all earlier leases have ended. Those
  daemons are recorded in the replicated log before they receive a share.

Shares follow demand. A daemon whose bucket is empty requests tokens from the leader's reserve
bucket, and returns tokens it doesn't need. Tokens are only moved, never created, so lost messages
can't raise the total.

Owns the allocation while its node leads. Relies on the caller not to answer once its last quorum
read is older than :data:`~finchshed.quota.lease.LEADER_OVERLAP_SECONDS`.
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
"""Minimum capacity of a non-empty bucket, because a request takes a whole token.

If a tenant's capacity doesn't cover one token per daemon, some daemons get a bucket and others get
none."""

DEMAND_MIN = 0.05
"""Minimum demand, in requests per second, assumed for a daemon with a bucket."""

RATE_TO_DEMAND_MAX = 2.0
"""Maximum ratio of a share's rate to the daemon's demand.

Together with the two constants below, keeps the first daemons that report from taking the whole
limit."""

CAPACITY_SECONDS_OF_DEMAND = 4.0
"""Maximum capacity of a share in seconds of the daemon's demand, before headroom."""

CAPACITY_HEADROOM = 2.0
"""Tokens of capacity added to :data:`CAPACITY_SECONDS_OF_DEMAND`."""

CHANGE_TOLERANCE = 0.25
"""Relative deviation from the target up to which a share is left unchanged.

Each change is counted twice until the daemon confirms it, which ties up part of the limit."""

RETRY_SECONDS_MAX = 30.0
"""Maximum ``seconds_until_more`` reported to a daemon."""


class QuotaAllocator:
    """Allocates shares of the tenant limits during one leader's term.

    Parameters
    ----------
    now
        Start of the term, monotonic seconds.
    recorded
        Daemons recorded in the replicated log as possible share holders.
    """

    def __init__(self, now: float, recorded: Iterable[str] = ()) -> None:
        self._term_started_at = now
        self._recorded = set(recorded)
        self._unreported = set(self._recorded)
        self._last_report_at = dict.fromkeys(self._recorded, now)
        self._tenants: dict[str, TenantPool] = {}
        self._incarnations = IncarnationTable(self._tenants)

    def configure(self, tenants: Iterable[Tenant], policy: Policy, now: float) -> None:
        """Apply the limits of a configuration.

        Daemons receive lower limits in the answer to their next report. The pools and holdings of
        tenants without a limit are removed.
        """
        limits = {tenant.name: limit_of(tenant, policy) for tenant in tenants}
        for name in [name for name in self._tenants if limits.get(name) is None]:
            del self._tenants[name]
            self._incarnations.forget_tenant(name)
        for name, limit in limits.items():
            if limit is None:
                continue
            pool = self._tenants.get(name)
            if pool is None:
                self._tenants[name] = TenantPool(limit, now)
            elif pool.limit != limit:
                pool.set_limit(limit, now)

    def on_report(self, daemon: str, report: QuotaReport, now: float) -> QuotaShares | None:
        """Process a daemon's report and return its new shares, or None if there is no answer.

        A report from a newer incarnation frees the holdings of older ones. Late reports of an older
        incarnation don't affect the newer one.
        """
        self._incarnations.forget_ended(now)
        self._on_contact(daemon, now)
        known = self._incarnations.get(daemon, report.incarnation)
        if known is not None and report.number <= known.number:
            return None
        if known is None and self._shares_known(now):
            # An uncounted holding has expired, and its budget may be granted to another daemon.
            report = _without_holdings(report)
        self._incarnations.forget(daemon, report.incarnation)
        self._incarnations.forget_before(daemon, report.started_ms)
        held = {share.tenant: share for share in report.shares if share.tenant in self._tenants}
        may_grow = daemon in self._recorded and self._shares_known(now)
        granted = {name: self._grant(share, now, may_grow) for name, share in held.items()}
        holdings = {name: _counted_holding(share, granted[name]) for name, share in held.items()}
        for name, holding in holdings.items():
            self._tenants[name].add(holding)
            self._tenants[name].resize_reserve(now, shares_known=self._shares_known(now))
        ends_at = now + LEADER_LEASE_SECONDS
        entry = Incarnation(report.started_ms, report.number, ends_at, holdings)
        self._incarnations.put(daemon, report.incarnation, entry)
        if not report.shares:
            return None
        return QuotaShares(report.incarnation, report.number, tuple(granted.values()))

    def on_token_request(self, ask: QuotaAsk, now: float) -> QuotaTokens:
        """Grant tokens from the reserve, up to what it holds."""
        tenant = self._tenants.get(ask.tenant)
        if tenant is None:
            return QuotaTokens(ask.incarnation, ask.number, 0, 0.0)
        tokens = tenant.reserve.take(ask.tokens, now)
        wait = tenant.reserve.seconds_until(ask.tokens - tokens, now)
        wait = min(wait, RETRY_SECONDS_MAX)
        is_settling = not self._shares_known(now)
        return QuotaTokens(ask.incarnation, ask.number, tokens, wait, is_settling)

    def tick(self, now: float) -> None:
        """Expire leases and resize the reserves. Call several times per second."""
        self._incarnations.forget_ended(now)
        shares_known = self._shares_known(now)
        for tenant in self._tenants.values():
            tenant.resize_reserve(now, shares_known=shares_known)

    def unrecorded_daemons(self) -> tuple[str, ...]:
        """Return daemons that reported but aren't recorded in the replicated log yet."""
        return tuple(sorted(self._last_report_at.keys() - self._recorded))

    def expired_daemons(self, now: float) -> tuple[str, ...]:
        """Return recorded daemons without a report for ``DAEMON_EXPIRY_SECONDS``."""
        since = now - DAEMON_EXPIRY_SECONDS
        return tuple(sorted(name for name in self._recorded if self._last_report_at[name] < since))

    def on_recorded(self, added: Iterable[str], removed: Iterable[str]) -> None:
        """Apply daemons added to and removed from the replicated log."""
        self._recorded.update(added)
        for name in removed:
            self._recorded.discard(name)
            self._unreported.discard(name)
            self._last_report_at.pop(name, None)

    def held_total(self, name: str) -> tuple[float, float]:
        """Return total rate and capacity of a tenant's shares that may be in use."""
        tenant = self._tenants[name]
        return tenant.rate, tenant.capacity

    def _grant(self, share: HeldShare, now: float, may_grow: bool) -> GrantedShare:
        """Return the new share for a reported one that isn't included in the pool's totals."""
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
        rate = round_tokens(_next_value(wanted_rate, share.rate, rate_free))
        capacity = round_tokens(_next_value(wanted_capacity, share.capacity, capacity_free))
        if capacity < CAPACITY_MIN:
            rate = capacity = 0.0
        tokens = tenant.take_for_bucket(capacity, share.level, now)
        return GrantedShare(
            share.tenant, rate, capacity, round_tokens(tokens), round_tokens(tenant.fill(now))
        )

    def _on_contact(self, daemon: str, now: float) -> None:
        self._last_report_at[daemon] = now
        if now >= self._term_started_at + LEADER_OVERLAP_SECONDS:
            self._unreported.discard(daemon)

    def _shares_known(self, now: float) -> bool:
        """Return whether every share that may be in use is counted here."""
        if now < self._term_started_at + LEADER_OVERLAP_SECONDS:
            return False
        return not self._unreported or now >= self._term_started_at + SETTLE_SECONDS


def _next_value(wanted: float, held: float, free: float) -> float:
    """Return the next value of a share: ``wanted``, with growth limited to ``free``.

    Values within ``CHANGE_TOLERANCE`` of ``wanted`` are kept.
    """
    if (1.0 - CHANGE_TOLERANCE) * held <= wanted <= (1.0 + CHANGE_TOLERANCE) * held:
        return held
    return wanted if wanted <= held else max(held, min(wanted, free))


def _without_holdings(report: QuotaReport) -> QuotaReport:
    shares = tuple(
        msgspec.structs.replace(share, rate=0.0, capacity=0.0, level=0.0) for share in report.shares
    )
    return msgspec.structs.replace(report, shares=shares)


def _counted_holding(held: HeldShare, granted: GrantedShare) -> Holding:
    """Return the holding to count until the daemon confirms the grant in a report."""
    return Holding(
        rate=max(held.rate, granted.rate),
        capacity=max(held.capacity, granted.capacity),
        demand=max(held.demand, DEMAND_MIN),
    )
