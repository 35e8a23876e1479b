"""How many requests of a tenant may be under way in all: its rate, and the tokens of its pool.

Pure: a function of the tenant's declaration and the policy's ``quota_window_seconds``,
``quota_overshoot`` and ``quota_slack``.
"""

import msgspec

from finchshed.configuration.resources import Policy, Tenant

GRANTED_CAPACITY_SHARE = 0.95
"""Part of the tokens above the rate that are handed out.

The rest covers a leader of the control group that grants for a moment beside its successor: it does
so for 1 s at most, from its reserve. Chosen, not measured; no window passed its limit in 1,000
seeds of tests/quota/test_quotas_in_a_failing_world.py."""

RESERVE_RATE_SHARE = 0.2
"""Part of a tenant's rate that refills the leader's reserve at least; the daemons' buckets get up
to the rest. See ``docs/design/quotas.md`` for shares compared."""

RESERVE_CAPACITY_SHARE = 0.3
"""Part of a tenant's tokens that the leader's reserve holds at least; the daemons hold up to the
rest. Chosen with the rate's."""


class TenantLimit(msgspec.Struct, frozen=True):
    """A tenant's limit as it is divided.

    However the daemons use what they hold, in no time ``t`` do more than ``stock + rate * t``
    requests get a token: that is how many tokens there are at most at its start, and how many are
    added.

    Attributes
    ----------
    rate
        Tokens added a second, over all buckets.
    stock
        Tokens that all buckets together hold at most.
    """

    rate: float
    capacity: float

    @property
    def daemon_rate(self) -> float:
        """Tokens added a second over the daemons' buckets."""
        return self.rate - self.reserve_rate

    @property
    def daemon_capacity(self) -> float:
        """Tokens that the daemons' buckets together hold at most."""
        return self.capacity - self.reserve_capacity

    @property
    def reserve_rate(self) -> float:
        """Tokens added a second to the leader's reserve, at least."""
        return self.rate * RESERVE_RATE_SHARE

    @property
    def reserve_capacity(self) -> float:
        """Tokens that the leader's reserve may hold, at least."""
        return self.capacity * RESERVE_CAPACITY_SHARE


def limit_of(tenant: Tenant, policy: Policy) -> TenantLimit | None:
    """Return the limit of ``tenant``, or None where it has none.

    The most that a window may hold is ``(rate * window + burst) * (1 + overshoot) + slack``; what
    of it the rate doesn't add in that time may stand in the buckets at its start.
    """
    rate = tenant.requests_per_second
    if not rate:
        return None
    added = rate * policy.quota_window_seconds
    most = (added + tenant.burst_requests) * (1.0 + policy.quota_overshoot) + policy.quota_slack
    return TenantLimit(rate, GRANTED_CAPACITY_SHARE * (most - added))
