"""Allow-list of networks from which peers may connect."""

import ipaddress
from collections.abc import Sequence


class PeerNetworks:
    """Set of allowed networks.

    Parameters
    ----------
    networks
        Networks in CIDR notation; host bits are ignored.
    """

    def __init__(self, networks: Sequence[str]) -> None:
        self._networks = [ipaddress.ip_network(network, strict=False) for network in networks]

    def allow(self, address: str) -> bool:
        """Return whether ``address`` (``host:port``) is in one of the networks."""
        host = address.rpartition(":")[0]
        try:
            peer = ipaddress.ip_address(host)
        except ValueError:
            return False
        return any(peer in network for network in self._networks)
