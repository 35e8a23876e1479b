"""Where the programs of a planned fleet listen, and which of them stand behind the relay.

Owns the pairs of public and private addresses; relies on a network that is held.
"""

from finchshed.fleet.network import RELAYED_OFFSET, FleetNetwork, Port


class FleetAddresses:
    """Addresses in the fleet's network.

    Parameters
    ----------
    relayed
        Whether internal links go through the relay.

    Attributes
    ----------
    relayed
        Public address, which the relay takes, by the private one that the program listens at.
    owners
        Process that listens, by private address.
    """

    def __init__(self, network: FleetNetwork, *, relayed: bool) -> None:
        self._network = network
        self._is_relayed = relayed
        self.relayed: dict[str, str] = {}
        self.owners: dict[str, str] = {}

    def at(self, host: str, port: int) -> str:
        """Return the address that others know."""
        return self._network.address(host, port)

    def behind(self, owner: str, host: str, port: Port) -> str:
        """Return where a program listens: behind the relay, if there is one."""
        public = self.at(host, port)
        if not self._is_relayed:
            return public
        private = self.at(host, port + RELAYED_OFFSET)
        self.relayed[private] = public
        self.owners[private] = owner
        return private
