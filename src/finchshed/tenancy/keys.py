"""Lookup of tenants by API key. Only digests of keys are stored."""

import hashlib
from collections.abc import Iterable

from finchshed.configuration.resources import Tenant


def digest_of_key(key: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of an API key, as declared in :class:`Tenant`."""
    return hashlib.sha256(key).hexdigest()


class TenantKeys:
    """Declared tenants, indexed by the digests of their keys.

    Looking up by digest keeps the timing from revealing other keys.
    """

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self.tenants = {tenant.name: tenant for tenant in tenants}
        self._holders = {
            digest: tenant for tenant in self.tenants.values() for digest in tenant.key_sha256
        }

    def __bool__(self) -> bool:
        """Return whether any tenant is declared, in which case requests need a key."""
        return bool(self.tenants)

    def holder_of(self, key: bytes) -> Tenant | None:
        """Return the tenant that holds ``key``, or None."""
        return self._holders.get(digest_of_key(key))
