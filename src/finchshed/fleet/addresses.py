"""Assigns the listen addresses of a fleet, with separate ones for programs behind the relay."""

from finchshed.fleet.network import RELAYED_OFFSET, FleetNetwork, Port


class FleetAddresses:
    """Addresses of the fleet's programs.

    Parameters
    ----------
    relayed
        Whether internal links go through the relay.

    Attributes
    ----------
    relayed
        Public address, at which the relay listens, by the program's private address.
    owners
        Name of the listening process by private address.
    """

    def __init__(self, network: FleetNetwork, *, relayed: bool) -> None:
        self._network = network
        self._is_relayed = relayed
        self.relayed: dict[str, str] = {}
        self.owners: dict[str, str] = {}

    def public_address(self, host: str, port: int) -> str:
        """Return the address that other programs connect to."""
        return self._network.address(host, port)

    def listen_address(self, owner: str, host: str, port: Port) -> str:
        """Return the address at which a program listens, private if links are relayed."""
        public = self.public_address(host, port)
        if not self._is_relayed:
            return public
        private = self.public_address(host, port + RELAYED_OFFSET)
        self.relayed[private] = public
        self.owners[private] = owner
        return private
