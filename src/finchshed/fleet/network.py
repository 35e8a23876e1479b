"""Loopback networks of fleets, in which each machine has its own address.

Deployment files use ``127.1.x.y``. A fleet reserves the first free network ``127.N.`` and
translates all addresses to it, so that several fleets can run on one machine. A listening socket
in the network marks it as reserved.
"""

import enum
import socket

from finchshed.common.errors import FinchshedError
from finchshed.fleet.deployment import EXAMPLE_NETWORK_PREFIX

FIRST_NETWORK = 1
"""Second byte of the first network tried."""

LAST_NETWORK = 99
"""Second byte of the last network tried; limits the fleets on one machine."""

RESERVATION_HOST = "255.254"
RESERVATION_PORT = 7000
"""Address suffix and port of the reservation; no program of a fleet listens there."""

RELAYED_OFFSET = 10
"""Added to a public port to get the private port of a program behind the relay."""


class NoFreeNetworkError(FinchshedError):
    """All loopback networks are in use by other fleets."""


class Port(enum.IntEnum):
    """Ports of the programs, the same on every machine."""

    LINK = 7100
    HTTP = 7101
    ADMIN = 7102
    BACKEND = 7103
    RAFT = 7200
    DISTRIBUTION = 7201
    RPC = 7202
    CONTROL_ADMIN = 7203
    PLATFORM = 7300


class FleetNetwork:
    """A loopback network reserved for one fleet."""

    def __init__(self) -> None:
        self._reservation = socket.socket()
        self.prefix = self._reserve()

    def relocate(self, text: str) -> str:
        """Return ``text`` with addresses of the example network translated to this network."""
        return text.replace(EXAMPLE_NETWORK_PREFIX, self.prefix)

    def address(self, host: str, port: int) -> str:
        """Return ``host:port`` in this network for a ``host`` of the example network."""
        return f"{self.relocate(host)}:{int(port)}"

    def release(self) -> None:
        """Release the network for other fleets."""
        self._reservation.close()

    def _reserve(self) -> str:
        for number in range(FIRST_NETWORK, LAST_NETWORK + 1):
            prefix = f"127.{number}."
            try:
                self._reservation.bind((prefix + RESERVATION_HOST, RESERVATION_PORT))
            except OSError:
                continue
            self._reservation.listen(1)
            return prefix
        self._reservation.close()
        raise NoFreeNetworkError(
            f"no free loopback network from 127.{FIRST_NETWORK}. to 127.{LAST_NETWORK}.: "
            "all are in use by other fleets"
        )
