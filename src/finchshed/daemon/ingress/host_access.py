"""Whose request a request by host is: a tenant's, a call of the own back end, or nobody's.

Owns nothing; relies on the tenants in force, on the key lease for how long their keys may be
trusted, and on the requests being served to know a call of the own back end by its identity.
"""

import random

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.configuration.resources import HostRoute, Tenant
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.serving.accounts import ServedRequest, ServedRequests
from finchshed.http.message import InboundRequest
from finchshed.retry.policy import retry_after
from finchshed.runtime import clock
from finchshed.tenancy.authentication import authenticate
from finchshed.tenancy.keys import TenantKeys
from finchshed.tenancy.lease import KeyLease


class HostAccess:
    """Judges the API keys of requests.

    Attributes
    ----------
    tenants
        Declared tenants and their keys; none: no request needs a key.
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

    def tenant_of(
        self, request: InboundRequest, identity: str, route: HostRoute
    ) -> Tenant | Refused | None:
        """Return whose request it is, None where no key is needed, or the refusal.

        A call of the own back end needs no key.
        """
        if not self.tenants or self.served_by(identity) is not None:
            return None
        keys = {value for name, value in request.headers if name == self._api_key and value}
        now = clock.now()
        found = authenticate(keys, self.tenants, self._lease, now, is_public=route.public)
        if found is RefusalReason.API_KEY_MISSING:
            return self._without_key(identity)
        if isinstance(found, RefusalReason):
            return self._refusal(found, f"confirmed {self._lease.age(now):.3f} s ago")
        return found

    def served_by(self, identity: str) -> ServedRequest | None:
        """Return the request of the own back end that a call is made for, by its identity."""
        separator = self._names.call_separator
        if not separator:
            return None
        parent, found, _ = identity.rpartition(separator)
        return self._served.get_by_identity(parent) if found else None

    def _without_key(self, identity: str) -> Refused:
        """Return the refusal of a request that has no key and is no call for a known request."""
        separator = self._names.call_separator
        if separator and separator in identity:
            # Its request may be over, or was taken by the process before this one.
            return self._refusal(RefusalReason.CALLER_UNKNOWN, "the request it is made for is over")
        return self._refusal(RefusalReason.API_KEY_MISSING, f"{self._names.api_key} is needed")

    def _refusal(self, reason: RefusalReason, detail: str) -> Refused:
        return Refused(reason, retry_after(0.0, self._rng), detail)
