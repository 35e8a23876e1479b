"""Addresses of a fleet: each machine is a loopback address, each fleet a network of its own.

A deployment's files use ``127.1.x.y``. A fleet takes the first free network ``127.N.`` and moves
every address there, so that several fleets can run on one machine. It holds the network by
listening on a port of it for as long as it lives.
"""

import enum
import socket

from finchshed.common.errors import FinchshedError
from finchshed.fleet.deployment import EXAMPLE_NETWORK

FIRST_NETWORK = 1
"""Second byte of the first network tried."""

LAST_NETWORK = 99
"""Second byte of the last network tried: so many fleets can run on one machine."""

HOLD_HOST = "255.254"
HOLD_PORT = 7000
"""A port and a host that no program of a fleet listens at."""

RELAYED_OFFSET = 10
"""Added to a port to get the one a program listens on behind a relay."""


class NoFreeNetworkError(FinchshedError):
    """All loopback networks are held by other fleets."""


class Port(enum.IntEnum):
    """Ports of the programs; each machine has an address of its own."""

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
    """A loopback network held by one fleet."""

    def __init__(self) -> None:
        self._holder = socket.socket()
        self.prefix = self._hold()

    def moved(self, text: str) -> str:
        """Return ``text`` with the example network's addresses moved to this one."""
        return text.replace(EXAMPLE_NETWORK, self.prefix)

    def address(self, host: str, port: int) -> str:
        """Return ``host:port`` in this network; ``host`` is of the example network."""
        return f"{self.moved(host)}:{int(port)}"

    def release(self) -> None:
        """Let another fleet have the network."""
        self._holder.close()

    def _hold(self) -> str:
        for number in range(FIRST_NETWORK, LAST_NETWORK + 1):
            prefix = f"127.{number}."
            try:
                self._holder.bind((prefix + HOLD_HOST, HOLD_PORT))
            except OSError:
                continue
            self._holder.listen(1)
            return prefix
        self._holder.close()
        raise NoFreeNetworkError("all loopback networks are held by other fleets")
