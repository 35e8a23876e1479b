"""Derives a tenant's token rate and capacity from its declaration and the quota policy.

The policy fields are ``quota_window_seconds``, ``quota_overshoot`` and ``quota_slack``. No I/O.
"""

import msgspec

from finchshed.configuration.resources import Policy, Tenant

GRANTED_CAPACITY_SHARE = 0.95
"""Fraction of the permitted token capacity that is handed out.

The remainder covers grants that a deposed leader makes from its reserve while it overlaps with its
successor; see :data:`~finchshed.quota.lease.LEADER_OVERLAP_SECONDS`. No window passed its limit in
1,000 seeds of tests/quota/test_quotas_in_a_failing_world.py."""

RESERVE_RATE_SHARE = 0.2
"""Minimum fraction of a tenant's rate that refills the leader's reserve.

The daemons' buckets receive at most the rest. See ``docs/design/quotas.md``."""

RESERVE_CAPACITY_SHARE = 0.3
"""Minimum fraction of a tenant's token capacity assigned to the leader's reserve.

The daemons' buckets receive at most the rest."""


class TenantLimit(msgspec.Struct, frozen=True):
    """Total token budget of one tenant, divided between the daemons and the leader's reserve.

    At most ``capacity + rate * t`` requests obtain a token within any ``t`` seconds.

    Attributes
    ----------
    rate
        Tokens added per second over all buckets.
    capacity
        Maximum number of tokens that all buckets hold together.
    """

    rate: float
    capacity: float

    @property
    def daemon_rate(self) -> float:
        """Maximum tokens per second over all daemons' buckets."""
        return self.rate - self.reserve_rate

    @property
    def daemon_capacity(self) -> float:
        """Maximum number of tokens that the daemons' buckets hold together."""
        return self.capacity - self.reserve_capacity

    @property
    def reserve_rate(self) -> float:
        """Minimum tokens per second added to the leader's reserve."""
        return self.rate * RESERVE_RATE_SHARE

    @property
    def reserve_capacity(self) -> float:
        """Minimum capacity of the leader's reserve."""
        return self.capacity * RESERVE_CAPACITY_SHARE


def limit_of(tenant: Tenant, policy: Policy) -> TenantLimit | None:
    """Return the limit of ``tenant``, or None if it is unlimited.

    A window admits at most ``(rate * window + burst) * (1 + overshoot) + slack`` requests. The
    capacity is that maximum less the ``rate * window`` tokens added during the window.
    """
    rate = tenant.requests_per_second
    if not rate:
        return None
    refilled = rate * policy.quota_window_seconds
    window_max = (refilled + tenant.burst_requests) * (
        1.0 + policy.quota_overshoot
    ) + policy.quota_slack
    return TenantLimit(rate, GRANTED_CAPACITY_SHARE * (window_max - refilled))
