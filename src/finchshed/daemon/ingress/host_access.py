"""Authentication of host requests by API key.

Calls of the local back end need no key; they are recognised by the identity of the request that
they are made for. Relies on the key lease for how long the configured keys may be trusted.
"""

import random

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.configuration.resources import HostRoute, Tenant
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.serving.served_requests import ServedRequest, ServedRequests
from finchshed.http.message import InboundRequest
from finchshed.retry.policy import retry_after
from finchshed.runtime import clock
from finchshed.tenancy.authentication import authenticate
from finchshed.tenancy.keys import TenantKeys
from finchshed.tenancy.lease import KeyLease


class HostAuthenticator:
    """Finds the tenant of a request by its API key.

    Attributes
    ----------
    tenants
        Declared tenants and their keys; if empty, no request needs a key.
    """

    def __init__(
        self, names: HeaderNames, served: ServedRequests, lease: KeyLease, rng: random.Random
    ) -> None:
        self.tenants = TenantKeys(())
        self._names = names
        self._served = served
        self._lease = lease
        self._rng = rng
        self._api_key = names.api_key.encode("ascii")

    def authenticate(
        self, request: InboundRequest, identity: str, route: HostRoute
    ) -> Tenant | Refused | None:
        """Return the tenant, None if no key is needed, or the refusal.

        A call of the local back end needs no key.
        """
        if not self.tenants or self.parent_request(identity) is not None:
            return None
        keys = {value for name, value in request.headers if name == self._api_key and value}
        now = clock.now()
        result = authenticate(keys, self.tenants, self._lease, now, is_public=route.public)
        if result is RefusalReason.API_KEY_MISSING:
            return self._missing_key_refusal(identity)
        if isinstance(result, RefusalReason):
            return self._refusal(result, f"confirmed {self._lease.age(now):.3f} s ago")
        return result

    def parent_request(self, identity: str) -> ServedRequest | None:
        """Return the request in progress at the local back end that a call belongs to, or None."""
        separator = self._names.call_separator
        if not separator:
            return None
        parent, has_separator, _ = identity.rpartition(separator)
        return self._served.get_by_identity(parent) if has_separator else None

    def _missing_key_refusal(self, identity: str) -> Refused:
        """Return the refusal of a request without a key that belongs to no request in progress."""
        separator = self._names.call_separator
        if separator and separator in identity:
            # The parent request has ended, or a previous process of this daemon accepted it.
            return self._refusal(RefusalReason.CALLER_UNKNOWN, "the request it is made for is over")
        return self._refusal(RefusalReason.API_KEY_MISSING, f"{self._names.api_key} is needed")

    def _refusal(self, reason: RefusalReason, detail: str) -> Refused:
        return Refused(reason, retry_after(0.0, self._rng), detail)
