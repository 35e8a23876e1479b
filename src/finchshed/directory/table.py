"""Table of all registrations known to a control node or a daemon. No I/O.

The table is soft state: it isn't persisted, and registrations that daemons stop refreshing expire.
"""

from collections.abc import Iterable

from finchshed.configuration.resources import Endpoint, EndpointState
from finchshed.directory.registration import InstanceState, Registration


class Directory:
    """Latest registration of each daemon's back end.

    Parameters
    ----------
    expiry_seconds
        Time without a refresh after which a registration is dropped.
    """

    def __init__(self, expiry_seconds: float) -> None:
        self._expiry_seconds = expiry_seconds
        self._registrations: dict[str, Registration] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._refreshed_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of registrations."""
        return len(self._registrations)

    def registrations(self) -> tuple[Registration, ...]:
        """Return all registrations."""
        return tuple(self._registrations.values())

    def get(self, address: str) -> Registration | None:
        """Return the registration of the daemon at ``address``."""
        return self._registrations.get(address)

    def present_addresses(self, registrations: Iterable[Registration]) -> set[str]:
        """Return the addresses among ``registrations`` that have a back end in the directory."""
        return {item.address for item in registrations if item.address in self._endpoints}

    def merge(self, registrations: Iterable[Registration], now: float) -> tuple[Registration, ...]:
        """Merge registrations and return those that changed; equal ones are only refreshed."""
        changed = []
        for registration in registrations:
            current = self._registrations.get(registration.address)
            if current is not None and current.supersedes(registration):
                continue
            self._refreshed_at[registration.address] = now
            if current is None or registration.supersedes(current):
                self._store(registration)
                changed.append(registration)
        return tuple(changed)

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop registrations that weren't refreshed in time and return their addresses."""
        since = now - self._expiry_seconds
        expired = [address for address, at in self._refreshed_at.items() if at < since]
        self.drop(expired)
        return tuple(expired)

    def drop(self, addresses: Iterable[str]) -> bool:
        """Remove registrations and return whether any of them existed."""
        known = [address for address in addresses if address in self._registrations]
        for address in known:
            del self._registrations[address]
            del self._refreshed_at[address]
            self._endpoints.pop(address, None)
        return bool(known)

    def endpoints(self) -> dict[str, Endpoint]:
        """Return the back ends that aren't gone, as endpoints by name."""
        return {endpoint.name: endpoint for endpoint in self._endpoints.values()}

    def _store(self, registration: Registration) -> None:
        self._registrations[registration.address] = registration
        if registration.state is InstanceState.GONE:
            self._endpoints.pop(registration.address, None)
        else:
            self._endpoints[registration.address] = _endpoint_of(registration)


def _endpoint_of(registration: Registration) -> Endpoint:
    is_draining = registration.state is InstanceState.LEAVING
    return Endpoint(
        name=registration.instance,
        service=registration.service,
        region=registration.region,
        zone=registration.zone,
        address=registration.address,
        slots=max(1, registration.slots),
        state=EndpointState.LEAVING if is_draining else EndpointState.ACTIVE,
        warm_up_seconds=0.0,
    )
