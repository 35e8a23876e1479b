"""Daemon side of tenant quotas: token buckets, reports to the leader and token requests. No I/O.

A request takes a token from the daemon's bucket for its tenant. If the bucket is empty, the daemon
asks the leader's reserve, unless the reserve denied tokens a moment ago. Buckets refill locally and
stay valid for :data:`~finchshed.quota.lease.LEASE_SECONDS` after the last answered report, so
requests are admitted while the control group is unreachable.

Owns the daemon's buckets. :mod:`finchshed.daemon.ingress.quota_gate` acts on the decisions and
refuses requests with the reasons ``quota_exceeded`` and ``quota_unconfirmed``.
"""

import enum
import math
from collections.abc import Iterable

import msgspec

from finchshed.common.token_bucket import TokenBucket
from finchshed.configuration.resources import Policy, Tenant
from finchshed.quota.lease import ANSWER_TIMEOUT_SECONDS, LEASE_SECONDS
from finchshed.quota.limits import TenantLimit, limit_of
from finchshed.quota.messages import (
    HeldShare,
    QuotaAsk,
    QuotaReport,
    QuotaShares,
    QuotaTokens,
    round_tokens,
)

REPORT_INTERVAL_SECONDS = 0.5
"""Time between reports. Shares follow a change in demand within about two intervals.

At 1 s, reports took 0.6 of the bytes, but 0.04 in place of 0.02 in 100 requests below a limit
were refused in calm, and 0.9 in place of 0.3 near the limit."""

DEMAND_AVERAGING_SECONDS = 5.0
"""Time constant of the moving average of demand.

Short enough to follow callers that move to other daemons, long enough that random fluctuation
doesn't shift the shares of small tenants (docs/design/quotas.md)."""

DEMAND_MIN = 0.02
"""Demand in requests per second below which a daemon drops its bucket for a tenant."""

DENIED_BACKOFF_SECONDS = 0.25
"""Minimum pause before asking the reserve again after it granted fewer tokens than requested.

Without it every request above the limit would cost a message to the leader."""

DENIED_JITTER = 0.5
"""Maximum random extension of :data:`DENIED_BACKOFF_SECONDS`, as a fraction of it.

Keeps daemons from asking the reserve in lockstep."""

UNREACHED_BACKOFF_SECONDS = 1.0
"""Pause before asking the reserve again after a token request timed out."""

RETRY_AFTER_SECONDS_MAX = 5.0
"""Maximum retry delay given to callers above their limit: the default quota window."""


class TokenDecision(enum.Enum):
    """Result of taking a token for a request."""

    TAKEN = "taken"
    """A token was taken from the daemon's bucket."""

    ASK = "ask"
    """The bucket is empty; the caller must request a token from the leader's reserve."""

    DENIED = "denied"
    """The tenant is above its limit."""

    UNREACHED = "unreached"
    """The bucket is empty and the leader doesn't answer."""

    UNCONFIRMED = "unconfirmed"
    """The bucket is empty and a new leader doesn't know yet which shares are in use."""


class _Share(msgspec.Struct):
    """A daemon's bucket for one tenant and the demand on it."""

    bucket: TokenBucket
    demand: float = 0.0
    requests: int = 0
    fill: float = 1.0
    overflow: float = 0.0
    """Tokens that no longer fit after a resize; the next report returns them to the reserve."""

    denied_until: float = -math.inf
    is_denial_confirmed: bool = True
    """Whether the leader that denied tokens knew all shares in use."""

    next_retry_at: float = -math.inf


class DaemonShare:
    """Token buckets of one daemon, one for each limited tenant it serves.

    Parameters
    ----------
    incarnation
        Identity of this run of the daemon process.
    started_ms
        Start of that run, Unix milliseconds.
    """

    def __init__(self, incarnation: str, started_ms: int = 0) -> None:
        self._incarnation = incarnation
        self._started_ms = started_ms
        self._limits: dict[str, TenantLimit] = {}
        self._shares: dict[str, _Share] = {}
        self._last_message_number = 0
        self._report_number = 0
        self._report_sent_at = -math.inf
        self._last_report_at: float | None = None
        self._lease_ends_at = -math.inf
        self._unreached_until = -math.inf

    @property
    def has_limits(self) -> bool:
        """Whether any tenant has a limit."""
        return bool(self._limits)

    def configure(self, tenants: Iterable[Tenant], policy: Policy, now: float) -> None:
        """Apply the limits of a configuration, scaling shares down at once for lower limits."""
        found = ((tenant.name, limit_of(tenant, policy)) for tenant in tenants)
        limits = {name: limit for name, limit in found if limit is not None}
        for name, share in list(self._shares.items()):
            limit, before = limits.get(name), self._limits[name]
            if limit is None:
                del self._shares[name]
            elif limit != before:
                rate = share.bucket.rate * min(1.0, limit.rate / before.rate)
                capacity = share.bucket.capacity * min(1.0, limit.capacity / before.capacity)
                share.bucket.resize(rate, capacity, now)
        self._limits = limits

    def is_limited(self, tenant: str) -> bool:
        """Return whether requests of ``tenant`` need tokens."""
        return tenant in self._limits

    def take(self, tenant: str, now: float) -> TokenDecision:
        """Count a request of a limited tenant and try to take a token for it."""
        share = self._shares.get(tenant)
        if share is None:
            share = self._shares[tenant] = _Share(TokenBucket(0.0, 0.0, now))
        share.requests += 1
        if self.take_local(tenant, now):
            return TokenDecision.TAKEN
        if now < self._unreached_until:
            return TokenDecision.UNREACHED
        if now >= share.denied_until:
            return TokenDecision.ASK
        return self.denial_of(tenant)

    def denial_of(self, tenant: str) -> TokenDecision:
        """Return how a request is refused whose tokens the reserve denied."""
        share = self._shares.get(tenant)
        is_confirmed = share is None or share.is_denial_confirmed
        return TokenDecision.DENIED if is_confirmed else TokenDecision.UNCONFIRMED

    def take_local(self, tenant: str, now: float) -> bool:
        """Take a token from the daemon's bucket; return False if none is available."""
        share = self._shares.get(tenant)
        return share is not None and now < self._lease_ends_at and share.bucket.take(1, now) == 1

    def on_token_request_timeout(self, now: float) -> None:
        """Stop asking the reserve for a while after a token request timed out."""
        self._unreached_until = now + UNREACHED_BACKOFF_SECONDS

    def refund(self, tenant: str, now: float) -> None:
        """Return the token of a request that was not executed."""
        share = self._shares.get(tenant)
        if share is not None:
            share.bucket.put(1.0, now)

    def retry_after_seconds(self, tenant: str, now: float) -> float:
        """Return the delay after which a refused caller may retry.

        The delay grows with each call, up to :data:`RETRY_AFTER_SECONDS_MAX`, so that callers
        come back at the permitted rate.
        """
        share = self._shares.get(tenant)
        limit = self._limits.get(tenant)
        if share is None or limit is None:
            return DENIED_BACKOFF_SECONDS
        rate = max(share.bucket.rate, limit.reserve_rate)
        share.next_retry_at = max(share.next_retry_at, now) + 1.0 / rate
        share.next_retry_at = min(share.next_retry_at, now + RETRY_AFTER_SECONDS_MAX)
        return max(DENIED_BACKOFF_SECONDS, share.next_retry_at - now)

    def next_report(self, now: float) -> QuotaReport | None:
        """Return the report to send to the leader, or None if no tenant has a limit."""
        if now >= self._lease_ends_at:
            self._empty_buckets(now)
        elapsed = (
            REPORT_INTERVAL_SECONDS if self._last_report_at is None else now - self._last_report_at
        )
        self._last_report_at = now
        held = []
        for name, share in list(self._shares.items()):
            share.demand = _average_demand(share, elapsed)
            share.requests = 0
            if share.demand < DEMAND_MIN:
                del self._shares[name]
            else:
                held.append(self._held_share(name, share, now))
        if not self._limits:
            return None
        self._last_message_number += 1
        self._report_number = self._last_message_number
        self._report_sent_at = now
        return QuotaReport(self._incarnation, self._report_number, tuple(held), self._started_ms)

    def on_shares(self, answer: QuotaShares, now: float) -> bool:
        """Apply the leader's shares; return False if they are late or answer an older report."""
        if answer.incarnation != self._incarnation or answer.number != self._report_number:
            return False
        if now > self._report_sent_at + ANSWER_TIMEOUT_SECONDS:
            return False
        for granted in answer.shares:
            share = self._shares.get(granted.tenant)
            if share is not None:
                share.overflow += share.bucket.resize(granted.rate, granted.capacity, now)
                share.bucket.put(granted.tokens, now)
                share.fill = granted.fill
        self._lease_ends_at = self._report_sent_at + LEASE_SECONDS
        return True

    def matches_incarnation(self, answer: QuotaTokens) -> bool:
        """Return whether an answer is addressed to this incarnation of the daemon."""
        return answer.incarnation == self._incarnation

    def next_token_request(self, tenant: str, tokens: int) -> QuotaAsk:
        """Return the message that requests tokens from the leader's reserve."""
        self._last_message_number += 1
        return QuotaAsk(self._incarnation, self._last_message_number, tenant, tokens)

    def on_tokens(self, ask: QuotaAsk, answer: QuotaTokens, jitter: float, now: float) -> None:
        """Back off if the reserve granted fewer tokens than requested.

        The granted tokens belong to the waiting requests and aren't added to the bucket.
        ``jitter``, from 0 to 1, scales the random part of the backoff.
        """
        share = self._shares.get(ask.tenant)
        if share is not None and answer.tokens < ask.tokens:
            share.denied_until = now + DENIED_BACKOFF_SECONDS * (1.0 + DENIED_JITTER * jitter)
            share.is_denial_confirmed = not answer.is_settling

    def rates(self) -> dict[str, tuple[float, float]]:
        """Return rate and capacity of each tenant's bucket, for metrics and tests."""
        return {
            name: (share.bucket.rate, share.bucket.capacity) for name, share in self._shares.items()
        }

    def _empty_buckets(self, now: float) -> None:
        for share in self._shares.values():
            share.bucket.resize(0.0, 0.0, now)
            share.overflow = 0.0

    def _held_share(self, name: str, share: _Share, now: float) -> HeldShare:
        bucket = share.bucket
        returned, share.overflow = share.overflow, 0.0
        kept = max(share.fill * bucket.capacity, REPORT_INTERVAL_SECONDS * share.demand)
        if share.fill < 1.0:
            # Leave room for the tokens added before the next report, so that none overflow.
            kept = min(kept, bucket.capacity - REPORT_INTERVAL_SECONDS * bucket.rate)
        returned += bucket.remove_above(kept, now)
        level = bucket.level(now)
        return HeldShare(
            name,
            round_tokens(share.demand),
            bucket.rate,
            bucket.capacity,
            round_tokens(level),
            round_tokens(returned),
        )


def _average_demand(share: _Share, elapsed: float) -> float:
    """Return the exponential moving average of requests per second, seeded by the first count."""
    current = share.requests / max(elapsed, REPORT_INTERVAL_SECONDS)
    if not share.demand:
        return current
    weight = math.exp(-elapsed / DEMAND_AVERAGING_SECONDS)
    return weight * share.demand + (1.0 - weight) * current
