"""Authentication of a request by its API key.

Refusal reasons: ``api_key_missing``, ``api_key_unknown``, ``api_key_unconfirmed``. All cases are
listed in docs/design/tenancy.md.
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
    """Return the tenant of a request, None if it needs none, or the reason to refuse it.

    Parameters
    ----------
    keys
        The distinct API keys of the request; if there are several, none is trusted.
    is_public
        Whether the route of the request is open to requests without a key.
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
    return _refusal_of_unknown_key(lease, now)


def _refusal_of_unknown_key(lease: KeyLease, now: float) -> RefusalReason:
    """Return the reason to refuse an unknown key, which may be too recent to be known here."""
    if lease.is_fresh(now):
        return RefusalReason.API_KEY_UNKNOWN
    return RefusalReason.API_KEY_UNCONFIRMED
