"""All registrations that a control node or a daemon knows of. Pure decisions.

Owns them as soft state: nothing is kept on disk, and what nobody confirms is dropped. Relies on the
daemons to send their registrations again and again.
"""

from collections.abc import Iterable

from finchshed.configuration.resources import Endpoint, EndpointState
from finchshed.directory.registration import InstanceState, Registration


class Directory:
    """The latest registration of each daemon.

    Parameters
    ----------
    forget_seconds
        A registration that nobody confirmed for longer is dropped: its machine may be gone.
    """

    def __init__(self, expiry_seconds: float) -> None:
        self._forget_seconds = expiry_seconds
        self._held: dict[str, Registration] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._confirmed_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of registrations."""
        return len(self._held)

    def registrations(self) -> tuple[Registration, ...]:
        """Return all that is held."""
        return tuple(self._held.values())

    def get(self, address: str) -> Registration | None:
        """Return the registration of the daemon at ``address``."""
        return self._held.get(address)

    def present_addresses(self, registrations: Iterable[Registration]) -> set[str]:
        """Return the addresses of these at which a back end is held to be there."""
        return {item.address for item in registrations if item.address in self._endpoints}

    def merge(self, registrations: Iterable[Registration], now: float) -> tuple[Registration, ...]:
        """Merge registrations; return those that are news. The ones held are confirmed by it."""
        news = []
        for registration in registrations:
            held = self._held.get(registration.address)
            if held is not None and held.supersedes(registration):
                continue
            self._confirmed_at[registration.address] = now
            if held is None or registration.supersedes(held):
                self._hold(registration)
                news.append(registration)
        return tuple(news)

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop what was not confirmed for long; return the addresses."""
        since = now - self._forget_seconds
        old = [address for address, at in self._confirmed_at.items() if at < since]
        self.drop(old)
        return tuple(old)

    def drop(self, addresses: Iterable[str]) -> bool:
        """Forget registrations; return whether any was held."""
        held = [address for address in addresses if address in self._held]
        for address in held:
            del self._held[address]
            del self._confirmed_at[address]
            self._endpoints.pop(address, None)
        return bool(held)

    def endpoints(self) -> dict[str, Endpoint]:
        """Return the back ends that are there, as endpoints by their names."""
        return {endpoint.name: endpoint for endpoint in self._endpoints.values()}

    def _hold(self, registration: Registration) -> None:
        self._held[registration.address] = registration
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
