"""Who holds an API key. Only digests of keys are kept."""

import hashlib
from collections.abc import Iterable

from finchshed.configuration.resources import Tenant


def digest_of_key(key: bytes) -> str:
    """Return the SHA-256 of an API key, hexadecimal, as :class:`Tenant` declares it."""
    return hashlib.sha256(key).hexdigest()


class TenantKeys:
    """The declared tenants by the digests of their keys.

    A key is looked up by its digest, so the time that takes tells nothing of other keys.
    """

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self.tenants = {tenant.name: tenant for tenant in tenants}
        self._holders = {
            digest: tenant for tenant in self.tenants.values() for digest in tenant.key_sha256
        }

    def __bool__(self) -> bool:
        """Return whether any tenant is declared: requests need a key then."""
        return bool(self.tenants)

    def holder_of(self, key: bytes) -> Tenant | None:
        """Return the tenant that holds ``key``, or None."""
        return self._holders.get(digest_of_key(key))
