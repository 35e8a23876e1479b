"""Whose request it is, or why it isn't taken: the decision by its API key. Pure.

Inputs: the keys on the request, the declared tenants, the key lease (seconds since a question that
control confirmed) and whether the route is public. Reasons given: ``api_key_missing``,
``api_key_unknown``, ``api_key_unconfirmed``. The table of cases is in docs/design/tenancy.md.
"""

from collections.abc import Collection

from finchshed.common.outcomes import RefusalReason
from finchshed.configuration.resources import Tenant
from finchshed.tenancy.keys import TenantKeys
from finchshed.tenancy.lease import KeyLease


def authenticate(
    keys: Collection[bytes],
    tenants: TenantKeys,
    lease: KeyLease,
    now: float,
    *,
    is_public: bool,
) -> Tenant | RefusalReason | None:
    """Return the tenant that a request comes from, None if it needs none, or why it is refused.

    Parameters
    ----------
    keys
        The different API keys on the request; two of them are none that could be trusted.
    is_public
        Whether its route takes requests without a key.
    """
    if not tenants:
        return None
    holder = tenants.holder_of(next(iter(keys))) if len(keys) == 1 else None
    if is_public:
        return holder if lease.is_valid(now) else None
    if not keys:
        return RefusalReason.API_KEY_MISSING
    if holder is not None:
        return holder if lease.is_valid(now) else RefusalReason.API_KEY_UNCONFIRMED
    return _denial(lease, now)


def _denial(lease: KeyLease, now: float) -> RefusalReason:
    """Return how a key that isn't known is refused: it may be news that hasn't come here yet."""
    if lease.is_fresh(now):
        return RefusalReason.API_KEY_UNKNOWN
    return RefusalReason.API_KEY_UNCONFIRMED
