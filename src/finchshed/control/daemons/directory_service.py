"""What a control node does with registrations of back ends: keep, pass on to daemons and peers.

Owns the directory of one control node, as soft state. A control node passes on what the daemons
connected to it report, at once to its peers and to its daemons, and all of it again now and then,
so that a lost message is made good. Relies on :mod:`finchshed.directory.table` for what is news.
"""

import asyncio
from collections.abc import Callable, Sequence

from finchshed.control.daemons.soft_state_updates import SoftStateUpdates
from finchshed.control.raft.node_messages import DirectoryReport
from finchshed.directory.registration import Registration
from finchshed.directory.table import Directory
from finchshed.distribution.messages import (
    Announce,
    ControlNodes,
    ControlToDaemon,
    DirectoryUpdate,
)

CONFIRM_SECONDS = 2.0
"""Time between reports to the peers of all registrations that were reported here. Chosen, not
measured."""

FORGET_SECONDS = 15.0
"""A registration is dropped if no control node has heard its daemon for this long. Chosen, not
measured."""

OWN_SECONDS = 5.0
"""A daemon that announced itself here within this time counts as connected here. Chosen,
not measured."""


class DirectoryService:
    """The directory of one control node.

    Parameters
    ----------
    broadcast
        Sends to every daemon connected here.
    send_report
        Sends to every other member of the control group.
    """

    def __init__(
        self,
        broadcast: Callable[[ControlToDaemon], None],
        send_report: Callable[[DirectoryReport], None],
    ) -> None:
        self._broadcast = broadcast
        self._send_report = send_report
        self._directory = Directory(FORGET_SECONDS)
        self._reported_here: dict[str, float] = {}
        self._addresses: tuple[str, ...] = ()
        self._updates: SoftStateUpdates[Registration] = SoftStateUpdates(
            lambda registration: registration.address,
            lambda registrations: broadcast(DirectoryUpdate(registrations)),
            lambda registrations: send_report(DirectoryReport(registrations)),
        )

    def on_announce(self, message: Announce) -> None:
        """Merge a registration of a daemon connected here."""
        registration = message.registration
        now = _now()
        self._reported_here[registration.address] = now
        self._updates.on_own_news(self._directory.merge((registration,), now))

    def on_report(self, report: DirectoryReport) -> None:
        """Merge registrations that another control node passes on."""
        self._updates.on_peer_news(self._directory.merge(report.registrations, _now()))

    def greeting(self) -> Sequence[ControlToDaemon]:
        """Return what a daemon is sent when it connects."""
        held = DirectoryUpdate(self._directory.registrations(), is_whole=True)
        return (held, ControlNodes(self._addresses)) if self._addresses else (held,)

    def set_control_addresses(self, addresses: tuple[str, ...]) -> None:
        """Keep the distribution addresses of the control nodes, and send them if they changed."""
        if addresses != self._addresses:
            self._addresses = addresses
            self._broadcast(ControlNodes(addresses))

    async def run(self) -> None:
        """Confirm registrations to the peers, and forget old ones, for as long as the node runs."""
        while True:
            await asyncio.sleep(CONFIRM_SECONDS)
            now = _now()
            self._send_report(DirectoryReport(self._own(now)))
            forgotten = self._directory.expire(now)
            if forgotten:
                self._broadcast(DirectoryUpdate(forgotten=forgotten))

    def _own(self, now: float) -> tuple[Registration, ...]:
        since = now - OWN_SECONDS
        self._reported_here = {
            address: at for address, at in self._reported_here.items() if at >= since
        }
        held = (self._directory.get(address) for address in self._reported_here)
        return tuple(registration for registration in held if registration is not None)


def _now() -> float:
    return asyncio.get_running_loop().time()
