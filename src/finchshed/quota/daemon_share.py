"""A daemon's side of quotas: its buckets, its reports and its asks. Pure.

A request takes a token from the daemon's bucket for its tenant. Where that is empty the daemon
asks the leader's reserve, unless the reserve had too little not long ago. Buckets are
filled by the daemon itself and used for :data:`~finchshed.quota.lease.LEASE_SECONDS` after the
report that was answered last, so they serve also while control can't be reached.

Inputs: the limits in force, requests of each tenant, the leader's answers and the time in seconds.
Owns the daemon's buckets. What comes of a decision is carried out by
:mod:`finchshed.daemon.ingress.quota_gate`, which gives the reasons ``quota_exceeded`` and
``quota_unconfirmed``.
"""

import enum
import math
from collections.abc import Iterable

import msgspec

from finchshed.configuration.resources import Policy, Tenant
from finchshed.quota.bucket import TokenBucket
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
"""Time between two reports: shares follow demand within about twice of it.

At 1 s reports took 0.6 of the bytes, but 0.04 in place of 0.02 in 100 requests below a limit were
refused in calm, and 0.9 in place of 0.3 near the limit, where each tenant sends to every daemon
(model, one seed)."""

DEMAND_AVERAGING_SECONDS = 5.0
"""Demand is the mean over about this time.

Short enough for callers that move to other daemons, long enough that chance doesn't move the shares
of small tenants. Over 2 s 8 in 100 of the limits were tied up in changes of shares
(docs/design/quotas.md)."""

DEMAND_MIN = 0.02
"""A tenant that sends less than this many requests a second has no bucket at the daemon. Chosen,
not measured."""

DENIED_BACKOFF_SECONDS = 0.25
"""The reserve is not asked again for this long once it had too little, and a spread.

Without it every request above a limit would be a message: several times the limit of a tenant that
sends too much. Chosen, not measured."""

DENIED_JITTER = 0.5
"""Part of :data:`DENIED_BACKOFF_SECONDS` that is added at random, so that daemons don't ask
together again. Chosen, not measured."""

UNREACHED_BACKOFF_SECONDS = 1.0
"""After an ask without an answer none is made for this long: requests would wait in vain. Chosen,
not measured."""

RETRY_AFTER_SECONDS_MAX = 5.0
"""Longest time after which a caller above its limit is told to come back: a window of the limit.
Chosen, not measured."""


class TokenDecision(enum.Enum):
    """What becomes of a request that needs a token."""

    TAKEN = "taken"
    """It has a token."""

    ASK = "ask"
    """The reserve is to be asked for one."""

    DENIED = "denied"
    """Its tenant is above its limit."""

    UNREACHED = "unreached"
    """The daemon has none, and the leader doesn't answer."""


class _Share(msgspec.Struct):
    """A daemon's bucket for one tenant, and what its callers ask for."""

    bucket: TokenBucket
    demand: float = 0.0
    requests: int = 0
    fill: float = 1.0
    left_over: float = 0.0
    """Tokens that did not fit into a smaller bucket, to be returned."""

    denied_until: float = -math.inf
    next_return: float = -math.inf


class DaemonShare:
    """The buckets of one daemon.

    Parameters
    ----------
    incarnation
        This life of the daemon.
    started_ms
        When it began, Unix milliseconds.
    """

    def __init__(self, incarnation: str, started_ms: int = 0) -> None:
        self._incarnation = incarnation
        self._started_ms = started_ms
        self._limits: dict[str, TenantLimit] = {}
        self._shares: dict[str, _Share] = {}
        self._last_number = 0
        self._report_number = 0
        self._report_sent_at = -math.inf
        self._reported_at: float | None = None
        self._ends_at = -math.inf
        self._unreached_until = -math.inf

    @property
    def has_limits(self) -> bool:
        """Whether any tenant has a limit."""
        return bool(self._limits)

    def configure(self, tenants: Iterable[Tenant], policy: Policy, now: float) -> None:
        """Act on the limits of a configuration; a share shrinks with a lower limit at once."""
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
        """Return whether a tenant's requests need tokens."""
        return tenant in self._limits

    def take(self, tenant: str, now: float) -> TokenDecision:
        """Take a token for a request of a limited tenant."""
        share = self._shares.get(tenant)
        if share is None:
            share = self._shares[tenant] = _Share(TokenBucket(0.0, 0.0, now))
        share.requests += 1
        if self.take_local(tenant, now):
            return TokenDecision.TAKEN
        if now < self._unreached_until:
            return TokenDecision.UNREACHED
        return TokenDecision.DENIED if now < share.denied_until else TokenDecision.ASK

    def take_local(self, tenant: str, now: float) -> bool:
        """Take a token of the daemon's own bucket, if it holds one."""
        share = self._shares.get(tenant)
        return share is not None and now < self._ends_at and share.bucket.take(1, now) == 1

    def on_ask_timeout(self, now: float) -> None:
        """Note that an ask was not answered."""
        self._unreached_until = now + UNREACHED_BACKOFF_SECONDS

    def refund(self, tenant: str, now: float) -> None:
        """Put back the token of a request that did not run."""
        share = self._shares.get(tenant)
        if share is not None:
            share.bucket.put(1.0, now)

    def retry_after_seconds(self, tenant: str, now: float) -> float:
        """Return when a request above the limit is to come back: once those before it have room."""
        share = self._shares.get(tenant)
        limit = self._limits.get(tenant)
        if share is None or limit is None:
            return DENIED_BACKOFF_SECONDS
        rate = max(share.bucket.rate, limit.reserve_rate)
        share.next_return = max(share.next_return, now) + 1.0 / rate
        share.next_return = min(share.next_return, now + RETRY_AFTER_SECONDS_MAX)
        return max(DENIED_BACKOFF_SECONDS, share.next_return - now)

    def next_report(self, now: float) -> QuotaReport | None:
        """Return the report to send the leader now: it waits for those of all daemons.

        None where no tenant has a limit.
        """
        if now >= self._ends_at:
            self._drop_shares(now)
        elapsed = REPORT_INTERVAL_SECONDS if self._reported_at is None else now - self._reported_at
        self._reported_at = now
        held = []
        for name, share in list(self._shares.items()):
            share.demand = _demand(share, elapsed)
            share.requests = 0
            if share.demand < DEMAND_MIN:
                del self._shares[name]
            else:
                held.append(self._held(name, share, now))
        if not self._limits:
            return None
        self._last_number += 1
        self._report_number = self._last_number
        self._report_sent_at = now
        return QuotaReport(self._incarnation, self._report_number, tuple(held), self._started_ms)

    def on_shares(self, answer: QuotaShares, now: float) -> bool:
        """Take the answer to the last report, in time; return whether it was that."""
        if answer.incarnation != self._incarnation or answer.number != self._report_number:
            return False
        if now > self._report_sent_at + ANSWER_TIMEOUT_SECONDS:
            return False
        for granted in answer.shares:
            share = self._shares.get(granted.tenant)
            if share is not None:
                share.left_over += share.bucket.resize(granted.rate, granted.capacity, now)
                share.bucket.put(granted.tokens, now)
                share.fill = granted.fill
        self._ends_at = self._report_sent_at + LEASE_SECONDS
        return True

    def matches_incarnation(self, answer: QuotaTokens) -> bool:
        """Return whether an answer is for this life of the daemon."""
        return answer.incarnation == self._incarnation

    def next_ask(self, tenant: str, tokens: int) -> QuotaAsk:
        """Return an ask for tokens of the reserve."""
        self._last_number += 1
        return QuotaAsk(self._incarnation, self._last_number, tenant, tokens)

    def on_tokens(self, ask: QuotaAsk, answer: QuotaTokens, spread: float, now: float) -> None:
        """Take the answer to an ask; the tokens are the asking requests' own.

        ``spread``, from 0 to 1, keeps daemons from asking again together.
        """
        share = self._shares.get(ask.tenant)
        if share is not None and answer.tokens < ask.tokens:
            share.denied_until = now + DENIED_BACKOFF_SECONDS * (1.0 + DENIED_JITTER * spread)

    def rates(self) -> dict[str, tuple[float, float]]:
        """Return rate and size of each bucket, for metrics and tests."""
        return {
            name: (share.bucket.rate, share.bucket.capacity) for name, share in self._shares.items()
        }

    def _drop_shares(self, now: float) -> None:
        for share in self._shares.values():
            share.bucket.resize(0.0, 0.0, now)
            share.left_over = 0.0

    def _held(self, name: str, share: _Share, now: float) -> HeldShare:
        bucket = share.bucket
        returned, share.left_over = share.left_over, 0.0
        kept = max(share.fill * bucket.capacity, REPORT_INTERVAL_SECONDS * share.demand)
        if share.fill < 1.0:
            # What comes in until the next report must fit in: nothing is lost at the brim then.
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


def _demand(share: _Share, elapsed: float) -> float:
    """Return the requests a second of late: a moving mean that begins with the first count."""
    present = share.requests / max(elapsed, REPORT_INTERVAL_SECONDS)
    if not share.demand:
        return present
    kept = math.exp(-elapsed / DEMAND_AVERAGING_SECONDS)
    return kept * share.demand + (1.0 - kept) * present
