"""Opens connections to control nodes and probes nodes that the daemon isn't connected to.

:class:`~finchshed.distribution.client.ControlClient` decides when and where to connect.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from finchshed.distribution.addresses import CONNECT_TIMEOUT_SECONDS_MAX, ControlAddress
from finchshed.distribution.messages import ControlToDaemon
from finchshed.link.lines import LineProtocol

Connection: TypeAlias = LineProtocol[ControlToDaemon]
Connect: TypeAlias = Callable[[Callable[[], Connection], str, int], Awaitable[object]]
"""Connects the protocol returned by the first argument to a host and port."""

OWN_ZONE_PROBE_SECONDS = 60.0
"""Base interval for probing the control node in the daemon's zone while connected to another zone.

Each probe waits one to two intervals. Returning to the own zone gives a restarted control node its
subscribers back and avoids depending on links between zones.
"""


class ControlDialer:
    """Opens connections to control nodes.

    Parameters
    ----------
    connect
        Opens a connection; None to use the event loop. Tests pass one that can be interrupted.
    """

    def __init__(self, connect: Connect | None = None) -> None:
        self._connect = connect or _connect_by_loop

    async def open(
        self, address: ControlAddress, connection: Connection, timeout_seconds: float
    ) -> bool:
        """Open ``connection`` to ``address`` and return whether that succeeded in time."""
        host, _, port = address.address.rpartition(":")
        try:
            opening = self._connect(lambda: connection, host, int(port))
            await asyncio.wait_for(opening, timeout_seconds)
        except (OSError, TimeoutError):
            return False
        return True

    async def wait_until_reachable(self, address: ControlAddress, rng: random.Random) -> None:
        """Probe ``address`` periodically and return once it accepts a connection."""
        while True:
            await asyncio.sleep(OWN_ZONE_PROBE_SECONDS * (1.0 + rng.random()))
            if await self._can_reach(address):
                return

    async def _can_reach(self, address: ControlAddress) -> bool:
        """Return whether ``address`` accepts a connection, which is closed again immediately."""
        probe: Connection = LineProtocol(ControlToDaemon, _ignore)
        is_open = await self.open(address, probe, CONNECT_TIMEOUT_SECONDS_MAX)
        if is_open:
            probe.abort()
        return is_open


def _ignore(connection: Connection, message: ControlToDaemon) -> None:
    """Discard messages received on a probe connection."""


async def _connect_by_loop(make_protocol: Callable[[], Connection], host: str, port: int) -> object:
    return await asyncio.get_running_loop().create_connection(make_protocol, host, port)
