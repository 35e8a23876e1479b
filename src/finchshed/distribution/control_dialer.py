"""Opens a daemon's connections to control nodes, and tries nodes that it isn't connected to.

Owns nothing but the way a connection is opened. Relies on
:class:`~finchshed.distribution.client.ControlClient`, which says what to open, and when.
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
"""Opens a connection for the protocol made by the first argument to a host and port."""

OWN_ZONE_PROBE_SECONDS = 60.0
"""A daemon linked to another zone's control node tries its own zone's after one to two of these.

Without it a control node that was restarted would serve nobody, and a zone would hang on links to
others that may be cut. Chosen, not measured.
"""


class ControlDialer:
    """Opens connections to control nodes.

    Parameters
    ----------
    connect
        Opens a connection; None: the event loop does. Proof passes one that can be cut.
    """

    def __init__(self, connect: Connect | None = None) -> None:
        self._connect = connect or _connect_by_loop

    async def open(
        self, address: ControlAddress, connection: Connection, timeout_seconds: float
    ) -> bool:
        """Open ``connection`` to ``address``; return whether it could be opened in time."""
        host, _, port = address.address.rpartition(":")
        try:
            opening = self._connect(lambda: connection, host, int(port))
            await asyncio.wait_for(opening, timeout_seconds)
        except (OSError, TimeoutError):
            return False
        return True

    async def wait_until_reachable(self, address: ControlAddress, rng: random.Random) -> None:
        """Try ``address`` now and then, and return once a connection to it can be opened."""
        while True:
            await asyncio.sleep(OWN_ZONE_PROBE_SECONDS * (1.0 + rng.random()))
            if await self._can_reach(address):
                return

    async def _can_reach(self, address: ControlAddress) -> bool:
        """Whether a connection to a control node can be opened; it is closed at once."""
        probe: Connection = LineProtocol(ControlToDaemon, _ignore)
        is_open = await self.open(address, probe, CONNECT_TIMEOUT_SECONDS_MAX)
        if is_open:
            probe.abort()
        return is_open


def _ignore(connection: Connection, message: ControlToDaemon) -> None:
    """Drop what comes in on a connection that is only tried."""


async def _connect_by_loop(make_protocol: Callable[[], Connection], host: str, port: int) -> object:
    return await asyncio.get_running_loop().create_connection(make_protocol, host, port)
